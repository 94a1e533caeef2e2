package machine

import (
	"context"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

const (
	tickInterval  = 100 * time.Millisecond // between two ring refreshes and checks for due reports
	stallAfter    = time.Second            // time without a tick after which this process counts as paused
	deniedBackoff = 20 * time.Millisecond  // before another request to a home that had no permit left
	maxHoldings   = 256                    // holdings in one report
	reportTimeout = time.Second
)

// newPermitRequest builds the request to the home for one more permit. The caller holds t.mu.
func (t *trackedEndpoint) newPermitRequest() *machinepb.Holding {
	message := t.newHolding()
	message.Want = true
	t.local.pending++
	return message
}

// newHolding builds the report of the permits that this instance holds, including those it is
// requesting. The caller holds t.mu.
func (t *trackedEndpoint) newHolding() *machinepb.Holding {
	t.local.sequence++
	t.local.dirty = false
	t.local.sentAt = time.Now()
	t.local.reported = t.endpoint.InFlight + t.local.pending
	return &machinepb.Holding{
		Endpoint:    string(t.endpoint.ID),
		Incarnation: t.endpoint.Incarnation,
		Epoch:       t.replicated.epoch,
		Sequence:    t.local.sequence,
		Held:        uint32(t.local.reported),
		Completed:   t.local.completed,
	}
}

// applyPermitReply applies the reply of the home to a permit request and reports whether the permit
// was granted. standing is nil if no reply came.
func (t *trackedEndpoint) applyPermitReply(standing *machinepb.Standing, now, earliestGrant time.Time) (granted bool) {
	t.local.pending--
	if standing == nil {
		t.local.dirty = true // the home may have granted the permit and count it
		t.local.backoffUntil = now.Add(deniedBackoff)
		return false
	}
	t.mergeState(replicatedFrom(standing), now, earliestGrant)
	granted = standing.GetGranted() && standing.GetEpoch() == t.replicated.epoch && !t.listedLeaving && !t.replicated.leaving && !t.replicated.refusing
	if granted {
		return true
	}
	t.local.dirty = t.local.dirty || standing.GetGranted()
	t.local.backoffUntil = now.Add(deniedBackoff)
	return false
}

func replicatedFrom(standing *machinepb.Standing) replicatedState {
	return replicatedState{epoch: standing.GetEpoch(), progress: standing.GetProgress(), ownSlots: standing.GetShared()}
}

// requestPermit requests a permit from the home of an endpoint. It returns nil if no reply came in
// time.
func (p *SharedPermits) requestPermit(ctx context.Context, home Member, message *machinepb.Holding) *machinepb.Standing {
	ctx, cancel := context.WithTimeout(ctx, millis(p.Settings.PermitTimeoutMS))
	defer cancel()
	answer, err := p.sync(ctx, home, []*machinepb.Holding{message})
	if err != nil || len(answer.GetStandings()) != 1 {
		p.Counters.Inc("plumbarrow_permit_calls_failed_total")
		return nil
	}
	return answer.GetStandings()[0]
}

func (p *SharedPermits) sync(ctx context.Context, home Member, holdings []*machinepb.Holding) (*machinepb.SyncResponse, error) {
	conn, err := p.Conns.Conn(ctx, home)
	if err != nil {
		return nil, err
	}
	return machinepb.NewDRPCPermitsClient(conn).Sync(ctx, &machinepb.SyncRequest{
		Holder:            string(p.self.ID),
		HolderIncarnation: string(p.self.Incarnation),
		Holdings:          holdings,
	})
}

// Run refreshes the ring of the zone's instances and reports holdings until ctx ends.
func (p *SharedPermits) Run(ctx context.Context) error {
	defer p.calls.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	prober := newConnectionProber(p)
	defer prober.wait()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			p.recordTick(now)
			p.refreshRing(now)
			p.maintainHomes(now)
			p.reportHoldings(ctx, now)
			prober.round(ctx, now)
		case <-p.reportRequested:
			p.reportHoldings(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// recordTick records that this process runs. If it was paused, recordTick delays all grants by
// HandoverMS, because another instance may have become home of its endpoints meanwhile.
func (p *SharedPermits) recordTick(now time.Time) {
	if p.stalled(now) {
		p.Counters.Inc("plumbarrow_permit_stalls_total")
		p.Table.delayGrants(now.Add(millis(p.Settings.HandoverMS)))
	}
	p.lastTick.Store(now.UnixNano())
}

// refreshRing rebuilds the ring if the live members of this zone or the number of listed instances
// changed.
func (p *SharedPermits) refreshRing(now time.Time) {
	members := slices.DeleteFunc(slices.Clone(p.Members.Live()), func(m Member) bool { return m.Zone != p.self.Zone })
	listedInstances := p.ListedInstances()
	if p.ring.Load() != nil && listedInstances == p.listedInstances && slices.Equal(members, p.members) {
		return
	}
	ring := NewRing(members)
	p.members, p.listedInstances = members, listedInstances
	p.ring.Store(ring)
	p.Table.setRing(ring, listedInstances, now, now.Add(millis(p.Settings.HandoverMS)))
}

// maintainHomes does the periodic work of a home: it drops lost holders, switches warm endpoints to
// the slots of each instance, and ends expired reports of leaving.
func (p *SharedPermits) maintainHomes(now time.Time) {
	ring := p.ring.Load()
	for _, target := range p.Table.all() {
		target.mu.Lock()
		if target.home.isSelf {
			target.dropLostHolders(ring, millis(p.Settings.HolderLostMS), now)
			target.trySwitchToSlots(ring, now)
			if target.replicated.leaving && !target.listedLeaving && now.Sub(target.leavingReportedAt) > millis(p.Settings.LeavingHoldMS) {
				target.startEpoch(0, false, now, p.earliestGrant())
			}
		}
		target.mu.Unlock()
	}
}

// reportHoldings reports changed holdings to their homes, and unchanged ones again every ReportMS while
// permits are held.
func (p *SharedPermits) reportHoldings(ctx context.Context, now time.Time) {
	due := make(map[Member][]*trackedEndpoint)
	for _, target := range p.Table.all() {
		target.mu.Lock()
		if target.reportDue(millis(p.Settings.ReportMS), now) && len(due[target.home.owner]) < maxHoldings {
			due[target.home.owner] = append(due[target.home.owner], target)
		}
		target.mu.Unlock()
	}
	for home, endpoints := range due {
		p.mu.Lock()
		reporting := p.reporting[home.ID]
		p.reporting[home.ID] = true
		p.mu.Unlock()
		if reporting {
			continue
		}
		p.calls.Go(func() { p.reportTo(ctx, home, endpoints) })
	}
}

// reportDue reports whether a report to the home is due: after a change, or every interval while
// permits are held.
func (t *trackedEndpoint) reportDue(interval time.Duration, now time.Time) bool {
	if t.home.isSelf || t.usesOwnSlots() || t.home.owner.ID == "" {
		return false
	}
	held := t.endpoint.InFlight > 0 || t.local.reported > 0
	return t.local.dirty || held && now.Sub(t.local.sentAt) >= interval
}

func (p *SharedPermits) reportTo(ctx context.Context, home Member, endpoints []*trackedEndpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holdings := make([]*machinepb.Holding, len(endpoints))
	for i, target := range endpoints {
		target.mu.Lock()
		holdings[i] = target.newHolding()
		target.mu.Unlock()
	}
	answer, err := p.sync(ctx, home, holdings)
	p.mu.Lock()
	delete(p.reporting, home.ID)
	p.mu.Unlock()
	failed := err != nil || len(answer.GetStandings()) != len(endpoints)
	now := time.Now()
	for i, target := range endpoints {
		target.mu.Lock()
		if failed {
			target.local.dirty = true
		} else {
			target.mergeState(replicatedFrom(answer.GetStandings()[i]), now, p.earliestGrant())
		}
		target.mu.Unlock()
	}
}
