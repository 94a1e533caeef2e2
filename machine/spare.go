package machine

import "time"

// loadReportMaxAge is the age from which SpareCapacity ignores a load report.
const loadReportMaxAge = 5 * time.Second

// SpareCapacity estimates per pool how many more requests the zone's endpoints could start now: their
// limits over all instances less what they reported, or, without a recent report, less this
// instance's own requests times the number of instances.
func (t *Table) SpareCapacity() map[string]int {
	now := time.Now()
	spare := make(map[string]int)
	for name, view := range t.index.Load().pools {
		spare[name] = 0
		for _, target := range view.endpoints {
			spare[name] += target.spare(now)
		}
	}
	return spare
}

func (t *trackedEndpoint) spare(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed || t.listedLeaving || t.replicated.leaving || t.replicated.refusing || !t.breaker.allows(now) {
		return 0
	}
	busy := t.endpoint.InFlight * max(t.home.liveInstances, 1)
	if now.Sub(t.endpoint.ReportedAt) < loadReportMaxAge {
		busy = max(t.endpoint.ReportedRunning+t.endpoint.ReportedQueued, t.endpoint.InFlight)
	}
	return max(0, t.limits.at(t.replicated.progress)-busy)
}
