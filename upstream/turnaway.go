package upstream

import "time"

// turnAway is the time for which an endpoint wants no requests from this instance. At its end one request at a time probes the
// endpoint until an answer shows that it takes requests again, so that those that wait do not all arrive together.
type turnAway struct {
	until   time.Time // zero unless the endpoint has turned this instance away
	probing bool      // a request is in progress that was sent after until
}

// admits reports whether a request may be sent.
func (a *turnAway) admits(now time.Time) bool {
	return a.until.IsZero() || !now.Before(a.until) && !a.probing
}

// left returns the time until a request may be sent; 0 if that only depends on requests in progress.
func (a *turnAway) left(now time.Time) time.Duration { return max(a.until.Sub(now), 0) }

// RecordTurnAway records that the endpoint wants no requests from this instance for the time from now on. The longest of several
// times holds.
func (g *Grant) RecordTurnAway(pause time.Duration, request string) {
	until := time.Now().Add(pause)
	e := g.Endpoint
	e.mu.Lock()
	current := e.report.incarnation() == g.Report.incarnation()
	if current && until.After(e.turnAway.until) {
		e.turnAway.until = until
	}
	e.mu.Unlock()
	if !current {
		return
	}
	g.table.log.Info("endpoint turns requests away", "endpoint", e.id, "service", g.Report.Service, "for_ms", pause.Milliseconds(),
		"request_id", request)
	g.table.counters.Inc("plumbarrow_turned_away_total")
}

// RecordTaken records an answer by which the endpoint does not turn the instance away. It ends a time that is over.
func (g *Grant) RecordTaken() {
	e := g.Endpoint
	e.mu.Lock()
	ended := g.probe && !time.Now().Before(e.turnAway.until)
	if ended {
		e.turnAway = turnAway{}
		g.probe = false
	}
	e.mu.Unlock()
	if ended {
		g.table.WakeNext(g.Report.Service)
	}
}

// TurnedAwayFor returns how long it takes until an endpoint that is eligible for the request takes requests from this instance again.
func (t *Table) TurnedAwayFor(need *Need) time.Duration {
	now := time.Now()
	evacuated := *t.evacuated.Load()
	var shortest time.Duration
	found := false
	for _, e := range t.view.Load().byService[need.Service] {
		e.mu.Lock()
		if e.available(now) && !evacuated[e.report.Zone] && e.matchesVersion(need) {
			if left := e.turnAway.left(now); !found || left < shortest {
				shortest, found = left, true
			}
		}
		e.mu.Unlock()
	}
	return shortest
}
