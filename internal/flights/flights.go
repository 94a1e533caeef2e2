// Package flights counts in-flight requests, so that a planned stop can wait until they are drained.
package flights

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
func (f *Tracker) Start() (stopping bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.notify()
	return f.stopping
}

// End marks a request as finished.
func (f *Tracker) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.notify()
}

// notify wakes waiting Drain calls. f.mu must be held.
func (f *Tracker) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Stop marks the instance as stopping. Requests are still counted; refusing them is up to the caller.
func (f *Tracker) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Stopping reports whether Stop was called.
func (f *Tracker) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// watch returns the number of in-flight requests and a channel that is closed when it changes.
func (f *Tracker) watch() (count int, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.count, f.changed
}

// Drain waits until no request has been in flight for the quiet time. If ctx ends first, it returns
// ctx's error.
func (f *Tracker) Drain(ctx context.Context, quiet time.Duration) error {
	for {
		count, changed := f.watch()
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
