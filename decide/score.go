package decide

import (
	"math"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

// Scorer scores an endpoint that passed the filters; lower is better.
type Scorer interface {
	Score(target *Target, endpoint *machine.Endpoint) float64
}

// LoadScore is an endpoint's utilization: its estimated load as a share of its concurrency limit. The
// weight of a load report decays with its age; the estimate is never below this instance's own
// in-flight requests.
type LoadScore struct {
	// HalfLife is the age at which a report has half of its weight.
	HalfLife time.Duration
}

var _ Scorer = LoadScore{}

// Score implements Scorer.
func (s LoadScore) Score(target *Target, endpoint *machine.Endpoint) float64 {
	return s.estimatedLoad(target.Observed.Now, endpoint) / float64(max(endpoint.Limit, 1))
}

// estimatedLoad returns the estimated number of requests at the endpoint.
func (s LoadScore) estimatedLoad(now time.Time, endpoint *machine.Endpoint) float64 {
	inFlight := float64(endpoint.InFlight)
	reported := float64(endpoint.ReportedRunning + endpoint.ReportedQueued)
	if reported <= inFlight || endpoint.ReportedAt.IsZero() {
		return inFlight
	}
	age := max(now.Sub(endpoint.ReportedAt), 0)
	weight := math.Exp2(-age.Seconds() / s.HalfLife.Seconds())
	return inFlight + weight*(reported-inFlight)
}

// LatencyScore is Weight times the smoothed time to the first byte as a share of the route's deadline.
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

// ErrorScore is Weight times the smoothed share of failed attempts.
type ErrorScore struct{ Weight float64 }

var _ Scorer = ErrorScore{}

// Score implements Scorer.
func (s ErrorScore) Score(_ *Target, endpoint *machine.Endpoint) float64 {
	return s.Weight * endpoint.ErrorRate
}
