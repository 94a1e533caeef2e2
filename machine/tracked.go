package machine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// trackedEndpoint is the state of one incarnation of an endpoint. mu guards all fields after it, except the
// endpoint's ID and Incarnation, which do not change.
type trackedEndpoint struct {
	key uint64 // hash of id and incarnation, identifies the endpoint among the zone's instances

	mu            sync.Mutex
	endpoint      Endpoint
	limits        limits
	exposesLoad   bool // the endpoints of its pool publish their load as metrics
	listed        bool // in the platform's list
	unlistedAt    time.Time
	listedLeaving bool // the platform's list shows it as leaving

	replicated        replicatedState
	changedAt         time.Time // last change of replicated, for the state topic
	confirmation      warmConfirmation
	leavingReportedAt time.Time // first report by the endpoint itself that it leaves

	breaker  breaker
	aimd     aimd
	restarts restartDetector

	home  homeState
	local localPermits
}

// replicatedState is the part of the state of an endpoint that the instances gossip. Merging is
// commutative and idempotent: a higher epoch replaces a lower one, and within an epoch each field
// only grows.
type replicatedState struct {
	epoch    uint32 // counts cold starts of this incarnation
	progress uint64 // completed requests in this epoch, over all instances
	ownSlots bool   // warm: instances use their own slots without asking the home
	leaving  bool   // reported by the endpoint itself
	refusing bool   // connections to its address are refused
}

// merge merges the state at another instance and reports whether anything changed.
func (w *replicatedState) merge(other replicatedState) bool {
	before := *w
	switch {
	case other.epoch > w.epoch:
		*w = other
	case other.epoch == w.epoch:
		w.progress = max(w.progress, other.progress)
		w.ownSlots = w.ownSlots || other.ownSlots
		w.leaving = w.leaving || other.leaving
		w.refusing = w.refusing || other.refusing
	}
	return *w != before
}

// endpointKey hashes an endpoint's id and incarnation.
func endpointKey(id EndpointID, incarnation string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + incarnation)
}

func newTrackedEndpoint(instance infra.Instance) *trackedEndpoint {
	id := EndpointID(instance.ID)
	return &trackedEndpoint{
		key:      endpointKey(id, instance.Incarnation),
		endpoint: Endpoint{ID: id, Incarnation: instance.Incarnation},
		aimd:     aimd{share: 1},
	}
}

// update applies a row of the platform's list.
func (t *trackedEndpoint) update(instance infra.Instance, pool *contract.Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	t.exposesLoad = pool.Kind == contract.PoolEngine
	t.endpoint.Pool = pool.Name
	t.endpoint.Zone = instance.Zone
	t.endpoint.Address = instance.Address
	t.endpoint.Version = contract.VersionID{Model: instance.Model, Name: instance.Version}
	t.listedLeaving = instance.State == infra.StateLeaving
	if limits := limitsOf(pool); limits != t.limits {
		t.limits = limits
		t.home.stale = true
	}
}

// copyTo copies the present state of the endpoint.
func (t *trackedEndpoint) copyTo(endpoint *Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*endpoint = t.endpoint
	endpoint.Leaving = t.listedLeaving || t.replicated.leaving
	endpoint.Healthy = t.listed && !t.replicated.refusing && t.breaker.allows(now)
	endpoint.Cold = t.replicated.progress < t.limits.fullProgress()
	endpoint.ErrorRate = t.breaker.errorRate
	endpoint.Limit = t.visibleLimit(now)
}

// takesWork reports whether this incarnation of the endpoint may get a request now.
func (t *trackedEndpoint) takesWork(incarnation string, now time.Time) bool {
	return t.endpoint.Incarnation == incarnation &&
		t.listed && !t.listedLeaving && !t.replicated.leaving && !t.replicated.refusing &&
		t.breaker.allows(now) && !now.Before(t.restarts.pausedUntil)
}

