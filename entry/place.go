package entry

import (
	"context"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// maxPlacements bounds the picks that the last check before dispatch turns down.
	maxPlacements = 8
	// maxTaken bounds the endpoints whose permits are asked for before the request queues: each one
	// may cost a call to another entry instance.
	maxTaken = 4
)

// placement is an endpoint chosen for one attempt, with the permit to use it; or a zone that should
// serve the request.
type placement struct {
	choice decide.Choice
	permit machine.Permit
}

// place chooses version and endpoint in the pool and takes a permit, waiting in the queue while the
// pool is full. Its last step checks the choice against the configuration in force at that moment.
func (w *work) place(ctx context.Context, pool string) (*placement, error) {
	var taken []machine.EndpointID // their permits went to others
	var last *verdict.Refusal
	for tries := 0; tries < maxPlacements && len(taken) < maxPlacements; {
		if ctx.Err() != nil {
			return nil, verdict.Refuse(verdict.CallerGone, "the caller left")
		}
		if refusal := w.refresh(); refusal != nil {
			return nil, refusal
		}
		choice, refusal := w.choose(ctx, pool, taken)
		full := len(taken) >= maxTaken || refusal != nil && meansFull(refusal.Reason)
		if full && w.server.Queue != nil {
			if waited := w.wait(ctx, pool); waited != nil {
				return nil, waited
			}
			taken = nil
			continue
		}
		if refusal != nil {
			return nil, refusal
		}
		if choice.Zone != "" {
			return &placement{choice: choice}, nil
		}
		placed, refusal := w.acquire(ctx, choice)
		if refusal == nil {
			return placed, nil
		}
		last = refusal
		if refusal.Reason == verdict.NoEndpoint {
			taken = append(taken, choice.Endpoint.ID)
		} else {
			tries++
		}
	}
	return nil, last
}

// meansFull says whether a pick failed only because the pool has no room now. hop_limit means that
// besides the request may not go to another zone.
func meansFull(reason verdict.Reason) bool {
	return reason == verdict.NoEndpoint || reason == verdict.HopLimit
}

// acquire takes a permit and then checks the choice for the last time before its dispatch.
func (w *work) acquire(ctx context.Context, choice decide.Choice) (*placement, *verdict.Refusal) {
	permit, refusal := w.server.Permits.Acquire(ctx, &choice.Endpoint)
	if refusal != nil {
		w.server.Counters.Retried(verdict.RetryPermit)
		w.note(decide.Note{Stage: "permit", Endpoint: choice.Endpoint.ID, Reason: string(refusal.Reason)})
		return nil, verdict.Refuse(verdict.NoEndpoint, "the endpoint's permits are taken")
	}
	if refusal := decide.Dispatchable(w.server.Source.Current(), w.request, &choice); refusal != nil {
		permit.Done(machine.Result{})
		w.server.Counters.Retried(verdict.RetryWithdrawn)
		w.note(decide.Note{Stage: "dispatch", Endpoint: choice.Endpoint.ID, Reason: string(refusal.Reason)})
		return nil, refusal
	}
	return &placement{choice: choice, permit: permit}, nil
}

// wait queues for a place in the pool. All waits of a request together end at one time.
func (w *work) wait(ctx context.Context, pool string) *verdict.Refusal {
	w.note(decide.Note{Stage: "queue", Reason: "pool_full"})
	if w.queueEnds.IsZero() {
		w.queueEnds = time.Now().Add(w.server.Settings.queueWait())
	}
	ends := w.request.Deadline
	if w.queueEnds.Before(ends) {
		ends = w.queueEnds
	}
	priority := w.request.Customer.Priority + w.request.Route.Priority
	refusal := w.server.Queue.Wait(ctx, pool, priority, ends)
	if refusal != nil && refusal.Reason == verdict.DeadlineExceeded && ends.Before(w.request.Deadline) {
		return verdict.Refuse(verdict.QueueTimeout, "no endpoint became free within %s", w.server.Settings.queueWait())
	}
	return refusal
}

// choose picks a version of the pool's model and an endpoint that serves it.
func (w *work) choose(ctx context.Context, name string, taken []machine.EndpointID) (decide.Choice, *verdict.Refusal) {
	pool := w.snapshot.Pools[name]
	if pool == nil {
		return decide.Choice{}, verdict.Refuse(verdict.NoEndpoint, "pool %s is no longer configured", name)
	}
	version, refusal := w.chooseVersion(ctx, pool)
	if refusal != nil {
		return decide.Choice{}, refusal
	}
	choice, refusal := w.pick(name, version, slices.Concat(w.excluded, taken))
	if refusal != nil && len(w.excluded) > 0 {
		// Better an endpoint that failed once than none.
		choice, refusal = w.pick(name, version, taken)
	}
	if refusal != nil {
		return choice, refusal
	}
	w.note(choice.Notes...)
	return choice, nil
}

func (w *work) pick(pool string, version contract.VersionID, excluded []machine.EndpointID) (decide.Choice, *verdict.Refusal) {
	seen := &decide.Observation{
		Now:  time.Now(),
		Zone: w.server.Self.Zone,
		Pool: func(name string) decide.Candidates { return w.server.Table.Pool(name) },
	}
	if w.server.Zones != nil && w.server.Forwarder != nil && w.request.Hops == 0 && !w.bound {
		seen.Zones = w.server.Zones()
	}
	return w.server.Picker.Pick(w.snapshot, w.request, pool, version, seen, excluded, w.random)
}

func (w *work) chooseVersion(ctx context.Context, pool *contract.Pool) (contract.VersionID, *verdict.Refusal) {
	if pool.Kind == contract.PoolService {
		return contract.VersionID{}, nil
	}
	w.request.Pin = w.session.pin(pool.Model)
	if w.resume != nil {
		w.request.Pin = w.resume.version
	}
	version, refusal := decide.Version(w.snapshot, w.request, pool, w.random)
	if refusal != nil {
		return version, refusal
	}
	if w.resume != nil && version != w.resume.version {
		return version, verdict.Refuse(verdict.VersionWithdrawn, "the stream's version %s is withdrawn", w.resume.version)
	}
	if w.session.bareID == "" || w.request.Pin == version {
		return version, nil
	}
	if err := w.server.pinBare(ctx, w.request.Customer.Name, w.session, version); err != nil {
		return version, verdict.Of(err)
	}
	return w.bareVersion(ctx, pool)
}

// bareVersion is the version of a session that the caller names by its own id. One whose version
// was withdrawn moves to another, the same one at every instance.
func (w *work) bareVersion(ctx context.Context, pool *contract.Pool) (contract.VersionID, *verdict.Refusal) {
	w.request.Pin = w.session.pin(pool.Model)
	version, refusal := decide.Version(w.snapshot, w.request, pool, w.random)
	if refusal != nil || version == w.request.Pin {
		return version, refusal
	}
	if err := w.server.repinBare(ctx, w.request.Customer.Name, w.session, w.request.Pin, version); err != nil {
		return version, verdict.Of(err)
	}
	w.request.Pin = w.session.pin(pool.Model)
	return decide.Version(w.snapshot, w.request, pool, w.random)
}
