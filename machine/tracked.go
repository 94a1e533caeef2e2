package machine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// tracked is the state of one incarnation of an endpoint under its own lock.
type tracked struct {
	key uint64 // hash of id and incarnation, its name among the zone's instances

	mu       sync.Mutex
	endpoint Endpoint
	limits   limits
	polled   bool // its pool's endpoints publish their load
	listed   bool // the list shows it
	goneAt   time.Time
	leaving  bool // by the list

	warmth    warmth
	changedAt time.Time // of warmth, for the topic
	proof     proof
	saidAt    time.Time // when the endpoint's own word that it leaves came

	breaker  breaker
	adaptive adaptive
	steps    stepDetector

	home  home
	holds holds
}

// warmth is the shared part of an endpoint's state. It merges: a higher epoch replaces a lower
// one, within an epoch each field only grows.
type warmth struct {
	epoch    uint32 // counts cold starts of this incarnation
	progress uint64 // completed requests in this epoch, over all instances
	shared   bool   // warm: instances use their own slots without asking the home
	leaving  bool   // by its own word
	refusing bool   // nothing listens at its address
}

// merge takes over another instance's knowledge and says whether anything changed.
func (w *warmth) merge(other warmth) bool {
	before := *w
	switch {
	case other.epoch > w.epoch:
		*w = other
	case other.epoch == w.epoch:
		w.progress = max(w.progress, other.progress)
		w.shared = w.shared || other.shared
		w.leaving = w.leaving || other.leaving
		w.refusing = w.refusing || other.refusing
	}
	return *w != before
}

// endpointKey hashes an endpoint's id and incarnation.
func endpointKey(id EndpointID, incarnation string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + incarnation)
}

func newTracked(instance infra.Instance) *tracked {
	id := EndpointID(instance.ID)
	return &tracked{
		key:      endpointKey(id, instance.Incarnation),
		endpoint: Endpoint{ID: id, Incarnation: instance.Incarnation},
		adaptive: adaptive{share: 1},
	}
}

// update takes over a row of the platform's list.
func (t *tracked) update(instance infra.Instance, pool *contract.Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	t.polled = pool.Kind == contract.PoolEngine
	t.endpoint.Pool = pool.Name
	t.endpoint.Zone = instance.Zone
	t.endpoint.Address = instance.Address
	t.endpoint.Version = contract.VersionID{Model: instance.Model, Name: instance.Version}
	t.leaving = instance.State == infra.StateLeaving
	if limits := limitsOf(pool); limits != t.limits {
		t.limits = limits
		t.home.stale = true
	}
}

// view copies the endpoint as it stands now.
func (t *tracked) view(endpoint *Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*endpoint = t.endpoint
	endpoint.Leaving = t.leaving || t.warmth.leaving
	endpoint.Healthy = t.listed && !t.warmth.refusing && t.breaker.allows(now)
	endpoint.Cold = t.warmth.progress < t.limits.complete()
	endpoint.ErrorRate = t.breaker.rate
	endpoint.Limit = t.visibleLimit(now)
}

// takesWork says whether this incarnation of the endpoint may get a request now.
func (t *tracked) takesWork(incarnation string, now time.Time) bool {
	return t.endpoint.Incarnation == incarnation &&
		t.listed && !t.leaving && !t.warmth.leaving && !t.warmth.refusing &&
		t.breaker.allows(now) && !now.Before(t.steps.pausedUntil)
}

// visibleLimit is the limit that decisions see: this instance's slots of a shared endpoint, else
// the limit over all instances, or no more than in use while the home has no permit to give.
func (t *tracked) visibleLimit(now time.Time) int {
	if now.Before(t.steps.pausedUntil) {
		return t.endpoint.InFlight
	}
	if t.sharing() {
		return t.ownSlots(now)
	}
	if now.Before(t.holds.fullUntil) || t.home.self && now.Before(t.home.readyAt) {
		return t.endpoint.InFlight
	}
	return t.reachable(t.limits.at(t.warmth.progress))
}

// sharing says whether instances use their own slots. With fewer slots than instances the home
// hands out permits also when the endpoint is warm.
func (t *tracked) sharing() bool { return t.warmth.shared && t.home.instances <= t.limits.full }

const (
	// provenFor is how long a whole answer shows that an endpoint is warm. It may have restarted
	// since without anyone noticing, so after that one request at a time goes there.
	provenFor = time.Minute
	// proofDelay is the time from the next answer until this instance uses all its slots again:
	// another instance may have got the answer that tells of a restart.
	proofDelay = 500 * time.Millisecond
)

// proof is what this instance's own answers show of an endpoint.
type proof struct {
	at   time.Time // of the last whole answer
	from time.Time // when it counts
}

func (p *proof) completed(now time.Time) {
	if now.Sub(p.at) > provenFor {
		p.from = now.Add(proofDelay)
	}
	p.at = now
}

// holds says whether the endpoint is known to be warm.
func (p *proof) holds(now time.Time) bool {
	return now.Sub(p.at) <= provenFor && !now.Before(p.from)
}

// ownSlots is this instance's part of a shared endpoint's limit.
func (t *tracked) ownSlots(now time.Time) int {
	if t.home.slots == 0 {
		return 0
	}
	if !t.proof.holds(now) {
		return 1
	}
	return max(1, int(t.adaptive.share*float64(t.reachable(t.home.slots))))
}

// cool starts a new epoch of the endpoint with the given progress.
func (t *tracked) cool(progress uint64, refusing bool, now, readyAt time.Time) {
	t.warmth = warmth{epoch: t.warmth.epoch + 1, progress: progress, refusing: refusing}
	t.cooled(now, readyAt)
}

// cooled resets what belonged to the epoch before.
func (t *tracked) cooled(now, readyAt time.Time) {
	t.changedAt = now
	t.holds.completed = 0
	t.holds.dirty = t.endpoint.InFlight > 0
	t.steps = stepDetector{}
	t.adaptive = adaptive{share: 1}
	if t.home.self && t.home.readyAt.Before(readyAt) {
		t.home.readyAt = readyAt
	}
}

// adopt merges another instance's knowledge; cold says that it started a new epoch.
func (t *tracked) adopt(other warmth, now, readyAt time.Time) (changed, cold bool) {
	epoch, progress, leaving := t.warmth.epoch, t.warmth.progress, t.warmth.leaving
	if !t.warmth.merge(other) {
		return false, false
	}
	t.changedAt = now
	if t.warmth.leaving && !leaving {
		t.saidAt = now
	}
	if t.warmth.epoch != epoch {
		t.cooled(now, readyAt)
	} else if t.warmth.progress > progress {
		t.rebase()
	}
	return true, t.warmth.epoch != epoch
}
