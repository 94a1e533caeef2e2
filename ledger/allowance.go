package ledger

import (
	"sync"
	"time"
)

// exhaustedTTL is how long a refusal for an exhausted budget is cached.
const exhaustedTTL = 2 * time.Second

// allowance is the part of one customer's budget of one month that this instance may spend. Amounts
// are in micro-units of currency. Safe for concurrent use.
type allowance struct {
	key           totalKey
	drawSem       chan struct{} // held while drawing or returning budget
	mu            sync.Mutex
	left          int64 // neither spent nor reserved; negative when overspent
	reserved      int64
	lastUsed      time.Time
	refusedMicros int64     // reservations of at least this much are refused
	refusedUntil  time.Time // end of the cached refusal
}

// tryReserve reserves micros and reports whether enough was left.
func (a *allowance) tryReserve(micros int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastUsed = time.Now()
	if a.left < micros {
		return false
	}
	a.left -= micros
	a.reserved += micros
	return true
}

// release ends a reservation.
func (a *allowance) release(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += micros
	a.reserved -= micros
}

// add puts drawn or returned micros into the allowance.
func (a *allowance) add(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += micros
}

// shortfall returns the micros that are missing for a reservation. It includes the debt of an
// overspent allowance.
func (a *allowance) shortfall(micros int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros - a.left
}

// covers reports whether enough is left for the reservation.
func (a *allowance) covers(micros int64) bool { return a.shortfall(micros) <= 0 }

// recentlyExhausted reports whether a cached refusal applies to the reservation.
func (a *allowance) recentlyExhausted(micros int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros >= a.refusedMicros && time.Now().Before(a.refusedUntil)
}

// markExhausted caches the refusal of reservations of at least micros.
func (a *allowance) markExhausted(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedMicros = micros
	a.refusedUntil = time.Now().Add(exhaustedTTL)
}

// idleFor reports whether nothing is reserved and the allowance was unused for at least minIdle, and
// whether micros are left.
func (a *allowance) idleFor(minIdle time.Duration) (isIdle, unspent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved == 0 && time.Since(a.lastUsed) >= minIdle, a.left > 0
}

// takeIdle removes and returns all that is left of an allowance that was unused for at least minIdle.
func (a *allowance) takeIdle(minIdle time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved > 0 || time.Since(a.lastUsed) < minIdle || a.left <= 0 {
		return 0
	}
	micros := a.left
	a.left = 0
	return micros
}

// transferOut removes and returns the part of the allowance that another instance gets: what is
// left over divisor, but at least minMicros. It returns 0 if less than minMicros is left.
func (a *allowance) transferOut(minMicros, divisor int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastUsed = time.Now()
	if a.left < minMicros {
		return 0
	}
	micros := max(minMicros, a.left/divisor)
	a.left -= micros
	return micros
}
