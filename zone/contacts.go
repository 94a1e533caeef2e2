package zone

import (
	"slices"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/zone/zonepb"
)

// maxHeard bounds the members passed on in one message.
const maxHeard = 32

// heard records the word of a member that reached this instance, directly or through others.
func (m *Membership) heard(one *zonepb.Member, direct bool) {
	member := machine.Member{
		ID:          machine.InstanceID(one.GetId()),
		Incarnation: machine.Incarnation(one.GetIncarnation()),
		Zone:        one.GetZone(),
		Address:     one.GetAddress(),
	}
	if member.ID == "" || member.ID == m.self.ID {
		return
	}
	at := time.Now().Add(-time.Duration(one.GetAgeMs()) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.contact[member.ID]
	if known == nil {
		known = &contact{}
		m.contact[member.ID] = known
	}
	if !at.After(known.heardAt) {
		return
	}
	// A member that leaves stays so until a new incarnation speaks.
	leaving := one.GetLeaving() || known.leaving && known.member.Incarnation == member.Incarnation
	if known.member != member || known.leaving != leaving || !known.failingSince.IsZero() {
		m.builtAt = time.Time{}
	}
	known.member, known.heardAt, known.leaving = member, at, leaving
	if direct {
		known.failingSince = time.Time{}
	}
}

// failed records that a member did not answer.
func (m *Membership) failed(member machine.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.contact[member.ID]
	if known == nil {
		known = &contact{member: member}
		m.contact[member.ID] = known
	}
	if known.failingSince.IsZero() {
		known.failingSince = time.Now()
	}
}

// failing returns the listed members of this zone that do not answer: they are asked in every
// round, so that death and recovery show soon.
func (m *Membership) failing() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []machine.Member
	for id, contact := range m.contact {
		listed, ok := m.listed[id]
		if ok && listed.member.Zone == m.self.Zone && listed.state == infra.StateLive && !contact.failingSince.IsZero() && !contact.leaving {
			members = append(members, m.current(id, listed.member))
		}
	}
	slices.SortFunc(members, func(a, b machine.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members[:min(len(members), maxHeard)]
}

// known returns the members that the list shows or that are live, those that do not answer
// included.
func (m *Membership) known() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuild(time.Now())
	members := slices.Clone(m.live)
	for id, listed := range m.listed {
		contact := m.contact[id]
		if listed.state != infra.StateLive || contact == nil || contact.leaving || contact.failingSince.IsZero() {
			continue
		}
		if !slices.ContainsFunc(m.live, func(one machine.Member) bool { return one.ID == id }) {
			members = append(members, m.current(id, listed.member))
		}
	}
	return members
}

// own returns this instance as it announces itself.
func (m *Membership) own() *zonepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberMessage(m.self, m.leaving, 0)
}

// news returns the members whose presence differs from the platform's list, at most maxHeard.
func (m *Membership) news() []*zonepb.Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []*zonepb.Member
	for id, contact := range m.contact {
		age := now.Sub(contact.heardAt)
		if contact.heardAt.IsZero() || age > millis(m.settings.HeardForMS) || len(members) == maxHeard {
			continue
		}
		listed, ok := m.listed[id]
		if ok && listed.member.Address == contact.member.Address && contact.leaving == (listed.state == infra.StateLeaving) {
			continue
		}
		members = append(members, memberMessage(contact.member, contact.leaving, age))
	}
	return members
}

func memberMessage(member machine.Member, leaving bool, age time.Duration) *zonepb.Member {
	return &zonepb.Member{
		Id:          string(member.ID),
		Incarnation: string(member.Incarnation),
		Zone:        member.Zone,
		Address:     member.Address,
		Leaving:     leaving,
		AgeMs:       uint32(age.Milliseconds()),
	}
}
