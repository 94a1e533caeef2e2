package machine

import "time"

const (
	breakerFailures = 5                // consecutive failures that open the breaker
	breakerSamples  = 20               // fewest attempts for a judgement by error rate
	breakerRate     = 0.5              // error rate that opens the breaker
	breakerOpen     = 2 * time.Second  // first time that it stays open
	breakerOpenMax  = 30 * time.Second // longest time; it doubles with each failed probe
	smoothing       = 0.1              // weight of the newest sample in smoothed figures
)

// breaker stops work for an endpoint whose attempts fail. Its owner locks.
type breaker struct {
	consecutive int
	samples     int
	rate        float64 // smoothed share of failures
	openFor     time.Duration
	openUntil   time.Time
	probing     bool // one attempt is out while half open
}

// allows says whether an attempt may start: always when closed, one at a time when half open.
func (b *breaker) allows(now time.Time) bool {
	return b.openFor == 0 || !b.probing && !now.Before(b.openUntil)
}

// start notes that an attempt starts.
func (b *breaker) start() { b.probing = b.openFor > 0 }

// done takes in an attempt's end and says whether it opened the breaker.
func (b *breaker) done(failed bool, now time.Time) (opened bool) {
	probe := b.probing
	b.probing = false
	b.samples++
	if !failed {
		b.rate -= smoothing * b.rate
		b.consecutive = 0
		b.openFor = 0
		return false
	}
	b.rate += smoothing * (1 - b.rate)
	b.consecutive++
	tooMany := b.consecutive >= breakerFailures || b.samples >= breakerSamples && b.rate >= breakerRate
	if b.openFor == 0 && !tooMany {
		return false
	}
	if b.openFor > 0 && !probe {
		return false // it started before the breaker opened
	}
	opened = b.openFor == 0
	b.openFor = min(max(2*b.openFor, breakerOpen), breakerOpenMax)
	b.openUntil = now.Add(b.openFor)
	return opened
}

// cancelled notes an attempt that showed nothing of its endpoint.
func (b *breaker) cancelled() { b.probing = false }
