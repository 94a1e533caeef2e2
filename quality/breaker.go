package quality

import (
	"sync"
	"time"
)

// breaker stops calls after failures in a row and then lets one through at a time.
type breaker struct {
	failures int
	pause    time.Duration

	mu     sync.Mutex
	failed int
	retry  time.Time // when the next call may be tried, while open
}

// allow says whether a call may be made now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed < b.failures {
		return true
	}
	if now.Before(b.retry) {
		return false
	}
	b.retry = now.Add(b.pause)
	return true
}

// open says whether calls are stopped; true until a call has succeeded again.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed >= b.failures
}

// record enters the outcome of a call and says whether it opened the breaker.
func (b *breaker) record(ok bool, now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failed = 0
		return false
	}
	b.failed++
	b.retry = now.Add(b.pause)
	return b.failed == b.failures
}
