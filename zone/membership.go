// Package zone knows the data centres: which entry instances are live in them, which of them are
// in service, and how work moves between them.
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

// Membership decides which entry instances are live from the platform's lagging list and from
// what the exchange hears. Safe for concurrent use.
type Membership struct {
	settings Settings
	self     machine.Member
	list     infra.InstanceList
	log      *slog.Logger

	mu      sync.Mutex
	leaving bool
	listed  map[machine.InstanceID]listedMember
	contact map[machine.InstanceID]*contact
	live    []machine.Member
	builtAt time.Time // of live; zero after news
	changed []func([]infra.Instance)
}

// listedMember is an entry instance in the platform's last list.
type listedMember struct {
	member machine.Member
	state  infra.State
}

// contact is what was heard of a member, from itself or through others.
type contact struct {
	member       machine.Member
	heardAt      time.Time
	leaving      bool
	failingSince time.Time // zero while it answers
}

// forgetAfter is how long a member's word outweighs the list, and how long a member that the list
// lacks is remembered. The list has caught up by then.
const forgetAfter = time.Minute

var _ machine.Members = (*Membership)(nil)

// NewMembership returns a membership that knows only self.
func NewMembership(settings Settings, self machine.Member, list infra.InstanceList, log *slog.Logger) *Membership {
	return &Membership{
		settings: settings,
		self:     self,
		list:     list,
		log:      log,
		contact:  make(map[machine.InstanceID]*contact),
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
	return slices.Clone(m.live)
}

// Leave announces that this instance is shutting down; peers stop taking it as live at their next
// exchange with it.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.builtAt = time.Time{}
}

// OnList registers a function that is called with each list read.
func (m *Membership) OnList(f func([]infra.Instance)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = append(m.changed, f)
}

// Run reads the list until ctx ends. While the list is out, the last one stays in force.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(millis(m.settings.ListIntervalMS))
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
		m.log.Warn("instance list failed", "error", err)
		return
	}
	listed := make(map[machine.InstanceID]listedMember)
	for _, instance := range instances {
		if instance.Kind == infra.KindEntry {
			listed[machine.InstanceID(instance.ID)] = listedMember{member: memberOf(instance), state: instance.State}
		}
	}
	m.mu.Lock()
	m.listed = listed
	m.builtAt = time.Time{}
	changed := slices.Clone(m.changed)
	m.mu.Unlock()
	for _, f := range changed {
		f(instances)
	}
}

func memberOf(instance infra.Instance) machine.Member {
	return machine.Member{
		ID:          machine.InstanceID(instance.ID),
		Incarnation: machine.Incarnation(instance.Incarnation),
		Zone:        instance.Zone,
		Address:     instance.Address,
	}
}

// Listed returns how many instances of the own zone the list shows as live, those that do not
// answer included.
func (m *Membership) Listed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, one := range m.listed {
		if one.member.Zone == m.self.Zone && one.state == infra.StateLive {
			n++
		}
	}
	return n
}

// rebuildEvery bounds the age of the live members when nothing was heard: time alone makes some
// of them suspected or forgotten.
const rebuildEvery = 100 * time.Millisecond

// rebuild recomputes the live members in the order of their ids, unless they are recent.
func (m *Membership) rebuild(now time.Time) {
	if now.Sub(m.builtAt) < rebuildEvery {
		return
	}
	m.builtAt = now
	m.live = m.live[:0]
	if !m.leaving {
		m.live = append(m.live, m.self)
	}
	for id, listed := range m.listed {
		if id != m.self.ID && m.listedLive(id, listed, now) {
			m.live = append(m.live, m.current(id, listed.member))
		}
	}
	for id, contact := range m.contact {
		_, isListed := m.listed[id]
		age := now.Sub(contact.heardAt)
		switch {
		case isListed:
		case age > forgetAfter:
			delete(m.contact, id)
		case age <= millis(m.settings.HeardForMS) && !contact.leaving:
			m.live = append(m.live, contact.member)
		}
	}
	slices.SortFunc(m.live, func(a, b machine.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// listedLive says whether a listed member is live: the list does not show it leaving, and it
// neither announced that it leaves nor failed to answer for too long.
func (m *Membership) listedLive(id machine.InstanceID, listed listedMember, now time.Time) bool {
	if listed.state != infra.StateLive {
		return false
	}
	contact := m.contact[id]
	if contact == nil {
		return true
	}
	if contact.leaving && now.Sub(contact.heardAt) <= forgetAfter {
		return false
	}
	suspectAt := contact.failingSince.Add(millis(m.settings.SuspectAfterMS))
	return contact.failingSince.IsZero() || now.Before(suspectAt)
}

// current prefers a member's own recent word on its incarnation and address over the list, unless
// it stopped answering there.
func (m *Membership) current(id machine.InstanceID, listed machine.Member) machine.Member {
	contact := m.contact[id]
	if contact == nil || !contact.failingSince.IsZero() || time.Since(contact.heardAt) > forgetAfter {
		return listed
	}
	return contact.member
}
