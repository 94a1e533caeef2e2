package decide

import (
	"math/rand/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Version chooses the version of a pool's model for a request: the session's own version, else an
// active one that the customer may use, drawn by weight. A refusal has the verdict NotRun.
func Version(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	if request.Pin.Model == pool.Model && request.Pin != (contract.VersionID{}) {
		return pinned(snapshot, request, pool, random)
	}
	return weighted(snapshot, request, pool, random)
}

func pinned(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	version := snapshot.Versions[request.Pin]
	if version == nil || version.State == contract.VersionWithdrawn {
		if request.Route.OnWithdrawn == contract.WithdrawnRestart {
			return weighted(snapshot, request, pool, random)
		}
		return contract.VersionID{}, verdict.Refuse(verdict.SessionVersionWithdrawn, "the session's version %s is withdrawn", request.Pin)
	}
	if !request.Customer.Allows(request.Pin) {
		return contract.VersionID{}, verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", request.Customer.Name, request.Pin)
	}
	return request.Pin, nil
}

func weighted(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	var total float64
	var chosen contract.VersionID
	model := snapshot.Models[pool.Model]
	for i := range model.Versions {
		version := &model.Versions[i]
		id := contract.VersionID{Model: model.Name, Name: version.Name}
		if version.State != contract.VersionActive || *version.Weight == 0 || !pool.Serves(id) || !request.Customer.Allows(id) {
			continue
		}
		total += *version.Weight
		if random.Float64()*total < *version.Weight {
			chosen = id
		}
	}
	if total == 0 {
		return chosen, verdict.Refuse(verdict.ModelNotAllowed, "no active version of %s is open to customer %s", pool.Model, request.Customer.Name)
	}
	return chosen, nil
}
