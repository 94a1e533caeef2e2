package machine

import (
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// unlistedRetention is how long an endpoint that disappeared from the list keeps its state, so that
// a faulty read of the list does not turn warm endpoints cold.
const unlistedRetention = time.Minute

// Table holds the endpoints of one zone by pool. The sets are replaced as a whole; each endpoint
// has its own lock.
type Table struct {
	settings Settings
	self     InstanceID

	mu              sync.Mutex // serializes Apply and assignment
	inService       bool       // whether the zone was in service at the last Apply
	applied         bool       // Apply ran before
	ring            *Ring
	listedInstances int       // instances of the zone in the platform's list
	earliestGrant   time.Time // earliest grant by this instance as home
	index           atomic.Pointer[index]
}

// index is one immutable set of endpoints.
type index struct {
	pools    map[string]*PoolView
	byID     map[EndpointID]*trackedEndpoint
	byKey    map[uint64]*trackedEndpoint
	unlisted map[EndpointID]*trackedEndpoint // disappeared from the list less than unlistedRetention ago
}

// PoolView is the set of a pool's endpoints at one moment. The set is fixed; the state of its
// endpoints goes on changing.
type PoolView struct {
	endpoints []*trackedEndpoint
}

// NewTable returns an empty table for this instance.
func NewTable(settings Settings, self InstanceID) *Table {
	t := &Table{settings: settings, self: self, ring: NewRing([]Member{{ID: self}})}
	t.earliestGrant = time.Now()
	t.index.Store(&index{})
	return t
}

// Pool returns the listed endpoints of a pool in the table's zone; none if the pool is unknown.
func (t *Table) Pool(name string) *PoolView {
	if view := t.index.Load().pools[name]; view != nil {
		return view
	}
	return &PoolView{}
}

// Len returns the number of endpoints.
func (v *PoolView) Len() int { return len(v.endpoints) }

// At copies the present state of endpoint i, from 0 to Len()-1.
func (v *PoolView) At(i int, endpoint *Endpoint) { v.endpoints[i].copyTo(endpoint, time.Now()) }

// Apply updates the table from the platform's list for the zone and the limits of the pools; known
// endpoints keep their state. It is called with each list and each configuration.
func (t *Table) Apply(zone string, instances []infra.Instance, snapshot *contract.Snapshot) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.index.Load()
	next := &index{
		pools:    make(map[string]*PoolView),
		byID:     make(map[EndpointID]*trackedEndpoint),
		byKey:    make(map[uint64]*trackedEndpoint),
		unlisted: make(map[EndpointID]*trackedEndpoint),
	}
	for _, instance := range instances {
		pool := snapshot.Pools[instance.Pool]
		if instance.Kind == infra.KindEntry || instance.Zone != zone || pool == nil {
			continue
		}
		target := last.find(instance)
		target.update(instance, pool)
		next.add(pool.Name, target)
		t.assignIfNeeded(target, now)
	}
	t.retainUnlisted(last, next, now)
	t.index.Store(next)
	t.handleZoneReturn(snapshot.ZoneInService(zone), next, now)
}

// find returns the known state of a listed incarnation, or a fresh one.
func (x *index) find(instance infra.Instance) *trackedEndpoint {
	id := EndpointID(instance.ID)
	if known := x.byID[id]; known != nil && known.endpoint.Incarnation == instance.Incarnation {
		return known
	}
	if known := x.unlisted[id]; known != nil && instance.Incarnation != "" && known.endpoint.Incarnation == instance.Incarnation {
		return known
	}
	return newTrackedEndpoint(instance)
}

func (x *index) add(pool string, target *trackedEndpoint) {
	view := x.pools[pool]
	if view == nil {
		view = &PoolView{}
		x.pools[pool] = view
	}
	view.endpoints = append(view.endpoints, target)
	x.byID[target.endpoint.ID] = target
	x.byKey[target.key] = target
}

// assignIfNeeded assigns a home and slots to an endpoint that is new or whose limits changed.
func (t *Table) assignIfNeeded(target *trackedEndpoint, now time.Time) {
	target.mu.Lock()
	assigned := target.home.liveInstances > 0 && !target.home.stale
	target.mu.Unlock()
	if !assigned {
		target.assign(t.ring, t.listedInstances, false, t.self, now, t.earliestGrant)
	}
}

// retainUnlisted marks the endpoints that disappeared from the list as unlisted and keeps their
// state for unlistedRetention.
func (t *Table) retainUnlisted(last, next *index, now time.Time) {
	for id, target := range last.byID {
		if next.byID[id] == nil {
			target.mu.Lock()
			target.listed, target.unlistedAt = false, now
			target.mu.Unlock()
			next.unlisted[id] = target
		}
	}
	for id, target := range last.unlisted {
		if next.byID[id] == nil && next.unlisted[id] == nil && now.Sub(target.unlistedAt) < unlistedRetention {
			next.unlisted[id] = target
		}
	}
}

// handleZoneReturn restarts the warm-up of all endpoints when the zone comes back into service,
// because their caches are cold by then. It lowers each limit to ReturnShare of the full limit; the
// limit grows again with completed work.
func (t *Table) handleZoneReturn(inService bool, next *index, now time.Time) {
	returned := t.applied && inService && !t.inService
	t.applied, t.inService = true, inService
	if !returned {
		return
	}
	for _, target := range next.byID {
		target.mu.Lock()
		start := target.limits.progressFor(max(target.limits.cold, int(t.settings.ReturnShare*float64(target.limits.full))))
		if target.replicated.progress > start {
			target.startEpoch(start, false, now, now.Add(millis(t.settings.SettleMS)))
		}
		target.mu.Unlock()
	}
}

// setRing reassigns all endpoints on a changed ring. As the new home of an endpoint, this instance
// grants from earliestGrant.
func (t *Table) setRing(ring *Ring, listedInstances int, now, earliestGrant time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := ring.gained(t.ring)
	t.ring, t.listedInstances = ring, listedInstances
	t.earliestGrant = earliestGrant
	for _, target := range t.index.Load().byID {
		target.assign(ring, listedInstances, joined, t.self, now, earliestGrant)
	}
}

// delayGrants keeps this instance from granting permits as a home before earliestGrant.
func (t *Table) delayGrants(earliestGrant time.Time) {
	for _, target := range t.all() {
		target.mu.Lock()
		target.home.earliestGrant = earliestGrant
		target.mu.Unlock()
	}
}

// get returns the listed endpoint or nil.
func (t *Table) get(id EndpointID) *trackedEndpoint { return t.index.Load().byID[id] }

// all returns the listed endpoints.
func (t *Table) all() map[EndpointID]*trackedEndpoint { return t.index.Load().byID }

// byKey returns the listed endpoint by the hash of its id and incarnation, or nil.
func (t *Table) byKey(key uint64) *trackedEndpoint { return t.index.Load().byKey[key] }
