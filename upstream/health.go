package upstream

import (
	"math"
	"time"
)

const (
	// errorHalfLife is the time after which an observed failure counts half: short against the
	// seconds for which endpoints misbehave.
	errorHalfLife = 3 * time.Second
	// errorWeightMin is the number of recent answers below which the error rate says nothing.
	errorWeightMin = 4
	// errorRateHigh is the share of failed answers above which an endpoint is used last. A service
	// whose every endpoint fails more often loses nothing: all of them are used last.
	errorRateHigh = 0.35
	// breakAfter is the number of consecutive connection failures that open the breaker.
	breakAfter = 2
	// breakFirst and breakLongest bound the time for which the breaker stays open; it doubles with
	// each failed trial.
	breakFirst   = 500 * time.Millisecond
	breakLongest = 4 * time.Second
)

// health is what attempts showed of an endpoint.
type health struct {
	answers  float64 // decayed count
	failures float64
	seenAt   time.Time

	brokenConns int // consecutive
	openUntil   time.Time
	openFor     time.Duration
	trying      bool // one request tests whether the endpoint is back
}

// Outcome is what one attempt showed.
type Outcome uint8

const (
	// Answered means a whole answer that is no failure of the endpoint.
	Answered Outcome = iota
	// Failed means that the endpoint answered with a failure or an answer that is not whole.
	Failed
	// Unreachable means that no connection was had, or that it broke without an answer.
	Unreachable
	// Rejected means that the endpoint said that it has not run the request.
	Rejected
	// Misplaced means that another endpoint has the address.
	Misplaced
	// Abandoned means that the caller left or its time was over; it says nothing.
	Abandoned
)

func (h *health) decay(now time.Time) {
	if !h.seenAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.seenAt)) / float64(errorHalfLife))
		h.answers *= factor
		h.failures *= factor
	}
	h.seenAt = now
}

// observe takes one outcome and says whether the breaker opened.
func (h *health) observe(outcome Outcome, now time.Time) (opened bool) {
	h.trying = false
	switch outcome {
	case Abandoned, Rejected:
		return false
	case Misplaced:
		h.brokenConns = max(h.brokenConns+1, breakAfter)
	case Unreachable:
		h.brokenConns++
	default:
		h.brokenConns = 0
		h.openFor = 0
		h.openUntil = time.Time{}
	}
	if outcome != Misplaced {
		h.decay(now)
		h.answers++
	}
	if outcome == Failed || outcome == Unreachable {
		h.failures++
	}
	if h.brokenConns < breakAfter || now.Before(h.openUntil) {
		return false // closed, or opened by an earlier one of the same failures
	}
	h.openFor = min(max(2*h.openFor, breakFirst), breakLongest)
	h.openUntil = now.Add(h.openFor)
	return true
}

// open says whether the breaker keeps requests away. One request at a time is let through after its
// time.
func (h *health) open(now time.Time) bool {
	if h.openUntil.IsZero() {
		return false
	}
	return now.Before(h.openUntil) || h.trying
}

// errorRate is the decayed share of failures, 0 while there is too little to go by.
func (h *health) errorRate(now time.Time) float64 {
	h.decay(now)
	if h.answers < errorWeightMin {
		return 0
	}
	return h.failures / h.answers
}
