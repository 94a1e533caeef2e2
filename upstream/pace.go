package upstream

import (
	"math"
	"time"
)

const (
	// paceHalfLife is the half-life of what an endpoint has stated of its pace: longer than the short slow-downs of shared machines, and
	// shorter than the changes that matter.
	paceHalfLife = 5 * time.Second
	// statedWeight and measuredWeight are the weights of one stated and of one measured pace. A measured one also holds what other
	// requests cause, so that it takes many to tell a slow endpoint from a busy one.
	statedWeight   = 1
	measuredWeight = 0.03
	// usualWeight is the weight of the usual pace, 1, beside the observations.
	usualWeight = 0.3
	// minPace and maxPace bound a single observation.
	minPace = 0.1
	maxPace = 10
)

// pace is the geometric mean of how long work takes at an endpoint against the usual. Older observations count less.
type pace struct {
	sum    float64 // of weighted logarithms
	weight float64
	at     time.Time // of the decay
}

func (p *pace) observe(s statement) {
	if s.pace <= 0 {
		return
	}
	weight := float64(statedWeight)
	if s.measured {
		weight = measuredWeight
	}
	p.decay(s.at)
	p.sum += weight * math.Log(min(max(s.pace, minPace), maxPace))
	p.weight += weight
}

func (p *pace) decay(now time.Time) {
	if !p.at.IsZero() && now.After(p.at) {
		factor := math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalfLife))
		p.sum *= factor
		p.weight *= factor
	}
	if now.After(p.at) {
		p.at = now
	}
}

// mean returns the pace; 1 without observations.
func (p *pace) mean(now time.Time) float64 {
	p.decay(now)
	return math.Exp(p.sum / (p.weight + usualWeight))
}
