package decide

import (
	"math/rand/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	maxSamples = 8
	// probesPerSample bounds the random probes spent on unfit endpoints before the pool is read in
	// order.
	probesPerSample = 3
)

// Pipeline filters, scores and picks an endpoint among a few random ones. Comparing d random
// endpoints instead of taking the best keeps instances with the same lagging reports from crowding
// one endpoint (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
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

// Pick implements Picker. Endpoints of the own zone come first; if none can take the attempt, the
// choice names another zone.
func (p *Pipeline) Pick(snapshot *contract.Snapshot, request *Request, pool string, version contract.VersionID,
	seen *Observation, excluded []machine.EndpointID, random *rand.Rand,
) (Choice, *verdict.Refusal) {
	target := &Target{
		Snapshot: snapshot,
		Request:  request,
		Pool:     snapshot.Pools[pool],
		Version:  version,
		Seen:     seen,
		Excluded: excluded,
	}
	if refusal := permitted(target, pool); refusal != nil {
		return Choice{}, refusal
	}
	if snapshot.ZoneInService(seen.Zone) {
		if choice, ok := p.local(target, random); ok {
			return choice, nil
		}
	}
	return p.spill(target, random)
}

// permitted checks what does not depend on an endpoint.
func permitted(target *Target, pool string) *verdict.Refusal {
	if target.Pool == nil {
		return verdict.Refuse(verdict.NoEndpoint, "pool %s is not configured", pool)
	}
	if target.Pool.Kind == contract.PoolService {
		return nil
	}
	return versionAllowed(target.Snapshot, target.Request, target.Pool, target.Version)
}

// contest keeps the best endpoint seen so far.
type contest struct {
	endpoint machine.Endpoint // scratch, then the best
	best     int
	score    float64
	seen     int
	sampled  [maxSamples]sample
}

// sample is the share of its limit that a compared endpoint uses.
type sample struct {
	id    machine.EndpointID
	share float64
}

// othersMean is the mean share in use of the samples other than one endpoint, which would else
// raise the bound that holds for itself.
func (c *contest) othersMean(id machine.EndpointID) float64 {
	var sum float64
	n := 0
	for _, one := range c.sampled[:c.seen] {
		if one.id != id {
			sum += one.share
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// local picks among the endpoints of the own zone.
func (p *Pipeline) local(target *Target, random *rand.Rand) (Choice, bool) {
	candidates := target.Seen.Pool(target.Pool.Name)
	n := candidates.Len()
	if n == 0 {
		return Choice{}, false
	}
	round := &contest{best: -1}
	for range p.settings.Samples * probesPerSample {
		p.try(target, candidates, random.IntN(n), round)
		if round.seen == p.settings.Samples {
			break
		}
	}
	if round.best < 0 {
		p.scan(target, candidates, random.IntN(n), round)
	}
	if round.best < 0 {
		return Choice{}, false
	}
	if choice, ok := p.near(target, candidates, round); ok {
		return choice, true
	}
	candidates.At(round.best, &round.endpoint)
	if !p.fits(target, &round.endpoint) {
		return p.rescan(target, candidates, round)
	}
	return chosen(target, round, "least_loaded"), true
}

// rescan picks the first endpoint that still fits, after the best one has changed in between.
func (p *Pipeline) rescan(target *Target, candidates Candidates, round *contest) (Choice, bool) {
	for i := range candidates.Len() {
		candidates.At(i, &round.endpoint)
		if p.fits(target, &round.endpoint) {
			return chosen(target, round, "first_fit"), true
		}
	}
	return Choice{}, false
}

// scan reads the pool from a random position on until it has found enough endpoints that fit.
func (p *Pipeline) scan(target *Target, candidates Candidates, start int, round *contest) {
	n := candidates.Len()
	for i := 0; i < n && round.seen < p.settings.Samples; i++ {
		p.try(target, candidates, (start+i)%n, round)
	}
}

// try enters candidate at into the round if it fits.
func (p *Pipeline) try(target *Target, candidates Candidates, at int, round *contest) {
	candidates.At(at, &round.endpoint)
	if !p.fits(target, &round.endpoint) {
		return
	}
	score := p.load.Score(target, &round.endpoint)
	round.sampled[round.seen] = sample{round.endpoint.ID, score}
	round.seen++
	for _, scorer := range p.scorers {
		score += scorer.Score(target, &round.endpoint)
	}
	if round.best < 0 || score < round.score {
		round.best, round.score = at, score
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

// near picks the endpoint that holds the prompt's prefix, unless that is busier than the sampled
// ones by more than the bound (consistent hashing with bounded loads; Mirrokni, Thorup and
// Zadimoghaddam, 2018).
func (p *Pipeline) near(target *Target, candidates Candidates, round *contest) (Choice, bool) {
	if target.Request.PrefixHash == 0 {
		return Choice{}, false
	}
	fits := func(endpoint *machine.Endpoint) bool { return p.fits(target, endpoint) }
	if !p.affinity.Place(target.Request.PrefixHash, candidates, &round.endpoint, fits) {
		return Choice{}, false
	}
	mean := round.othersMean(round.endpoint.ID)
	share := p.load.Score(target, &round.endpoint)
	oneMore := 1 / float64(max(round.endpoint.Limit, 1))
	if share > mean*p.settings.AffinityBound+oneMore {
		return Choice{}, false
	}
	round.score = share
	return chosen(target, round, "prefix_affinity"), true
}

func chosen(target *Target, round *contest, reason string) Choice {
	note := Note{Stage: "pick", Endpoint: round.endpoint.ID, Reason: reason, Value: round.score}
	return Choice{Endpoint: round.endpoint, Pool: target.Pool.Name, Version: target.Version, Notes: []Note{note}}
}
