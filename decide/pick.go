package decide

import (
	"math/rand/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	maxSamples = 8
	// probesPerSample limits the random probes per sample. If none of them finds an endpoint that
	// passes the filters, the pool is scanned in order.
	probesPerSample = 3
)

// Pipeline filters and scores a few random endpoints and picks the best of them. Sampling d random
// endpoints, instead of picking the best of all, prevents instances with the same stale load reports
// from all sending to one endpoint (Mitzenmacher, "The power of two choices in randomized load
// balancing", 2001).
type Pipeline struct {
	settings Settings
	filters  []Filter
	load     LoadScore
	scorers  []Scorer
	affinity Affinity
}

var _ Picker = (*Pipeline)(nil)

// NewPicker returns the default pipeline.
func NewPicker(settings Settings) *Pipeline {
	return &Pipeline{
		settings: settings,
		filters:  Filters(),
		load:     LoadScore{HalfLife: settings.reportHalfLife()},
		scorers:  []Scorer{LatencyScore{settings.LatencyWeight}, ErrorScore{settings.ErrorWeight}},
		affinity: Affinity{Block: settings.AffinityBlock},
	}
}

// Pick implements Picker. It prefers endpoints in the instance's own zone; if none can take the
// attempt, the choice names another zone.
func (p *Pipeline) Pick(snapshot *contract.Snapshot, request *Request, pool string, version contract.VersionID,
	observation *Observation, excluded []machine.EndpointID, random *rand.Rand,
) (Choice, *verdict.Refusal) {
	target := &Target{
		Snapshot: snapshot,
		Request:  request,
		Pool:     snapshot.Pools[pool],
		Version:  version,
		Observed: observation,
		Excluded: excluded,
	}
	if refusal := permitted(target, pool); refusal != nil {
		return Choice{}, refusal
	}
	if snapshot.ZoneInService(observation.Zone) {
		if choice, ok := p.pickLocal(target, random); ok {
			return choice, nil
		}
	}
	return p.spill(target, random)
}

// permitted makes the checks that do not depend on an endpoint.
func permitted(target *Target, pool string) *verdict.Refusal {
	if target.Pool == nil {
		return verdict.Refuse(verdict.NoEndpoint, "pool %s is not configured", pool)
	}
	if target.Pool.Kind == contract.PoolService {
		return nil
	}
	return versionAllowed(target.Snapshot, target.Request, target.Pool, target.Version)
}

// selection is the state of one pick: the samples taken and the best of them so far.
type selection struct {
	endpoint    machine.Endpoint // scratch space, in the end the chosen endpoint
	bestIndex   int
	score       float64
	sampleCount int
	samples     [maxSamples]sample
}

// sample is the utilization of one sampled endpoint.
type sample struct {
	id          machine.EndpointID
	utilization float64 // see LoadScore
}

// meanUtilizationExcept returns the mean utilization of the samples other than endpoint id, so that the
// load of an endpoint does not raise the bound it is compared with. It is 0 without other samples.
func (c *selection) meanUtilizationExcept(id machine.EndpointID) float64 {
	var total float64
	n := 0
	for _, s := range c.samples[:c.sampleCount] {
		if s.id != id {
			total += s.utilization
			n++
		}
	}
	return total / float64(max(n, 1))
}

// pickLocal picks among the endpoints in the instance's own zone.
func (p *Pipeline) pickLocal(target *Target, random *rand.Rand) (Choice, bool) {
	candidates := target.Observed.Pool(target.Pool.Name)
	n := candidates.Len()
	if n == 0 {
		return Choice{}, false
	}
	selected := &selection{bestIndex: -1}
	for range p.settings.Samples * probesPerSample {
		p.consider(target, candidates, random.IntN(n), selected)
		if selected.sampleCount == p.settings.Samples {
			break
		}
	}
	if selected.bestIndex < 0 {
		p.scan(target, candidates, random.IntN(n), selected)
	}
	if selected.bestIndex < 0 {
		return Choice{}, false
	}
	if choice, ok := p.pickByPrefix(target, candidates, selected); ok {
		return choice, true
	}
	candidates.At(selected.bestIndex, &selected.endpoint)
	if !p.fits(target, &selected.endpoint) {
		return p.pickFirstFit(target, candidates, selected)
	}
	return choiceOf(target, selected, "least_loaded"), true
}

// pickFirstFit picks the first endpoint that passes the filters. It is used when the best sample no
// longer passes them because its state changed in the meantime.
func (p *Pipeline) pickFirstFit(target *Target, candidates Candidates, selected *selection) (Choice, bool) {
	for i := range candidates.Len() {
		candidates.At(i, &selected.endpoint)
		if p.fits(target, &selected.endpoint) {
			return choiceOf(target, selected, "first_fit"), true
		}
	}
	return Choice{}, false
}

// scan reads the pool in order from start, with wrap-around, until it has enough samples.
func (p *Pipeline) scan(target *Target, candidates Candidates, start int, selected *selection) {
	n := candidates.Len()
	for i := 0; i < n && selected.sampleCount < p.settings.Samples; i++ {
		p.consider(target, candidates, (start+i)%n, selected)
	}
}

// consider adds the candidate at index to the samples if it passes the filters.
func (p *Pipeline) consider(target *Target, candidates Candidates, index int, selected *selection) {
	candidates.At(index, &selected.endpoint)
	if !p.fits(target, &selected.endpoint) {
		return
	}
	score := p.load.Score(target, &selected.endpoint)
	selected.samples[selected.sampleCount] = sample{selected.endpoint.ID, score}
	selected.sampleCount++
	for _, scorer := range p.scorers {
		score += scorer.Score(target, &selected.endpoint)
	}
	if selected.bestIndex < 0 || score < selected.score {
		selected.bestIndex, selected.score = index, score
	}
}

func (p *Pipeline) fits(target *Target, endpoint *machine.Endpoint) bool {
	for _, filter := range p.filters {
		if !filter.Fits(target, endpoint) {
			return false
		}
	}
	return true
}

// pickByPrefix picks the endpoint that the prompt's prefix maps to, unless its utilization exceeds the
// mean of the other samples by more than AffinityBound and one request (consistent hashing with bounded
// loads; Mirrokni, Thorup and Zadimoghaddam, 2018).
func (p *Pipeline) pickByPrefix(target *Target, candidates Candidates, selected *selection) (Choice, bool) {
	if target.Request.PrefixHash == 0 {
		return Choice{}, false
	}
	fits := func(endpoint *machine.Endpoint) bool { return p.fits(target, endpoint) }
	if !p.affinity.Place(target.Request.PrefixHash, candidates, &selected.endpoint, fits) {
		return Choice{}, false
	}
	meanUtilization := selected.meanUtilizationExcept(selected.endpoint.ID)
	utilization := p.load.Score(target, &selected.endpoint)
	oneRequest := 1 / float64(max(selected.endpoint.Limit, 1))
	if utilization > meanUtilization*p.settings.AffinityBound+oneRequest {
		return Choice{}, false
	}
	selected.score = utilization
	return choiceOf(target, selected, "prefix_affinity"), true
}

func choiceOf(target *Target, selected *selection, reason string) Choice {
	note := Note{Stage: "pick", Endpoint: selected.endpoint.ID, Reason: reason, Value: selected.score}
	return Choice{Endpoint: selected.endpoint, Pool: target.Pool.Name, Version: target.Version, Notes: []Note{note}}
}
