package machine

import (
	"context"
	"sync"
	"time"
)

// connectionProber makes the connection probes: it tries to connect to endpoints that refused
// connections, each from its home only, and reopens them as cold once they accept one.
type connectionProber struct {
	permits *SharedPermits
	calls   sync.WaitGroup

	mu        sync.Mutex
	lastProbe map[EndpointID]time.Time
}

func newConnectionProber(permits *SharedPermits) *connectionProber {
	return &connectionProber{permits: permits, lastProbe: make(map[EndpointID]time.Time)}
}

func (r *connectionProber) wait() { r.calls.Wait() }

// round starts the connection probes that are due.
func (r *connectionProber) round(ctx context.Context, now time.Time) {
	for id, target := range r.permits.Table.all() {
		target.mu.Lock()
		wanted := target.home.isSelf && target.replicated.refusing && target.listed && !target.listedLeaving
		address := target.endpoint.Address
		target.mu.Unlock()
		if wanted && r.reserve(id, now) {
			r.calls.Go(func() { r.probe(ctx, target, address) })
		}
	}
}

// reserve reports whether a connection probe of the endpoint is due and, if so, records its start.
func (r *connectionProber) reserve(id EndpointID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := millis(r.permits.Settings.ProbeMS)
	if now.Sub(r.lastProbe[id]) < interval {
		return false
	}
	for other, at := range r.lastProbe {
		if now.Sub(at) > interval {
			delete(r.lastProbe, other)
		}
	}
	r.lastProbe[id] = now
	return true
}

func (r *connectionProber) probe(ctx context.Context, target *trackedEndpoint, address string) {
	ctx, cancel := context.WithTimeout(ctx, millis(r.permits.Settings.ProbeMS))
	defer cancel()
	if err := r.permits.Dial(ctx, address); err != nil {
		return
	}
	target.mu.Lock()
	reopened := target.replicated.refusing && target.endpoint.Address == address
	if reopened {
		target.startEpoch(0, false, time.Now(), time.Now())
	}
	pool, id := target.endpoint.Pool, target.endpoint.ID
	target.mu.Unlock()
	if !reopened {
		return
	}
	r.permits.Counters.Inc("plumbarrow_endpoint_reopened_total")
	r.permits.Log.Info("endpoint accepts connections again", "pool", pool, "endpoint", id)
	r.permits.TriggerRound()
	r.permits.PermitFreed(pool)
}
