package machine

import "time"

const (
	breakerFailures = 5                // consecutive failures that open the breaker
	breakerSamples  = 20               // attempts before the error rate can open the breaker
	breakerRate     = 0.5              // error rate that opens the breaker
	breakerOpen     = 2 * time.Second  // initial open time
	breakerOpenMax  = 30 * time.Second // upper bound; the open time doubles with each failed probe
	ewmaWeight      = 0.1              // weight of the newest sample in exponentially weighted averages
)

// breaker is the circuit breaker of one endpoint: it stops new attempts while they fail. The lock
// of the endpoint guards it.
type breaker struct {
	consecutive int // failures since the last success
	samples     int
	errorRate   float64       // exponentially weighted share of failed attempts, 0 to 1
	openFor     time.Duration // 0 while closed
	openUntil   time.Time
	probing     bool // half open, with the one probe in flight
}

// allows reports whether an attempt may start: always while closed, one probe at a time while half
// open.
func (b *breaker) allows(now time.Time) bool {
	return b.openFor == 0 || !b.probing && !now.Before(b.openUntil)
}

// start records the start of an attempt.
func (b *breaker) start() { b.probing = b.openFor > 0 }

// done records the outcome of an attempt and reports whether it opened the breaker.
func (b *breaker) done(failed bool, now time.Time) (opened bool) {
	probe := b.probing
	b.probing = false
	b.samples++
	if !failed {
		b.errorRate -= ewmaWeight * b.errorRate
		b.consecutive = 0
		b.openFor = 0
		return false
	}
	b.errorRate += ewmaWeight * (1 - b.errorRate)
	b.consecutive++
	tooMany := b.consecutive >= breakerFailures || b.samples >= breakerSamples && b.errorRate >= breakerRate
	if b.openFor == 0 && !tooMany {
		return false
	}
	if b.openFor > 0 && !probe {
		return false // the attempt started before the breaker opened
	}
	opened = b.openFor == 0
	b.openFor = min(max(2*b.openFor, breakerOpen), breakerOpenMax)
	b.openUntil = now.Add(b.openFor)
	return opened
}

// cancelled records the end of an attempt that says nothing about the health of its endpoint.
func (b *breaker) cancelled() { b.probing = false }
