// Package inflight tracks in-flight requests through a planned stop: which requests are still admitted, until when
// they may run, and when all of them are drained.
package inflight

import (
	"context"
	"errors"
	"sync"
	"time"
)

// stopSlack is the part of a planned stop that must be left beyond the expected duration of an admitted request.
const stopSlack = 200 * time.Millisecond

// ErrStopEnded is the cancellation cause of requests that are still in progress at the end of a planned stop.
var ErrStopEnded = errors.New("the planned stop has ended")

// Tracker counts in-flight requests. The zero value is ready to use. Safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	count    int
	stopping bool
	ends     time.Time     // end of the planned stop; zero if it has none
	ended    bool          // EndRequests was called
	changed  chan struct{} // closed at the next change of count; created when a Drain waits
	attached map[*attachment]struct{}
}

// attachment is a request whose context EndRequests cancels.
type attachment struct {
	cancel context.CancelCauseFunc
}

// Start counts a request and reports whether the instance is stopping. Every call needs a call of End.
func (t *Tracker) Start() (stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	t.notify()
	return t.stopping
}

// End marks a request as finished.
func (t *Tracker) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	t.notify()
}

// notify wakes waiting Drain calls. t.mu must be held.
func (t *Tracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Stop begins a planned stop that ends at the given time; zero means that its end is not known. Requests are still
// counted; refusing them is up to the caller, which asks TimeLeft.
func (t *Tracker) Stop(ends time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	t.ends = ends
}

// Stopping reports whether Stop was called.
func (t *Tracker) Stopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// Ends returns the end of the planned stop; false if there is none or its end is not known.
func (t *Tracker) Ends() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ends, t.stopping && !t.ends.IsZero()
}

// LeavesTime reports whether a planned stop leaves time for a request that is expected to take a time from now on and that is answered
// by its deadline in any case. Without a planned stop it does.
func (t *Tracker) LeavesTime(deadline time.Time, expected time.Duration) bool {
	ends, stopping := t.Ends()
	return !stopping || !deadline.After(ends) || !time.Now().Add(expected+stopSlack).After(ends)
}

// Attach returns a context that EndRequests cancels with the cause ErrStopEnded. detach exempts the request from
// that; it must be called at the latest when the request ends.
func (t *Tracker) Attach(ctx context.Context) (attached context.Context, detach func()) {
	attached, cancel := context.WithCancelCause(ctx)
	entry := &attachment{cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		cancel(ErrStopEnded)
	}
	if t.attached == nil {
		t.attached = make(map[*attachment]struct{})
	}
	t.attached[entry] = struct{}{}
	return attached, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.attached, entry)
	}
}

// EndRequests cancels the contexts of all attached requests, now and from now on.
func (t *Tracker) EndRequests() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for entry := range t.attached {
		entry.cancel(ErrStopEnded)
	}
}

// watch returns the number of in-flight requests and a channel that is closed when it changes.
func (t *Tracker) watch() (count int, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.count, t.changed
}

// EndedWithStop reports whether EndRequests has cancelled ctx.
func EndedWithStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopEnded) }

// Drain waits until no request has been in flight for the quiet time. If ctx ends first, it returns
// ctx's error.
func (t *Tracker) Drain(ctx context.Context, quiet time.Duration) error {
	for {
		count, changed := t.watch()
		var idle <-chan time.Time
		if count == 0 {
			idle = time.After(quiet)
		}
		select {
		case <-changed:
		case <-idle:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Finish ends a planned stop: it waits until no request has been in flight for the quiet time, and lets LeavesTime admit none that arrives
// later. Requests in flight at the deadline are ended by EndRequests and get answerTime for their answers; drained is false if there
// were any.
func (t *Tracker) Finish(deadline time.Time, quiet, answerTime time.Duration) (drained bool) {
	drained = t.drainUntil(deadline, quiet)
	t.Stop(time.Now())
	if drained {
		drained = t.drainUntil(deadline, 0) // for those that arrived since
	}
	t.EndRequests()
	t.drainUntil(deadline.Add(answerTime), 0)
	return drained
}

func (t *Tracker) drainUntil(deadline time.Time, quiet time.Duration) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return t.Drain(ctx, quiet) == nil
}
