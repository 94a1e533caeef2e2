package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFrozenClaimerAndNewHome guards against double execution when an instance is frozen for longer than the
// timeouts of claims and peers, and then resumes. A claim is the record in the store that lets one instance
// dispatch a booking; a shard's home writes the claims of all instances to the store. When the instance
// freezes, its bookings are at every stage from claim to answer, because store and service are slow.
// Meanwhile the bookings are retried at another instance, and a new instance joins and becomes the home of
// some shards.
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
