// Package zone maintains the membership of entry instances in all zones (data centres), gossips
// state between them, and holds the orders and load reports that decide which zones take requests.
package zone

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
)

// Membership decides which entry instances are live. It combines the platform's instance list,
// which lags, with the announcements and failures that the exchange reports. Safe for concurrent
// use.
type Membership struct {
	settings Settings
	self     machine.Member
	list     infra.InstanceList
	log      *slog.Logger

	mu      sync.Mutex
	leaving bool
	listed  map[machine.InstanceID]listedMember
	order   []machine.InstanceID           // of listed, sorted
	present []machine.Member               // of listed, those that are live there, sorted; replaced, never modified
	records map[machine.InstanceID]*record // of other members
	live    []machine.Member               // sorted by id; replaced, never modified
	scratch []machine.Member               // for the next computation of live
	builtAt time.Time                      // when live was computed; zero if it is out of date
	onList  []func([]infra.Instance)
	// lastList is the list that listed was built from.
	lastList []infra.Instance
}

// listedMember is an entry instance in the platform's last list.
type listedMember struct {
	member machine.Member
	state  infra.State
}

// record is the latest gossip about a member and its health as seen by this instance.
type record struct {
	member       machine.Member
	lastHeardAt  time.Time // when the member last announced itself, to any instance
	leaving      bool
	failingSince time.Time // first failed exchange since the member's last direct message; zero if none
}

// recordTTL is how long a member's announcement takes precedence over the list, and how long the
// record of an unlisted member is kept. The list has caught up by then.
const recordTTL = time.Minute

var _ machine.Members = (*Membership)(nil)

// NewMembership returns a membership that contains only self.
func NewMembership(settings Settings, self machine.Member, list infra.InstanceList, log *slog.Logger) *Membership {
	return &Membership{
		settings: settings,
		self:     self,
		list:     list,
		log:      log,
		records:  make(map[machine.InstanceID]*record),
		live:     []machine.Member{self},
	}
}

// Self implements machine.Members.
func (m *Membership) Self() machine.Member { return m.self }

// Live implements machine.Members. After Leave, self is no longer included.
func (m *Membership) Live() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuild(time.Now())
	return m.live
}

// Leave marks this instance as shutting down. Peers remove it from their live members at their next
// exchange with it.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.builtAt = time.Time{}
}

// OnList registers a function that is called by Run with the result of each successful list read. It
// must not modify the list.
func (m *Membership) OnList(f func([]infra.Instance)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onList = append(m.onList, f)
}

// Run reads the list periodically until ctx ends. While reads fail, the last list stays in use.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(milliseconds(m.settings.ListIntervalMS))
	defer ticker.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Membership) refresh(ctx context.Context) {
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.log.Warn("instance list read failed; the last list stays in use", "error", err)
		return
	}
	m.mu.Lock()
	if !sameList(instances, m.lastList) {
		m.setListed(instances)
	}
	onList := slices.Clone(m.onList)
	m.mu.Unlock()
	for _, f := range onList {
		f(instances)
	}
}

// sameList reports whether a and b are the same slice, as returned by a list that has not changed.
func sameList(a, b []infra.Instance) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// setListed replaces the listed members. The caller holds mu.
func (m *Membership) setListed(instances []infra.Instance) {
	m.lastList = instances
	m.listed = make(map[machine.InstanceID]listedMember)
	m.order = m.order[:0]
	for _, instance := range instances {
		if instance.Kind == infra.KindEntry {
			m.listed[machine.InstanceID(instance.ID)] = listedMember{member: memberOf(instance), state: instance.State}
		}
	}
	for id := range m.listed {
		m.order = append(m.order, id)
	}
	slices.Sort(m.order)
	var present []machine.Member
	for _, id := range m.order {
		if listed := m.listed[id]; listed.state == infra.StateLive {
			present = append(present, listed.member)
		}
	}
	if !slices.Equal(present, m.present) {
		m.present = present
	}
	m.builtAt = time.Time{}
}

func memberOf(instance infra.Instance) machine.Member {
	return machine.Member{
		ID:          machine.InstanceID(instance.ID),
		Incarnation: machine.Incarnation(instance.Incarnation),
		Zone:        instance.Zone,
		Address:     instance.Address,
		LinkMbps:    instance.LinkMbps,
	}
}

// Present returns the members that the platform's last list shows as live, including those that do not answer.
func (m *Membership) Present() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present
}

// ListedCount returns how many entry instances of this zone the list shows as live, including those that
// do not answer.
func (m *Membership) ListedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, entry := range m.listed {
		if entry.member.Zone == m.self.Zone && entry.state == infra.StateLive {
			n++
		}
	}
	return n
}

// maxLiveAge bounds the age of the cached live members. Members become suspected or expire by the
// passage of time alone, without any message.
const maxLiveAge = 100 * time.Millisecond

// rebuild recomputes the live members if they are out of date. It keeps the slice if they are the same. The
// caller holds mu.
func (m *Membership) rebuild(now time.Time) {
	if now.Sub(m.builtAt) < maxLiveAge {
		return
	}
	m.builtAt = now
	live := m.scratch[:0]
	for _, id := range m.order {
		if listed := m.listed[id]; id != m.self.ID && m.listedLive(id, listed, now) {
			live = append(live, m.resolve(id, listed.member))
		}
	}
	sorted := len(live)
	for id, record := range m.records {
		age := now.Sub(record.lastHeardAt)
		if _, isListed := m.listed[id]; isListed {
			continue
		}
		switch {
		case age > recordTTL:
			delete(m.records, id)
		case age <= milliseconds(m.settings.HeardForMS) && !record.leaving:
			live = append(live, record.member)
		}
	}
	if len(live) > sorted {
		slices.SortFunc(live, byID)
	}
	if !m.leaving {
		at, _ := slices.BinarySearchFunc(live, m.self, byID)
		live = slices.Insert(live, at, m.self)
	}
	m.scratch = live
	if !slices.Equal(live, m.live) {
		m.live = slices.Clone(live)
	}
}

func byID(a, b machine.Member) int { return strings.Compare(string(a.ID), string(b.ID)) }

// listedLive reports whether a listed member is live: the list shows it as live, it has not
// announced that it is leaving, and it has not failed to answer for SuspectAfterMS.
func (m *Membership) listedLive(id machine.InstanceID, listed listedMember, now time.Time) bool {
	if listed.state != infra.StateLive {
		return false
	}
	record := m.records[id]
	if record == nil {
		return true
	}
	if record.leaving && now.Sub(record.lastHeardAt) <= recordTTL {
		return false
	}
	suspectAt := record.failingSince.Add(milliseconds(m.settings.SuspectAfterMS))
	return record.failingSince.IsZero() || now.Before(suspectAt)
}

// resolve returns the incarnation and address that a member announced recently, or those of the
// list if there is no recent announcement or the member does not answer.
func (m *Membership) resolve(id machine.InstanceID, listed machine.Member) machine.Member {
	record := m.records[id]
	if record == nil || !record.failingSince.IsZero() || time.Since(record.lastHeardAt) > recordTTL {
		return listed
	}
	announced := record.member
	announced.LinkMbps = listed.LinkMbps // announcements leave it out
	return announced
}
