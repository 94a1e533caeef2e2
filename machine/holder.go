package machine

import (
	"context"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

const (
	tickInterval  = 100 * time.Millisecond // of ring refresh and overdue reports
	stallAfter    = time.Second            // without a tick: this process was paused
	fullPause     = 20 * time.Millisecond  // before asking a home again that had no permit
	maxHoldings   = 256                    // holdings in one report
	reportTimeout = time.Second
)

// ask builds the request for one more permit. The endpoint is locked.
func (t *tracked) ask() *machinepb.Holding {
	message := t.holding()
	message.Want = true
	t.holds.pending++
	return message
}

// holding reports what this instance holds now, permits being asked for included.
func (t *tracked) holding() *machinepb.Holding {
	t.holds.sequence++
	t.holds.dirty = false
	t.holds.sentAt = time.Now()
	t.holds.told = t.endpoint.InFlight + t.holds.pending
	return &machinepb.Holding{
		Endpoint:    string(t.endpoint.ID),
		Incarnation: t.endpoint.Incarnation,
		Epoch:       t.warmth.epoch,
		Sequence:    t.holds.sequence,
		Held:        uint32(t.holds.told),
		Completed:   t.holds.completed,
	}
}

// answered takes in the home's answer to a request for a permit; nil means that none came.
func (t *tracked) answered(standing *machinepb.Standing, now, readyAt time.Time) (granted bool) {
	t.holds.pending--
	if standing == nil {
		t.holds.dirty = true // the home may have counted a permit
		t.holds.fullUntil = now.Add(fullPause)
		return false
	}
	t.adopt(warmthOf(standing), now, readyAt)
	granted = standing.GetGranted() && standing.GetEpoch() == t.warmth.epoch && !t.leaving && !t.warmth.leaving && !t.warmth.refusing
	if granted {
		return true
	}
	t.holds.dirty = t.holds.dirty || standing.GetGranted()
	t.holds.fullUntil = now.Add(fullPause)
	return false
}

func warmthOf(standing *machinepb.Standing) warmth {
	return warmth{epoch: standing.GetEpoch(), progress: standing.GetProgress(), shared: standing.GetShared()}
}

// askHome asks an endpoint's home for a permit; nil if no answer came in time.
func (p *SharedPermits) askHome(ctx context.Context, home Member, message *machinepb.Holding) *machinepb.Standing {
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
	prober := newProber(p)
	defer prober.wait()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			p.tick(now)
			p.refreshRing(now)
			p.tend(now)
			p.flush(ctx, now)
			prober.round(ctx, now)
		case <-p.kick:
			p.flush(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// tick notes that the process runs, and after a pause treats all its endpoints as newly taken over.
func (p *SharedPermits) tick(now time.Time) {
	if p.stalled(now) {
		p.Counters.Inc("plumbarrow_permit_stalls_total")
		p.Table.holdBack(now.Add(millis(p.Settings.HandoverMS)))
	}
	p.ticked.Store(now.UnixNano())
}

// refreshRing follows the live members of this zone.
func (p *SharedPermits) refreshRing(now time.Time) {
	members := slices.DeleteFunc(p.Members.Live(), func(m Member) bool { return m.Zone != p.self.Zone })
	listed := p.Listed()
	if p.ring.Load() != nil && listed == p.listed && slices.Equal(members, p.members) {
		return
	}
	ring := NewRing(members)
	p.members, p.listed = members, listed
	p.ring.Store(ring)
	p.Table.setRing(ring, listed, now, now.Add(millis(p.Settings.HandoverMS)))
}

// tend does the home's timed work: it forgets lost holders, shares warm endpoints and ends old
// leaving marks.
func (p *SharedPermits) tend(now time.Time) {
	ring := p.ring.Load()
	for _, one := range p.Table.all() {
		one.mu.Lock()
		if one.home.self {
			one.forget(ring, millis(p.Settings.HolderLostMS), now)
			one.share(ring, now)
			if one.warmth.leaving && !one.leaving && now.Sub(one.saidAt) > millis(p.Settings.LeavingHoldMS) {
				one.cool(0, false, now, p.settledAt())
			}
		}
		one.mu.Unlock()
	}
}

// flush reports to the homes what changed, and now and then what is held for long.
func (p *SharedPermits) flush(ctx context.Context, now time.Time) {
	due := make(map[Member][]*tracked)
	for _, one := range p.Table.all() {
		one.mu.Lock()
		if one.reportDue(millis(p.Settings.ReportMS), now) && len(due[one.home.owner]) < maxHoldings {
			due[one.home.owner] = append(due[one.home.owner], one)
		}
		one.mu.Unlock()
	}
	for home, endpoints := range due {
		p.mu.Lock()
		busy := p.busy[home.ID]
		p.busy[home.ID] = true
		p.mu.Unlock()
		if busy {
			continue
		}
		p.calls.Go(func() { p.reportTo(ctx, home, endpoints) })
	}
}

func (t *tracked) reportDue(interval time.Duration, now time.Time) bool {
	if t.home.self || t.sharing() || t.home.owner.ID == "" {
		return false
	}
	held := t.endpoint.InFlight > 0 || t.holds.told > 0
	return t.holds.dirty || held && now.Sub(t.holds.sentAt) >= interval
}

func (p *SharedPermits) reportTo(ctx context.Context, home Member, endpoints []*tracked) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holdings := make([]*machinepb.Holding, len(endpoints))
	for i, one := range endpoints {
		one.mu.Lock()
		holdings[i] = one.holding()
		one.mu.Unlock()
	}
	answer, err := p.sync(ctx, home, holdings)
	p.mu.Lock()
	delete(p.busy, home.ID)
	p.mu.Unlock()
	failed := err != nil || len(answer.GetStandings()) != len(endpoints)
	now := time.Now()
	for i, one := range endpoints {
		one.mu.Lock()
		if failed {
			one.holds.dirty = true
		} else {
			one.adopt(warmthOf(answer.GetStandings()[i]), now, p.settledAt())
		}
		one.mu.Unlock()
	}
}
