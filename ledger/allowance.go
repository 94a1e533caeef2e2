package ledger

import (
	"sync"
	"time"
)

// exhaustedMemory is how long a refused reservation is refused again without asking.
const exhaustedMemory = 2 * time.Second

// allowance is what this instance may still spend of one customer's budget of one month.
type allowance struct {
	key      totalKey
	drawing  chan struct{} // held by the one goroutine that changes the store's document
	mu       sync.Mutex
	left     int64
	reserved int64
	used     time.Time
	refused  int64     // reservations of at least this much were refused
	until    time.Time // until then
}

func (a *allowance) take(micros int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = time.Now()
	if a.left < micros {
		return false
	}
	a.left -= micros
	a.reserved += micros
	return true
}

func (a *allowance) giveBack(micros int64) {
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

// missing returns what is missing for a reservation; an overspent allowance makes up for it.
func (a *allowance) missing(micros int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros - a.left
}

// covers says whether the reservation fits by now.
func (a *allowance) covers(micros int64) bool { return a.missing(micros) <= 0 }

// exhausted says whether such a reservation was refused a moment ago.
func (a *allowance) exhausted(micros int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return micros >= a.refused && time.Now().Before(a.until)
}

func (a *allowance) exhaust(micros int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = micros
	a.until = time.Now().Add(exhaustedMemory)
}

// idle says whether nothing is reserved or was used for that long, and whether micros are left.
func (a *allowance) idle(idle time.Duration) (idling, unspent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved == 0 && time.Since(a.used) >= idle, a.left > 0
}

// empty takes all that is left out of an idle allowance.
func (a *allowance) empty(idle time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reserved > 0 || time.Since(a.used) < idle || a.left <= 0 {
		return 0
	}
	micros := a.left
	a.left = 0
	return micros
}

// pass takes a part of the allowance out for another instance, at least least; 0 if less is left.
func (a *allowance) pass(least, parts int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = time.Now()
	if a.left < least {
		return 0
	}
	micros := max(least, a.left/parts)
	a.left -= micros
	return micros
}
