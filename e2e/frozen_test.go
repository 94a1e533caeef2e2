package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFrozenClaimerAndNewHome freezes a claimer with a slow store, so that claims of it are at
// every stage, for longer than its claims and its peers wait. Bookings are repeated elsewhere, an
// instance joins, which changes the homes of claims, and the claimer thaws.
func TestFrozenClaimerAndNewHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.ready()
	d.put("http://"+d.service+"/faults", `{"delay_ns":100000000}`)
	d.put("http://"+d.storeAddr+"/faults", `{"delay_ns":100000000}`)
	const bookings = 12
	const frozenFor = 4 * time.Second // beyond grant_timeout_ms and suspect_after_ms
	audit := newAudit(c)
	warm := len(d.runs())
	for i := range bookings {
		audit.book(a, bookingKey(i))
		time.Sleep(10 * time.Millisecond)
	}
	until(func() bool { return len(d.runs()) > warm })
	a.freeze()
	thaw := time.After(frozenFor)
	repeats := newAudit(c)
	repeats.bookAll(bookings, b)
	fresh := d.enter("entry-c")
	until(func() bool { return fresh.book("warm-"+fresh.Callers).status == http.StatusCreated })
	repeats.bookAll(bookings, b, fresh)
	<-thaw
	a.signal(syscall.SIGCONT)
	audit.group.Wait()
	repeats.bookAll(bookings, a, b, fresh)
	for key, replies := range repeats.replies {
		audit.replies[key] = append(audit.replies[key], replies...)
	}
	audit.check(d.runs())
}
