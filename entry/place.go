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
	// maxPlacements is the number of failed checks before dispatch after which a request is refused.
	// Without a queue it is also the number of endpoints without a free permit.
	maxPlacements = 8
	// maxPermitAttempts is the number of endpoints without a free permit after which the request
	// queues. Each attempt may cost a call to another entry instance.
	maxPermitAttempts = 4
)

// placement is the endpoint chosen for one attempt, with its permit; or, if choice.Zone is set,
// another zone that should serve the request, without a permit.
type placement struct {
	choice decide.Choice
	permit machine.Permit
}

// place chooses a version and an endpoint of the pool and takes a permit. It waits in the queue while
// the pool is full, and refuses a request that a planned stop leaves no time for. Its last step checks
// the choice against the configuration then in force, so that a change during the wait applies.
func (r *requestState) place(ctx context.Context, pool string) (*placement, error) {
	var withoutPermit []machine.EndpointID // endpoints that had no permit left
	var lastRefusal *verdict.Refusal
	for tries := 0; tries < maxPlacements && len(withoutPermit) < maxPlacements; {
		if ctx.Err() != nil {
			return nil, cancelled(ctx, r.worstVerdict)
		}
		if refusal := r.refresh(); refusal != nil {
			return nil, refusal
		}
		if refusal := r.server.checkStop(r.request); refusal != nil && r.resume == nil {
			return nil, refusal
		}
		choice, refusal := r.choose(ctx, pool, withoutPermit)
		full := len(withoutPermit) >= maxPermitAttempts || refusal != nil && isPoolFull(refusal.Reason)
		if full && r.server.Queue != nil {
			if queueRefusal := r.waitInQueue(ctx, pool); queueRefusal != nil {
				return nil, queueRefusal
			}
			withoutPermit = nil
			continue
		}
		if refusal != nil {
			return nil, refusal
		}
		if choice.Zone != "" {
			return &placement{choice: choice}, nil
		}
		placed, refusal := r.acquire(ctx, choice)
		if refusal == nil {
			return placed, nil
		}
		lastRefusal = refusal
		if refusal.Reason == verdict.NoEndpoint {
			withoutPermit = append(withoutPermit, choice.Endpoint.ID)
		} else {
			tries++
		}
	}
	return nil, lastRefusal
}

// isPoolFull reports whether a pick failed only because the pool has no free capacity now. hop_limit
// says the same of a request that may not be forwarded to another zone.
func isPoolFull(reason verdict.Reason) bool {
	return reason == verdict.NoEndpoint || reason == verdict.HopLimit
}

// acquire takes a permit of the chosen endpoint, then checks the choice against the configuration in
// force. It returns the permit if the check fails.
func (r *requestState) acquire(ctx context.Context, choice decide.Choice) (*placement, *verdict.Refusal) {
	permit, refusal := r.server.Permits.Acquire(ctx, &choice.Endpoint)
	if refusal != nil {
		r.server.Counters.Retried(verdict.RetryPermit)
		r.note(decide.Note{Stage: "permit", Endpoint: choice.Endpoint.ID, Reason: string(refusal.Reason)})
		return nil, verdict.Refuse(verdict.NoEndpoint, "the endpoint's permits are taken")
	}
	if refusal := decide.Dispatchable(r.server.Source.Current(), r.request, &choice); refusal != nil {
		permit.Done(machine.Result{})
		r.server.Counters.Retried(verdict.RetryWithdrawn)
		r.note(decide.Note{Stage: "dispatch", Endpoint: choice.Endpoint.ID, Reason: string(refusal.Reason)})
		return nil, refusal
	}
	return &placement{choice: choice, permit: permit}, nil
}

