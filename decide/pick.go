package decide

import (
	"math/rand/v2"
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// samples is how many random candidates are compared; two suffice for an exponential improvement
// over one (Mitzenmacher, "The power of two choices", 2001), four also tolerate unfit ones.
const samples = 4

// LeastLoaded compares a few random candidates by reported load plus own requests in flight.
type LeastLoaded struct{}

var _ Picker = LeastLoaded{}

// Pick implements Picker.
func (LeastLoaded) Pick(snapshot *contract.Snapshot, request *Request, pool string, version contract.VersionID,
	seen *Observation, excluded []machine.EndpointID, random *rand.Rand,
) (Choice, *verdict.Refusal) {
	candidates := seen.Pool(pool)
	best := -1
	var bestScore float64
	var endpoint machine.Endpoint
	n := candidates.Len()
	sampled := 0
	start := 0
	if n > 0 {
		start = random.IntN(n)
	}
	for i := 0; i < n && sampled < samples; i++ {
		at := (start + i) % n
		candidates.At(at, &endpoint)
		if !fit(&endpoint, version, excluded) {
			continue
		}
		sampled++
		score := load(&endpoint)
		if best < 0 || score < bestScore {
			best, bestScore = at, score
		}
	}
	if best < 0 {
		return Choice{}, verdict.Refuse(verdict.NoEndpoint, "no endpoint of pool %s can take the request", pool)
	}
	candidates.At(best, &endpoint)
	note := Note{Stage: "pick", Endpoint: endpoint.ID, Reason: "least_loaded", Value: bestScore}
	return Choice{Endpoint: endpoint, Pool: pool, Version: version, Notes: []Note{note}}, nil
}

func fit(endpoint *machine.Endpoint, version contract.VersionID, excluded []machine.EndpointID) bool {
	return !endpoint.Leaving &&
		endpoint.Healthy &&
		endpoint.Version == version &&
		endpoint.InFlight < endpoint.Limit &&
		!slices.Contains(excluded, endpoint.ID)
}

// load is the share of an endpoint's limit in use, by its own report or by what this instance
// sent, whichever is more, since reports lag.
func load(endpoint *machine.Endpoint) float64 {
	busy := max(endpoint.ReportedRunning+endpoint.ReportedQueued, endpoint.InFlight)
	return float64(busy) / float64(max(endpoint.Limit, 1))
}
