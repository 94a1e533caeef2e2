package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// audit collects the replies to bookings by idempotency key.
type audit struct {
	c       *qt.C
	group   sync.WaitGroup
	mu      sync.Mutex
	replies map[string][]reply
}

func newAudit(c *qt.C) *audit { return &audit{c: c, replies: make(map[string][]reply)} }

func bookingKey(i int) string { return fmt.Sprintf("booking-%d", i) }

// book sends a booking in the background.
func (a *audit) book(at *entry, key string) {
	a.group.Go(func() {
		answer := at.book(key)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.replies[key] = append(a.replies[key], answer)
	})
}

// bookAll sends all keys to all instances at once and waits for the answers.
func (a *audit) bookAll(keys int, entries ...*entry) {
	for i := range keys {
		for _, e := range entries {
			a.book(e, bookingKey(i))
		}
	}
	a.group.Wait()
}

// check compares the replies with the executions by key. A key runs at most once, exactly once if any reply
// was a success, and never if all replies have the verdict not_run.
func (a *audit) check(runs map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, replies := range a.replies {
		comment := qt.Commentf("%s: %v", key, replies)
		a.c.Check(runs[key] <= 1, qt.IsTrue, comment)
		allNotRun := true
		for _, answer := range replies {
			allNotRun = allNotRun && answer.refused("not_run")
			if answer.status == http.StatusCreated {
				a.c.Check(runs[key], qt.Equals, 1, comment)
			}
		}
		if allNotRun {
			a.c.Check(runs[key], qt.Equals, 0, comment)
		}
	}
}

// TestOutageAndKilledClaimer guards against executing a booking twice when the store goes down and the
// instance that claimed the idempotency keys crashes. The bookings are retried at the two other instances
// during the outage and after it.
func TestOutageAndKilledClaimer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	third := d.startEntry("entry-c")
	d.awaitServing(third)
	d.put("http://"+d.service+"/faults", `{"delay_ns":200000000}`)
	const bookings = 16
	const newKeys = 4 // keys first sent during the outage
	audit := newAudit(c)
	runsBefore := len(d.runs())
	for i := range bookings {
		audit.book(a, bookingKey(i))
		time.Sleep(20 * time.Millisecond)
	}
	until(func() bool { return len(d.runs()) > runsBefore })
	d.put("http://"+d.storeAddr+"/faults", `{"down":true}`)
	a.kill()
	audit.bookAll(bookings+newKeys, b, third)
	audit.check(d.runs())
	for i := range newKeys {
		c.Check(d.runs()[bookingKey(bookings+i)], qt.Equals, 0)
	}
	d.put("http://"+d.storeAddr+"/faults", `{}`)
	d.awaitServing(b, third)
	audit.bookAll(bookings+newKeys, b, third)
	audit.check(d.runs())
	for i := range newKeys {
		c.Check(d.runs()[bookingKey(bookings+i)], qt.Equals, 1)
	}
}
