package decide

import (
	"math"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

// Scorer rates an endpoint that fits; lower is better.
type Scorer interface {
	Score(target *Target, endpoint *machine.Endpoint) float64
}

// LoadScore is the share of an endpoint's limit in use. A report counts less the older it is, and
// never less than what this instance itself has in flight.
type LoadScore struct {
	// HalfLife is the age at which a report counts half.
	HalfLife time.Duration
}

var _ Scorer = LoadScore{}

// Score implements Scorer.
func (s LoadScore) Score(target *Target, endpoint *machine.Endpoint) float64 {
	return s.busy(target.Seen.Now, endpoint) / float64(max(endpoint.Limit, 1))
}

// busy estimates the requests at the endpoint.
func (s LoadScore) busy(now time.Time, endpoint *machine.Endpoint) float64 {
	own := float64(endpoint.InFlight)
	reported := float64(endpoint.ReportedRunning + endpoint.ReportedQueued)
	if reported <= own || endpoint.ReportedAt.IsZero() {
		return own
	}
	age := max(now.Sub(endpoint.ReportedAt), 0)
	weight := math.Exp2(-age.Seconds() / s.HalfLife.Seconds())
	return own + weight*(reported-own)
}

// LatencyScore is the smoothed time to the first byte as a share of the route's deadline.
type LatencyScore struct{ Weight float64 }

var _ Scorer = LatencyScore{}

// Score implements Scorer.
func (s LatencyScore) Score(target *Target, endpoint *machine.Endpoint) float64 {
	deadline := target.Request.Route.Deadline()
	if deadline <= 0 {
		return 0
	}
	return s.Weight * endpoint.Latency.Seconds() / deadline.Seconds()
}

// ErrorScore is the smoothed share of failed attempts.
type ErrorScore struct{ Weight float64 }

var _ Scorer = ErrorScore{}

// Score implements Scorer.
func (s ErrorScore) Score(_ *Target, endpoint *machine.Endpoint) float64 {
	return s.Weight * endpoint.ErrorRate
}
