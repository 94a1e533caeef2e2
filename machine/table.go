package machine

import (
	"slices"
	"sync"
	"sync/atomic"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/platform"
)

// Table holds the endpoints of one zone by pool. Each endpoint has its own lock.
type Table struct {
	mu    sync.Mutex // serializes Apply
	pools atomic.Pointer[map[string]*PoolView]
}

// PoolView is the set of a pool's endpoints at one moment; their state goes on changing.
type PoolView struct {
	endpoints []*tracked
}

type tracked struct {
	mu       sync.Mutex
	endpoint Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.pools.Store(&map[string]*PoolView{})
	return t
}

// Pool returns the endpoints of a pool.
func (t *Table) Pool(name string) *PoolView {
	if view := (*t.pools.Load())[name]; view != nil {
		return view
	}
	return &PoolView{}
}

// Len returns the number of endpoints.
func (v *PoolView) Len() int { return len(v.endpoints) }

// At copies endpoint i.
func (v *PoolView) At(i int, endpoint *Endpoint) {
	tracked := v.endpoints[i]
	tracked.mu.Lock()
	*endpoint = tracked.endpoint
	tracked.mu.Unlock()
}

// Apply takes over the platform's list for the zone; endpoints keep their state.
func (t *Table) Apply(zone string, instances []platform.Instance, snapshot *contract.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[EndpointID]*tracked)
	for _, view := range *t.pools.Load() {
		for _, one := range view.endpoints {
			known[one.endpoint.ID] = one
		}
	}
	pools := make(map[string]*PoolView)
	for _, instance := range instances {
		pool := snapshot.Pools[instance.Pool]
		if instance.Kind == platform.KindEntry || instance.Zone != zone || pool == nil {
			continue
		}
		view := pools[pool.Name]
		if view == nil {
			view = &PoolView{}
			pools[pool.Name] = view
		}
		view.endpoints = append(view.endpoints, updated(known[EndpointID(instance.ID)], instance, pool))
	}
	t.pools.Store(&pools)
}

func updated(one *tracked, instance platform.Instance, pool *contract.Pool) *tracked {
	if one == nil || one.endpoint.Incarnation != instance.Incarnation {
		one = &tracked{endpoint: Endpoint{ID: EndpointID(instance.ID), Incarnation: instance.Incarnation, Healthy: true}}
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.endpoint.Pool = pool.Name
	one.endpoint.Zone = instance.Zone
	one.endpoint.Address = instance.Address
	one.endpoint.Version = contract.VersionID{Model: instance.Model, Name: instance.Version}
	one.endpoint.Leaving = instance.State == platform.StateLeaving
	one.endpoint.Limit = pool.MaxConcurrent
	return one
}

// Acquire takes one of the endpoint's permits. release must be called exactly once; ok is false
// if the endpoint is gone, leaving or at its limit.
func (t *Table) Acquire(endpoint Endpoint) (release func(), ok bool) {
	view := t.Pool(endpoint.Pool)
	i := slices.IndexFunc(view.endpoints, func(one *tracked) bool { return one.endpoint.ID == endpoint.ID })
	if i < 0 {
		return nil, false
	}
	one := view.endpoints[i]
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.endpoint.Leaving || one.endpoint.InFlight >= one.endpoint.Limit {
		return nil, false
	}
	one.endpoint.InFlight++
	return func() {
		one.mu.Lock()
		one.endpoint.InFlight--
		one.mu.Unlock()
	}, true
}
