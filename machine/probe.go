package machine

import (
	"context"
	"sync"
	"time"
)

// prober tries the endpoints that refused connections, each from its home only, and reopens them
// as cold ones once something listens again.
type prober struct {
	permits *SharedPermits
	calls   sync.WaitGroup

	mu   sync.Mutex
	last map[EndpointID]time.Time
}

func newProber(permits *SharedPermits) *prober {
	return &prober{permits: permits, last: make(map[EndpointID]time.Time)}
}

func (r *prober) wait() { r.calls.Wait() }

// round starts the probes that are due.
func (r *prober) round(ctx context.Context, now time.Time) {
	for id, one := range r.permits.Table.all() {
		one.mu.Lock()
		wanted := one.home.self && one.warmth.refusing && one.listed && !one.leaving
		address := one.endpoint.Address
		one.mu.Unlock()
		if wanted && r.due(id, now) {
			r.calls.Go(func() { r.probe(ctx, one, address) })
		}
	}
}

func (r *prober) due(id EndpointID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := millis(r.permits.Settings.ProbeMS)
	if now.Sub(r.last[id]) < interval {
		return false
	}
	for other, at := range r.last {
		if now.Sub(at) > interval {
			delete(r.last, other)
		}
	}
	r.last[id] = now
	return true
}

func (r *prober) probe(ctx context.Context, one *tracked, address string) {
	ctx, cancel := context.WithTimeout(ctx, millis(r.permits.Settings.ProbeMS))
	defer cancel()
	if err := r.permits.Dial(ctx, address); err != nil {
		return
	}
	one.mu.Lock()
	reopened := one.warmth.refusing && one.endpoint.Address == address
	if reopened {
		one.cool(0, false, time.Now(), time.Now())
	}
	pool, id := one.endpoint.Pool, one.endpoint.ID
	one.mu.Unlock()
	if !reopened {
		return
	}
	r.permits.Counters.Inc("plumbarrow_endpoint_reopened_total")
	r.permits.Log.Info("endpoint accepts connections again", "endpoint", id)
	r.permits.Nudge()
	r.permits.Freed(pool)
}
