package quality

import (
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after threshold consecutive failures; while open it allows one probe
// per pause.
type breaker struct {
	threshold int
	pause     time.Duration

	mu          sync.Mutex
	consecutive int
	retryAt     time.Time // while open: when the next probe is allowed
}

// allow reports whether a call may be made now. While the breaker is open, a call that it allows starts a new pause.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consecutive < b.threshold {
		return true
	}
	if now.Before(b.retryAt) {
		return false
	}
	b.retryAt = now.Add(b.pause)
	return true
}

// open reports whether the breaker is open, which it is until a call succeeds.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consecutive >= b.threshold
}

// record records the outcome of a call and reports whether it opened the breaker.
func (b *breaker) record(ok bool, now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.consecutive = 0
		return false
	}
	b.consecutive++
	b.retryAt = now.Add(b.pause)
	return b.consecutive == b.threshold
}
