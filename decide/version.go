package decide

import (
	"math/rand/v2"
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Version chooses the version of a pool's model for a request: the session's own version, else an
// active one that the customer may use, drawn by weight. Weights never move a session, since its
// pin is looked up before they are. A refusal has the verdict NotRun.
//
// A session has at most one pin per model. A cascade step on a model without a pin draws by weight;
// the entry instance adds the drawn version to the session's pins, so that later requests of the
// session find it again.
func Version(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	pin := request.PinOf(pool.Model)
	if pin == (contract.VersionID{}) {
		return weighted(snapshot, request, pool, random)
	}
	return pinned(snapshot, request, pool, pin, random)
}

// PinOf returns the session's version of a model, or the zero value.
func (r *Request) PinOf(model string) contract.VersionID {
	if r.Pin.Model == model {
		return r.Pin
	}
	for _, pin := range r.MorePins {
		if pin.Model == model {
			return pin
		}
	}
	return contract.VersionID{}
}

func pinned(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, pin contract.VersionID, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	version := snapshot.Versions[pin]
	if version == nil || version.State == contract.VersionWithdrawn || !routeServes(snapshot, request.Route, pin) {
		if request.Route.OnWithdrawn == contract.WithdrawnRestart {
			return weighted(snapshot, request, pool, random)
		}
		return contract.VersionID{}, verdict.Refuse(verdict.SessionVersionWithdrawn, "the session's version %s is withdrawn", pin)
	}
	if !request.Customer.Allows(pin) {
		return contract.VersionID{}, verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", request.Customer.Name, pin)
	}
	if !pool.Serves(pin) {
		return weighted(snapshot, request, pool, random)
	}
	return pin, nil
}

// routeServes says whether any pool of the route may serve the version.
func routeServes(snapshot *contract.Snapshot, route *contract.Route, version contract.VersionID) bool {
	return slices.ContainsFunc(route.Pools, func(name string) bool {
		pool := snapshot.Pools[name]
		return pool != nil && pool.Serves(version)
	})
}

func weighted(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	var total float64
	var chosen contract.VersionID
	model := snapshot.Models[pool.Model]
	if model == nil {
		return chosen, verdict.Refuse(verdict.UnknownModel, "model %s is not configured", pool.Model)
	}
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

// versionAllowed checks a version against a snapshot: known, not withdrawn, draining only for its
// own sessions, served by the pool and open to the customer.
func versionAllowed(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, id contract.VersionID) *verdict.Refusal {
	version := snapshot.Versions[id]
	ownSession := request.PinOf(id.Model) == id
	switch {
	case version == nil || version.State == contract.VersionWithdrawn:
		if ownSession && request.Route.OnWithdrawn != contract.WithdrawnRestart {
			return verdict.Refuse(verdict.SessionVersionWithdrawn, "the session's version %s is withdrawn", id)
		}
		return verdict.Refuse(verdict.VersionWithdrawn, "version %s is withdrawn", id)
	case version.State == contract.VersionDraining && !ownSession:
		return verdict.Refuse(verdict.VersionWithdrawn, "version %s serves its own sessions only", id)
	case !pool.Serves(id):
		return verdict.Refuse(verdict.ModelNotAllowed, "pool %s does not serve %s", pool.Name, id)
	case !request.Customer.Allows(id):
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", request.Customer.Name, id)
	}
	return nil
}
