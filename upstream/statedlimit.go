package upstream

import "time"

// statedLimit is the request rate that an endpoint in need states in its answers.
type statedLimit struct {
	rate float64 // requests per second from all instances together
	// inForce is false if the endpoint has stated no limit or has ceased to.
	inForce    bool
	observedAt time.Time // of the answer that this is known from; zero if there was none
}

// RecordRateLimit records the limit that the endpoint's answer states, or that it states none. An answer without a limit only ends one
// that was observed before the request was sent, so that answers that overtake each other do not.
func (g *Grant) RecordRateLimit(rate float64, stated bool) {
	now := time.Now()
	e := g.Endpoint
	e.mu.Lock()
	before := e.statedLimit
	ends := before.inForce && !stated && g.startedAt.After(before.observedAt)
	if stated || ends {
		e.statedLimit = statedLimit{rate: rate, inForce: stated, observedAt: now}
	}
	e.mu.Unlock()
	switch {
	case stated && (!before.inForce || before.rate != rate):
		g.table.log.Info("endpoint states a limit", "endpoint", e.id, "service", g.Report.Service, "requests_per_second", rate)
		g.table.counters.Inc("plumbarrow_stated_limits_total")
	case ends:
		g.table.log.Info("endpoint states no limit any more", "endpoint", e.id, "service", g.Report.Service)
	}
}
