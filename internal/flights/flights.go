// Package flights counts the requests in progress, so that a planned stop can wait for their end.
package flights

import (
	"context"
	"sync"
	"time"
)

// Flights counts requests in progress. The zero value is ready. Safe for concurrent use.
type Flights struct {
	mu       sync.Mutex
	count    int
	stopping bool
	changed  chan struct{} // closed at each change while somebody looks
}

// Start counts a request and says whether the instance is stopping.
func (f *Flights) Start() (stopping bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.wake()
	return f.stopping
}

// End ends a request.
func (f *Flights) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.wake()
}

func (f *Flights) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Stop notes that the instance is stopping.
func (f *Flights) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Stopping says whether Stop was called.
func (f *Flights) Stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

func (f *Flights) look() (count int, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.count, f.changed
}

// Drain returns nil once no request has been in progress for the quiet time, or ctx's error when it
// ends first.
func (f *Flights) Drain(ctx context.Context, quiet time.Duration) error {
	for {
		count, changed := f.look()
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
