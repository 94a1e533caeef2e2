// Package inflight counts in-flight requests, so that a planned stop can wait until they are drained.
package inflight

import (
	"context"
	"sync"
	"time"
)

// Tracker counts in-flight requests. The zero value is ready to use. Safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	count    int
	stopping bool
	changed  chan struct{} // closed at the next change of count; created when a Drain waits
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

// notify wakes waiting Drain calls. f.mu must be held.
func (t *Tracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Stop marks the instance as stopping. Requests are still counted; refusing them is up to the caller.
func (t *Tracker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

// Stopping reports whether Stop was called.
func (t *Tracker) Stopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
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