// visibleLimit returns the limit that routing decisions use: the usable slots of this instance or,
// while the home grants permits, the limit over all instances. It is the number of requests in
// flight while no permit can be had.
func (t *trackedEndpoint) visibleLimit(now time.Time) int {
	if now.Before(t.restarts.pausedUntil) {
		return t.endpoint.InFlight
	}
	if t.usesOwnSlots() {
		return t.usableSlots(now)
	}
	if now.Before(t.local.backoffUntil) || t.home.isSelf && now.Before(t.home.earliestGrant) {
		return t.endpoint.InFlight
	}
	return t.reachableShare(t.limits.at(t.replicated.progress))
}

// usesOwnSlots reports whether each instance uses its own slots. With fewer slots than instances
// the home grants permits even when the endpoint is warm.
func (t *trackedEndpoint) usesOwnSlots() bool {
	return t.replicated.ownSlots && t.home.liveInstances <= t.limits.full
}

const (
	// confirmationTTL is how long a complete answer confirms that an endpoint is warm. It may have
	// restarted undetected since, so after that it gets one request at a time.
	confirmationTTL = time.Minute
	// confirmationDelay is how long this instance goes on sending one request at a time after the
	// first answer that confirms the endpoint again: another instance may have got the answer that
	// reports a restart.
	confirmationDelay = 500 * time.Millisecond
)

// warmConfirmation records the answers to this instance that confirm a warm endpoint.
type warmConfirmation struct {
	lastAnswerAt time.Time // last complete answer
	validFrom    time.Time // start of the confirmation
}

func (p *warmConfirmation) recordAnswer(now time.Time) {
	if now.Sub(p.lastAnswerAt) > confirmationTTL {
		p.validFrom = now.Add(confirmationDelay)
	}
	p.lastAnswerAt = now
}

// valid reports whether the endpoint is confirmed to be warm.
func (p *warmConfirmation) valid(now time.Time) bool {
	return now.Sub(p.lastAnswerAt) <= confirmationTTL && !now.Before(p.validFrom)
}

// usableSlots returns how many of its slots of a warm endpoint this instance may use now.
func (t *trackedEndpoint) usableSlots(now time.Time) int {
	if t.home.slots == 0 {
		return 0
	}
	if !t.confirmation.valid(now) {
		return 1
	}
	return max(1, int(t.aimd.share*float64(t.reachableShare(t.home.slots))))
}

// startEpoch starts a new epoch of the endpoint with the given progress; it replaces the previous
// epoch at all instances.
func (t *trackedEndpoint) startEpoch(progress uint64, refusing bool, now, earliestGrant time.Time) {
	t.replicated = replicatedState{epoch: t.replicated.epoch + 1, progress: progress, refusing: refusing}
	t.resetEpochState(now, earliestGrant)
}

// resetEpochState resets the state that belongs to the previous epoch.
func (t *trackedEndpoint) resetEpochState(now, earliestGrant time.Time) {
	t.changedAt = now
	t.local.completed = 0
	t.local.dirty = t.endpoint.InFlight > 0
	t.restarts = restartDetector{}
	t.aimd = aimd{share: 1}
	if t.home.isSelf && t.home.earliestGrant.Before(earliestGrant) {
		t.home.earliestGrant = earliestGrant
	}
}

// mergeState merges the replicated state at another instance; cold reports whether it has a newer
// epoch.
func (t *trackedEndpoint) mergeState(other replicatedState, now, earliestGrant time.Time) (changed, cold bool) {
	epoch, progress, leaving := t.replicated.epoch, t.replicated.progress, t.replicated.leaving
	if !t.replicated.merge(other) {
		return false, false
	}
	t.changedAt = now
	if t.replicated.leaving && !leaving {
		t.leavingReportedAt = now
	}
	if t.replicated.epoch != epoch {
		t.resetEpochState(now, earliestGrant)
	} else if t.replicated.progress > progress {
		t.resetBaselines()
	}
	return true, t.replicated.epoch != epoch
}