// waitInQueue waits until the pool may have free capacity. All waits of a request share one deadline,
// set at the first wait: Settings.QueueWaitMS later, or the request's deadline if that is earlier.
func (r *requestState) waitInQueue(ctx context.Context, pool string) *verdict.Refusal {
	r.note(decide.Note{Stage: "queue", Reason: "pool_full"})
	if r.queueDeadline.IsZero() {
		r.queueDeadline = time.Now().Add(r.server.Settings.queueWait())
	}
	deadline := r.request.Deadline
	if r.queueDeadline.Before(deadline) {
		deadline = r.queueDeadline
	}
	priority := r.request.Customer.Priority + r.request.Route.Priority
	refusal := r.server.Queue.Wait(ctx, pool, priority, deadline)
	if refusal != nil && refusal.Reason == verdict.CallerGone {
		return cancelled(ctx, r.worstVerdict)
	}
	if refusal != nil && refusal.Reason == verdict.DeadlineExceeded && deadline.Before(r.request.Deadline) {
		return verdict.Refuse(verdict.QueueTimeout, "no endpoint became free within %s", r.server.Settings.queueWait())
	}
	return refusal
}

// choose picks a version of the pool's model and an endpoint that serves it, other than those in
// withoutPermit.
func (r *requestState) choose(ctx context.Context, name string, withoutPermit []machine.EndpointID) (decide.Choice, *verdict.Refusal) {
	pool := r.snapshot.Pools[name]
	if pool == nil {
		return decide.Choice{}, verdict.Refuse(verdict.NoEndpoint, "pool %s is no longer configured", name)
	}
	version, refusal := r.chooseVersion(ctx, pool)
	if refusal != nil {
		return decide.Choice{}, refusal
	}
	choice, refusal := r.pick(name, version, slices.Concat(r.excluded, withoutPermit))
	if refusal != nil && len(r.excluded) > 0 {
		// Endpoints that failed this request are excluded only while there are others.
		choice, refusal = r.pick(name, version, withoutPermit)
	}
	if refusal != nil {
		return choice, refusal
	}
	r.note(choice.Notes...)
	return choice, nil
}

// pick asks the picker for an endpoint in this zone, or for another zone if the request may still be
// forwarded.
func (r *requestState) pick(pool string, version contract.VersionID, excluded []machine.EndpointID) (decide.Choice, *verdict.Refusal) {
	observation := &decide.Observation{
		Now:  time.Now(),
		Zone: r.server.Self.Zone,
		Pool: func(name string) decide.Candidates { return r.server.Table.Pool(name) },
	}
	if r.server.Zones != nil && r.server.Forwarder != nil && r.request.Hops == 0 && !r.zoneBound {
		observation.Zones = r.server.Zones()
	}
	return r.server.Picker.Pick(r.snapshot, r.request, pool, version, observation, excluded, r.random)
}

// chooseVersion returns the model version for the next attempt: that of the stream to resume, else
// that of the session, else a new choice. It returns the zero value for a plain service.
func (r *requestState) chooseVersion(ctx context.Context, pool *contract.Pool) (contract.VersionID, *verdict.Refusal) {
	if pool.Kind == contract.PoolService {
		return contract.VersionID{}, nil
	}
	r.request.Pin = r.session.pin(pool.Model)
	if r.resume != nil {
		r.request.Pin = r.resume.version
	}
	version, refusal := decide.Version(r.snapshot, r.request, pool, r.random)
	if refusal != nil {
		return version, refusal
	}
	if r.resume != nil && version != r.resume.version {
		return version, verdict.Refuse(verdict.VersionWithdrawn, "the stream's version %s is withdrawn", r.resume.version)
	}
	if r.session.callerID == "" || r.request.Pin == version {
		return version, nil
	}
	if err := r.server.pinCallerSession(ctx, r.request.Customer.Name, r.session, version); err != nil {
		return version, verdict.RefusalOf(err)
	}
	return r.callerSessionVersion(ctx, pool)
}

// callerSessionVersion returns the version of a session with a caller-chosen id. If its version was
// withdrawn, it repins the session in the ledger, so that all instances use the same new version.
func (r *requestState) callerSessionVersion(ctx context.Context, pool *contract.Pool) (contract.VersionID, *verdict.Refusal) {
	r.request.Pin = r.session.pin(pool.Model)
	version, refusal := decide.Version(r.snapshot, r.request, pool, r.random)
	if refusal != nil || version == r.request.Pin {
		return version, refusal
	}
	if err := r.server.repinCallerSession(ctx, r.request.Customer.Name, r.session, r.request.Pin, version); err != nil {
		return version, verdict.RefusalOf(err)
	}
	r.request.Pin = r.session.pin(pool.Model)
	return decide.Version(r.snapshot, r.request, pool, r.random)
}
