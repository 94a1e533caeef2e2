package zone

import (
	"math/rand/v2"
	"slices"

	"plumbarrow.example/plumbarrow/machine"
)

// anyMemberOneIn sets the share of the exchanges with another zone that go to any of its known members,
// live or not: one in anyMemberOneIn on average.
const anyMemberOneIn = 8

// targets returns the members that one round contacts: all members of a small zone or Fanout random
// ones of a larger one, the members of the zone that do not answer, one member of each zone that
// this instance is the relay for, and one seed that is not a live member.
func (e *Exchange) targets() []machine.Member {
	self := e.membership.Self()
	byZone := groupByZone(e.membership.Live())
	ring := machine.NewRing(byZone[self.Zone])
	zonePeers := slices.DeleteFunc(byZone[self.Zone], func(m machine.Member) bool { return m.ID == self.ID })
	targets := e.zonePeers(zonePeers)
	for zone, listed := range groupByZone(e.membership.known()) {
		if zone != self.Zone && e.isRelayFor(ring, zone) {
			targets = append(targets, remoteTarget(byZone[zone], listed))
		}
	}
	targets = append(targets, e.membership.failing()...)
	targets = append(targets, e.seedTarget(byZone)...)
	return dedupeByAddress(targets)
}

func groupByZone(members []machine.Member) map[string][]machine.Member {
	byZone := make(map[string][]machine.Member)
	for _, member := range members {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	return byZone
}

// remoteTarget returns a random live member of another zone. If none is live, and one time in
// anyMemberOneIn otherwise, it returns any known member, so that the end of a network partition is
// detected.
func remoteTarget(live, known []machine.Member) machine.Member {
	if len(live) == 0 || rand.IntN(anyMemberOneIn) == 0 {
		return known[rand.IntN(len(known))]
	}
	return live[rand.IntN(len(live))]
}

// zonePeers returns the members of this zone that one round contacts. It may reorder members.
func (e *Exchange) zonePeers(members []machine.Member) []machine.Member {
	if len(members) <= e.settings.FewMembers {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), e.settings.Fanout)]
}

// isRelayFor reports whether this instance exchanges state with the other zone on behalf of its own
// zone. Each zone assigns its relay independently, so two relays connect a pair of zones and the
// failure of one does not disconnect them.
func (e *Exchange) isRelayFor(ring *machine.Ring, zone string) bool {
	relay, ok := ring.Owner("relay/" + zone)
	return !ok || relay.ID == e.membership.Self().ID
}

// seedTarget returns a random seed address that belongs to no live member, or nothing.
func (e *Exchange) seedTarget(byZone map[string][]machine.Member) []machine.Member {
	unknown := slices.Clone(e.settings.Seeds)
	for _, members := range byZone {
		for _, member := range members {
			unknown = slices.DeleteFunc(unknown, func(address string) bool { return address == member.Address })
		}
	}
	unknown = slices.DeleteFunc(unknown, func(address string) bool { return address == e.membership.Self().Address })
	if len(unknown) == 0 {
		return nil
	}
	return []machine.Member{{Address: unknown[rand.IntN(len(unknown))]}}
}

// dedupeByAddress removes all but the first member with each address.
func dedupeByAddress(members []machine.Member) []machine.Member {
	seen := make(map[string]bool, len(members))
	return slices.DeleteFunc(members, func(m machine.Member) bool {
		repeated := seen[m.Address]
		seen[m.Address] = true
		return repeated
	})
}
