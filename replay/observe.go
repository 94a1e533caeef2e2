package replay

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

// endpoints are the endpoints of one pool, in the trace's order.
type endpoints []machine.Endpoint

var _ decide.Candidates = endpoints{}

// Len implements decide.Candidates.
func (e endpoints) Len() int { return len(e) }

// At implements decide.Candidates.
func (e endpoints) At(i int, endpoint *machine.Endpoint) { *endpoint = e[i] }

// observation returns the trace's latest observation as input for the decisions.
func (p *player) observation() *decide.Observation {
	observed := &decide.Observation{Now: p.now, Zone: p.observed.Zone, Pool: p.pool}
	for _, zone := range p.observed.Zones {
		observed.Zones = append(observed.Zones, decide.ZoneLoad{Zone: zone.Zone, Spare: zone.Spare, At: p.now})
	}
	return observed
}

func (p *player) pool(name string) decide.Candidates {
	var list endpoints
	for _, e := range p.observed.Endpoints {
		if e.Pool != name {
			continue
		}
		endpoint := machine.Endpoint{
			ID: machine.EndpointID(e.ID), Pool: name, Zone: p.observed.Zone,
			Leaving: e.Leaving, Healthy: !e.Unhealthy, Cold: e.Cold,
			InFlight: e.InFlight, Limit: e.Limit,
			ReportedRunning: e.Running, ReportedQueued: e.Queued, ReportedAt: p.now,
			Latency: time.Duration(e.LatencyMS) * time.Millisecond, ErrorRate: e.ErrorRate,
		}
		if e.Version != "" {
			endpoint.Version = versionOf(e.Version)
		}
		list = append(list, endpoint)
	}
	return list
}

// quality returns the trace's latest learned quality, nil if there is none yet.
func (p *player) quality() decide.Quality {
	if p.learned == nil {
		return nil
	}
	return recordedQuality{p.learned}
}

// recordedQuality is a decide.Planner with the quality that a trace states.
type recordedQuality struct{ learned *Learned }

var _ decide.Planner = recordedQuality{}

// PassChance implements decide.Quality.
func (r recordedQuality) PassChance(_ string, _ decide.Kind, step int) (chance float64, ratings int) {
	if step >= len(r.learned.Chance) {
		return 1, 0
	}
	return r.learned.Chance[step], 0
}

// Plan implements decide.Planner.
func (r recordedQuality) Plan(*contract.Snapshot, *decide.Request) decide.Plan {
	return decide.Plan{
		Accept:         r.learned.Accept,
		NoRater:        r.learned.NoRater,
		DeliverUnrated: r.learned.Unrated,
		StepTime:       time.Duration(r.learned.StepTimeMS) * time.Millisecond,
	}
}

// ExpectedGain implements decide.Planner.
func (r recordedQuality) ExpectedGain(_ *decide.Request, step int, _ float64) float64 {
	chance, _ := r.PassChance("", 0, step)
	return chance
}
