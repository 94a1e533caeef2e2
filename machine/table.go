package machine

import (
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// rememberFor is how long an endpoint that vanished from the list keeps its state, so that a
// faulty read of the list does not turn warm endpoints cold.
const rememberFor = time.Minute

// Table holds the endpoints of one zone by pool. The sets are replaced as a whole; each endpoint
// has its own lock.
type Table struct {
	settings Settings
	self     InstanceID

	mu        sync.Mutex // serializes Apply and assignment
	inService bool       // the zone, at the last Apply
	applied   bool
	ring      *Ring
	listed    int       // instances of the zone in the platform's list
	readyAt   time.Time // earliest grant of this instance as a home
	index     atomic.Pointer[index]
}

// index is one immutable set of endpoints.
type index struct {
	pools map[string]*PoolView
	byID  map[EndpointID]*tracked
	byKey map[uint64]*tracked
	gone  map[EndpointID]*tracked // vanished from the list a short while ago
}

// PoolView is the set of a pool's endpoints at one moment; their state goes on changing.
type PoolView struct {
	endpoints []*tracked
}

// NewTable returns an empty table for this instance.
func NewTable(settings Settings, self InstanceID) *Table {
	t := &Table{settings: settings, self: self, ring: NewRing([]Member{{ID: self}})}
	t.readyAt = time.Now()
	t.index.Store(&index{})
	return t
}

// Pool returns the endpoints of a pool.
func (t *Table) Pool(name string) *PoolView {
	if view := t.index.Load().pools[name]; view != nil {
		return view
	}
	return &PoolView{}
}

// Len returns the number of endpoints.
func (v *PoolView) Len() int { return len(v.endpoints) }

// At copies endpoint i.
func (v *PoolView) At(i int, endpoint *Endpoint) { v.endpoints[i].view(endpoint, time.Now()) }

// Apply takes over the platform's list for the zone and the pools' limits; endpoints keep their
// state. Call it with each list and each configuration.
func (t *Table) Apply(zone string, instances []infra.Instance, snapshot *contract.Snapshot) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.index.Load()
	next := &index{
		pools: make(map[string]*PoolView),
		byID:  make(map[EndpointID]*tracked),
		byKey: make(map[uint64]*tracked),
		gone:  make(map[EndpointID]*tracked),
	}
	for _, instance := range instances {
		pool := snapshot.Pools[instance.Pool]
		if instance.Kind == infra.KindEntry || instance.Zone != zone || pool == nil {
			continue
		}
		one := last.find(instance)
		one.update(instance, pool)
		next.add(pool.Name, one)
		t.place(one, now)
	}
	t.remember(last, next, now)
	t.index.Store(next)
	t.returned(snapshot.ZoneInService(zone), next, now)
}

// find returns the known state of a listed incarnation, or a fresh one.
func (x *index) find(instance infra.Instance) *tracked {
	id := EndpointID(instance.ID)
	if one := x.byID[id]; one != nil && one.endpoint.Incarnation == instance.Incarnation {
		return one
	}
	if one := x.gone[id]; one != nil && instance.Incarnation != "" && one.endpoint.Incarnation == instance.Incarnation {
		return one
	}
	return newTracked(instance)
}

func (x *index) add(pool string, one *tracked) {
	view := x.pools[pool]
	if view == nil {
		view = &PoolView{}
		x.pools[pool] = view
	}
	view.endpoints = append(view.endpoints, one)
	x.byID[one.endpoint.ID] = one
	x.byKey[one.key] = one
}

// place assigns an endpoint that is new or whose limits changed.
func (t *Table) place(one *tracked, now time.Time) {
	one.mu.Lock()
	placed := one.home.instances > 0 && !one.home.stale
	one.mu.Unlock()
	if !placed {
		one.assign(t.ring, t.listed, false, t.self, now, t.readyAt)
	}
}

// remember marks the endpoints that vanished as not listed and keeps their state for a while.
func (t *Table) remember(last, next *index, now time.Time) {
	for id, one := range last.byID {
		if next.byID[id] == nil {
			one.mu.Lock()
			one.listed, one.goneAt = false, now
			one.mu.Unlock()
			next.gone[id] = one
		}
	}
	for id, one := range last.gone {
		if next.byID[id] == nil && next.gone[id] == nil && now.Sub(one.goneAt) < rememberFor {
			next.gone[id] = one
		}
	}
}

// returned notices that the zone came back into service: its endpoints' caches are cold, so that
// they start with a share of their limit and climb with completed work.
func (t *Table) returned(inService bool, next *index, now time.Time) {
	back := t.applied && inService && !t.inService
	t.applied, t.inService = true, inService
	if !back {
		return
	}
	for _, one := range next.byID {
		one.mu.Lock()
		start := one.limits.reaching(max(one.limits.cold, int(t.settings.ReturnShare*float64(one.limits.full))))
		if one.warmth.progress > start {
			one.cool(start, false, now, now.Add(millis(t.settings.SettleMS)))
		}
		one.mu.Unlock()
	}
}

// setRing assigns all endpoints anew on a changed ring; endpoints whose home moves here are ready
// at readyAt.
func (t *Table) setRing(ring *Ring, listed int, now, readyAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := ring.gained(t.ring)
	t.ring, t.listed = ring, listed
	t.readyAt = readyAt
	for _, one := range t.index.Load().byID {
		one.assign(ring, listed, joined, t.self, now, readyAt)
	}
}

// holdBack lets no home of this instance grant before readyAt.
func (t *Table) holdBack(readyAt time.Time) {
	for _, one := range t.all() {
		one.mu.Lock()
		one.home.readyAt = readyAt
		one.mu.Unlock()
	}
}

// get returns the listed endpoint or nil.
func (t *Table) get(id EndpointID) *tracked { return t.index.Load().byID[id] }

// all returns the listed endpoints.
func (t *Table) all() map[EndpointID]*tracked { return t.index.Load().byID }

// byKey returns the listed endpoint by the hash of its id and incarnation, or nil.
func (t *Table) byKey(key uint64) *tracked { return t.index.Load().byKey[key] }
