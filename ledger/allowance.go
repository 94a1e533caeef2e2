package ledger

import (
	"sync"
	"time"
)

// exhaustedTTL is how long a refused reservation is refused again without asking.
const exhaustedTTL = 2 * time.Second

// allowance is what this instance may still spend of one customer's budget of one month.
type allowance struct {
	key           totalKey
	drawSem       chan struct{} // held by the one goroutine that changes the store's document
	mu            sync.Mutex
	left          int64
	reserved      int64
	lastUsed      time.Time
	refusedMicros int64     // reservations of at least this much were refused
	refusedUntil  time.Time // until then
}

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

func (a *allowance) release(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += micros
	a.reserved -= micros
}

// add puts drawn micros into the allowance.
func (a *allowance) add(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += micros
}

// shortfall returns what is missing for a reservation; an overspent allowance makes up for it.
func (a *allowance) shortfall(micros int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros - a.left
}

// covers says whether the reservation fits by now.
func (a *allowance) covers(micros int64) bool { return a.shortfall(micros) <= 0 }

// recentlyExhausted says whether such a reservation was refused a moment ago.
func (a *allowance) recentlyExhausted(micros int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros >= a.refusedMicros && time.Now().Before(a.refusedUntil)
}

func (a *allowance) markExhausted(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedMicros = micros
	a.refusedUntil = time.Now().Add(exhaustedTTL)
}

// idle says whether nothing is reserved or was used for that long, and whether micros are left.
func (a *allowance) idle(idle time.Duration) (isIdle, unspent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved == 0 && time.Since(a.lastUsed) >= idle, a.left > 0
}

// takeIdle takes all that is left out of an idle allowance.
func (a *allowance) takeIdle(idle time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved > 0 || time.Since(a.lastUsed) < idle || a.left <= 0 {
		return 0
	}
	micros := a.left
	a.left = 0
	return micros
}

// transferOut takes a part of the allowance out for another instance, at least least; 0 if less is left.
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
