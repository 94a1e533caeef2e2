package replay

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

// endpoints of one pool, in the trace's order.
type endpoints []machine.Endpoint

var _ decide.Candidates = endpoints{}

// Len implements decide.Candidates.
func (e endpoints) Len() int { return len(e) }

// At implements decide.Candidates.
func (e endpoints) At(i int, endpoint *machine.Endpoint) { *endpoint = e[i] }

// observation returns what the trace has shown last as the decisions take it.
func (p *player) observation() *decide.Observation {
	seen := &decide.Observation{Now: p.now, Zone: p.seen.Zone, Pool: p.pool}
	for _, zone := range p.seen.Zones {
		seen.Zones = append(seen.Zones, decide.ZoneLoad{Zone: zone.Zone, Spare: zone.Spare, At: p.now})
	}
	return seen
}

func (p *player) pool(name string) decide.Candidates {
	var list endpoints
	for _, one := range p.seen.Endpoints {
		if one.Pool != name {
			continue
		}
		endpoint := machine.Endpoint{
			ID: machine.EndpointID(one.ID), Pool: name, Zone: p.seen.Zone,
			Leaving: one.Leaving, Healthy: !one.Unhealthy, Cold: one.Cold,
			InFlight: one.InFlight, Limit: one.Limit,
			ReportedRunning: one.Running, ReportedQueued: one.Queued, ReportedAt: p.now,
			Latency: time.Duration(one.LatencyMS) * time.Millisecond, ErrorRate: one.ErrorRate,
		}
		if one.Version != "" {
			endpoint.Version = versionOf(one.Version)
		}
		list = append(list, endpoint)
	}
	return list
}

// quality returns what the trace says was learned; nil if it says nothing.
func (p *player) quality() decide.Quality {
	if p.learned == nil {
		return nil
	}
	return recorded{p.learned}
}

// recorded is the learning of a trace.
type recorded struct{ learned *Learned }

var _ decide.Planner = recorded{}

// PassChance implements decide.Quality.
func (r recorded) PassChance(_ string, _ decide.Kind, step int) (chance float64, ratings int) {
	if step >= len(r.learned.Chance) {
		return 1, 0
	}
	return r.learned.Chance[step], 0
}

// Plan implements decide.Planner.
func (r recorded) Plan(*contract.Snapshot, *decide.Request) decide.Plan {
	return decide.Plan{
		Accept:   r.learned.Accept,
		Blind:    r.learned.Blind,
		Unrated:  r.learned.Unrated,
		StepTime: time.Duration(r.learned.StepTimeMS) * time.Millisecond,
	}
}

// Worth implements decide.Planner.
func (r recorded) Worth(_ *decide.Request, step int, _ float64) float64 {
	chance, _ := r.PassChance("", 0, step)
	return chance
}
