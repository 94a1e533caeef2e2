package zone

import (
	"math/rand/v2"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/zone/zonepb"
)

const (
	// maxPassedOn bounds the members passed on in one message.
	maxPassedOn = 32
	// maxFailingContacts bounds the failing members contacted in one round. Each may cost a timeout, and after
	// the loss of a data centre a large fleet has many.
	maxFailingContacts = 4
)

// merge records a member's announcement unless a newer one is held. direct means that the member
// itself sent it, which also ends its failure; otherwise another member passed it on.
func (m *Membership) merge(announced *zonepb.Member, direct bool) {
	member := machine.Member{
		ID:          machine.InstanceID(announced.GetId()),
		Incarnation: machine.Incarnation(announced.GetIncarnation()),
		Zone:        announced.GetZone(),
		Address:     announced.GetAddress(),
	}
	if member.ID == "" || member.ID == m.self.ID {
		return
	}
	heardAt := time.Now().Add(-time.Duration(announced.GetAgeMs()) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := m.records[member.ID]
	if stored == nil {
		stored = &record{}
		m.records[member.ID] = stored
	}
	if !heardAt.After(stored.lastHeardAt) {
		return
	}
	// Leaving is final for an incarnation; only a new incarnation of the member clears it.
	leaving := announced.GetLeaving() || stored.leaving && stored.member.Incarnation == member.Incarnation
	if stored.member != member || stored.leaving != leaving || !stored.failingSince.IsZero() {
		m.builtAt = time.Time{}
	}
	stored.member, stored.lastHeardAt, stored.leaving = member, heardAt, leaving
	if direct {
		stored.failingSince = time.Time{}
	}
}

// recordFailure records a failed exchange with a member.
func (m *Membership) recordFailure(member machine.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := m.records[member.ID]
	if stored == nil {
		stored = &record{member: member}
		m.records[member.ID] = stored
	}
	if stored.failingSince.IsZero() {
		stored.failingSince = time.Now()
	}
}

// failing returns the listed live members of this zone that do not answer, at most maxFailingContacts
// random ones. Every round contacts them, so that both a crash and a recovery are detected quickly.
func (m *Membership) failing() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []machine.Member
	for id, record := range m.records {
		listed, ok := m.listed[id]
		if ok && listed.member.Zone == m.self.Zone && listed.state == infra.StateLive && !record.failingSince.IsZero() && !record.leaving {
			members = append(members, m.resolve(id, listed.member))
		}
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), maxFailingContacts)]
}

// knownElsewhere returns the members of other zones that are live or listed but do not answer.
func (m *Membership) knownElsewhere() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuild(time.Now())
	var members []machine.Member
	for _, member := range m.live {
		if member.Zone != m.self.Zone {
			members = append(members, member)
		}
	}
	for id, listed := range m.listed {
		record := m.records[id]
		if listed.member.Zone == m.self.Zone || listed.state != infra.StateLive || record == nil || record.leaving || record.failingSince.IsZero() {
			continue
		}
		if _, isLive := slices.BinarySearchFunc(m.live, listed.member, byID); !isLive {
			members = append(members, m.resolve(id, listed.member))
		}
	}
	return members
}

// selfMessage returns the announcement of this instance.
func (m *Membership) selfMessage() *zonepb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberMessage(m.self, m.leaving, 0)
}

// listDifferences returns the recently heard members that the platform's list lacks or shows with
// another address or state, at most maxPassedOn.
func (m *Membership) listDifferences() []*zonepb.Member {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []*zonepb.Member
	for id, record := range m.records {
		age := now.Sub(record.lastHeardAt)
		if record.lastHeardAt.IsZero() || age > milliseconds(m.settings.HeardForMS) || len(members) == maxPassedOn {
			continue
		}
		listed, ok := m.listed[id]
		if ok && listed.member.Address == record.member.Address && record.leaving == (listed.state == infra.StateLeaving) {
			continue
		}
		members = append(members, memberMessage(record.member, record.leaving, age))
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
