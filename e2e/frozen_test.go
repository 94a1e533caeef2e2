package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFrozenClaimerAndNewHome guards against double execution when an instance with claims in all stages is
// frozen for longer than the timeouts of claims and peers, and then resumes. Meanwhile the bookings are
// retried at another instance, and a new instance joins, which moves claims to other homes. The slow store
// spreads the claims over the stages.
func TestFrozenClaimerAndNewHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	d.put("http://"+d.service+"/faults", `{"delay_ns":100000000}`)
	d.put("http://"+d.storeAddr+"/faults", `{"delay_ns":100000000}`)
	const bookings = 12
	const frozenFor = 4 * time.Second // beyond grant_timeout_ms and suspect_after_ms
	audit := newAudit(c)
	runsBefore := len(d.runs())
	for i := range bookings {
		audit.book(a, bookingKey(i))
		time.Sleep(10 * time.Millisecond)
	}
	until(func() bool { return len(d.runs()) > runsBefore })
	a.freeze()
	thawTimer := time.After(frozenFor)
	repeats := newAudit(c)
	repeats.bookAll(bookings, b)
	joined := d.startEntry("entry-c")
	until(func() bool { return joined.book("warm-"+joined.Callers).status == http.StatusCreated })
	repeats.bookAll(bookings, b, joined)
	<-thawTimer
	a.signal(syscall.SIGCONT)
	audit.group.Wait()
	repeats.bookAll(bookings, a, b, joined)
	for key, replies := range repeats.replies {
		audit.replies[key] = append(audit.replies[key], replies...)
	}
	audit.check(d.runs())
}
