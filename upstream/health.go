package upstream

import (
	"math"
	"time"
)

const (
	// errorHalfLife is the half-life of observed attempts and failures. It is short compared with the
	// time for which endpoints typically misbehave, which is seconds.
	errorHalfLife = 3 * time.Second
	// minErrorSamples is the decayed number of attempts below which the error rate is not meaningful.
	minErrorSamples = 4
	// errorRateHigh is the share of failed attempts above which an endpoint becomes a last resort. If
	// all endpoints of a service are above it, all are last resorts and are chosen by cost as usual.
	errorRateHigh = 0.35
	// breakerThreshold is the number of consecutive connection failures that open the circuit breaker.
	breakerThreshold = 2
	// breakerMinOpen and breakerMaxOpen bound the time for which the breaker stays open. The time
	// doubles with each failed probe.
	breakerMinOpen = 500 * time.Millisecond
	breakerMaxOpen = 4 * time.Second
)

// health is an endpoint's error rate and circuit breaker, as observed by this instance's attempts.
type health struct {
	attempts  float64 // decayed count
	failures  float64 // decayed count
	decayedAt time.Time

	connFailures int // consecutive
	openUntil    time.Time
	openDuration time.Duration
	probing      bool // half-open: one request is testing the endpoint
}

// Outcome is the result of one attempt, as far as it concerns the endpoint's health.
type Outcome uint8

const (
	// Answered means a complete answer that is not a failure of the endpoint.
	Answered Outcome = iota
	// Failed means that the endpoint answered with a failure or an incomplete answer.
	Failed
	// Unreachable means that the connection could not be made, or broke without an answer.
	Unreachable
	// Rejected means that the endpoint declined the request without running it.
	Rejected
	// WrongEndpoint means that another endpoint answered at the address.
	WrongEndpoint
	// Abandoned means that the attempt ended without regard to the endpoint: the caller left, its
	// deadline passed, or the configuration changed before the request was sent. It does not affect
	// health.
	Abandoned
)

func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(errorHalfLife))
		h.attempts *= factor
		h.failures *= factor
	}
	h.decayedAt = now
}

// record adds one outcome and reports whether it opened the breaker.
func (h *health) record(outcome Outcome, now time.Time) (opened bool) {
	h.probing = false
	switch outcome {
	case Abandoned, Rejected:
		return false
	case WrongEndpoint:
		h.connFailures = max(h.connFailures+1, breakerThreshold)
	case Unreachable:
		h.connFailures++
	default:
		h.connFailures = 0
		h.openDuration = 0
		h.openUntil = time.Time{}
	}
	if outcome != WrongEndpoint {
		h.decay(now)
		h.attempts++
	}
	if outcome == Failed || outcome == Unreachable {
		h.failures++
	}
	if h.connFailures < breakerThreshold || now.Before(h.openUntil) {
		return false // closed, or already opened by a concurrent failure
	}
	h.openDuration = min(max(2*h.openDuration, breakerMinOpen), breakerMaxOpen)
	h.openUntil = now.Add(h.openDuration)
	return true
}

// open reports whether the breaker blocks requests. After openUntil it admits one probe at a time.
func (h *health) open(now time.Time) bool {
	if h.openUntil.IsZero() {
		return false
	}
	return now.Before(h.openUntil) || h.probing
}

// errorRate returns the decayed share of failed attempts, 0 to 1; 0 with fewer than minErrorSamples.
func (h *health) errorRate(now time.Time) float64 {
	h.decay(now)
	if h.attempts < minErrorSamples {
		return 0
	}
	return h.failures / h.attempts
}
