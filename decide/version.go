package decide

import (
	"math/rand/v2"
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Version chooses the version of a pool's model for a request: the version that the session is pinned
// to, else an active one that the customer may use, drawn by weight. A change of weights never moves a
// session, since pins take precedence over weights. A refusal has the verdict NotRun.
//
// A session has at most one pin per model. A cascade step on a model without a pin draws by weight;
// the entry instance adds the drawn version to the session's pins, so that later requests of the
// session use the same version.
func Version(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	pin := request.PinOf(pool.Model)
	if pin == (contract.VersionID{}) {
		return drawByWeight(snapshot, request, pool, random)
	}
	return pinnedVersion(snapshot, request, pool, pin, random)
}

// PinOf returns the version of the model that the session is pinned to, or the zero value.
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

// pinnedVersion returns the version pin. If it is withdrawn, the session is refused or, with
// WithdrawnRestart, gets a new version; if only this pool does not serve it, another one is drawn.
func pinnedVersion(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, pin contract.VersionID, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
	version := snapshot.Versions[pin]
	if version == nil || version.State == contract.VersionWithdrawn || !routeServes(snapshot, request.Route, pin) {
		if request.Route.OnWithdrawn == contract.WithdrawnRestart {
			return drawByWeight(snapshot, request, pool, random)
		}
		return contract.VersionID{}, verdict.Refuse(verdict.SessionVersionWithdrawn, "the session's version %s is withdrawn", pin)
	}
	if !request.Customer.Allows(pin) {
		return contract.VersionID{}, verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", request.Customer.Name, pin)
	}
	if !pool.Serves(pin) {
		return drawByWeight(snapshot, request, pool, random)
	}
	return pin, nil
}

// routeServes reports whether any pool of the route may serve the version.
func routeServes(snapshot *contract.Snapshot, route *contract.Route, version contract.VersionID) bool {
	return slices.ContainsFunc(route.Pools, func(name string) bool {
		pool := snapshot.Pools[name]
		return pool != nil && pool.Serves(version)
	})
}

// drawByWeight draws an active version that the pool serves and the customer may use, in one pass
// (weighted reservoir sampling of one item).
func drawByWeight(snapshot *contract.Snapshot, request *Request, pool *contract.Pool, random *rand.Rand) (contract.VersionID, *verdict.Refusal) {
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

// versionAllowed returns nil if the request may use the version under the snapshot: it must be
// configured, not withdrawn, served by the pool and allowed for the customer. A draining version is
// allowed only for sessions that are pinned to it.
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
