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
	live := e.membership.Live()
	targets := e.zonePeers(live)
	targets = append(targets, e.remoteTargets(live)...)
	targets = append(targets, e.membership.failing()...)
	targets = append(targets, e.seedTarget(live)...)
	return dedupeByAddress(targets)
}

// remoteTargets returns one member of each other zone that this instance is the relay for.
func (e *Exchange) remoteTargets(live []machine.Member) []machine.Member {
	self := e.membership.Self()
	known := groupByZone(e.membership.knownElsewhere(), self.Zone)
	if len(known) == 0 {
		return nil
	}
	var targets []machine.Member
	byZone := groupByZone(live, self.Zone)
	ring := machine.NewRing(inZone(live, self.Zone))
	for zone, members := range known {
		if e.isRelayFor(ring, zone) {
			targets = append(targets, remoteTarget(byZone[zone], members))
		}
	}
	return targets
}

// groupByZone groups the members of all zones but one.
func groupByZone(members []machine.Member, except string) map[string][]machine.Member {
	byZone := make(map[string][]machine.Member)
	for _, member := range members {
		if member.Zone != except {
			byZone[member.Zone] = append(byZone[member.Zone], member)
		}
	}
	return byZone
}

func inZone(members []machine.Member, zone string) []machine.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m machine.Member) bool { return m.Zone != zone })
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

// zonePeers returns the other live members of this zone that one round contacts.
func (e *Exchange) zonePeers(live []machine.Member) []machine.Member {
	self := e.membership.Self()
	isPeer := func(m machine.Member) bool { return m.Zone == self.Zone && m.ID != self.ID }
	count := 0
	for _, member := range live {
		if isPeer(member) {
			count++
		}
	}
	wanted := count
	if count > e.settings.FewMembers {
		wanted = min(count, e.settings.Fanout)
	}
	// Selection sampling (Knuth, The Art of Computer Programming, volume 2, algorithm 3.4.2 S).
	peers := make([]machine.Member, 0, wanted)
	for _, member := range live {
		if !isPeer(member) {
			continue
		}
		if rand.IntN(count) < wanted-len(peers) {
			peers = append(peers, member)
		}
		count--
	}
	return peers
}

// isRelayFor reports whether this instance exchanges state with the other zone on behalf of its own
// zone. Each zone assigns its relay independently, so two relays connect a pair of zones and the
// failure of one does not disconnect them.
func (e *Exchange) isRelayFor(ring *machine.Ring, zone string) bool {
	relay, ok := ring.Owner("relay/" + zone)
	return !ok || relay.ID == e.membership.Self().ID
}

// seedTarget returns a random seed address that belongs to no live member, or nothing.
func (e *Exchange) seedTarget(live []machine.Member) []machine.Member {
	if len(e.settings.Seeds) == 0 {
		return nil
	}
	unknown := slices.DeleteFunc(slices.Clone(e.settings.Seeds), func(address string) bool {
		return address == e.membership.Self().Address ||
			slices.ContainsFunc(live, func(m machine.Member) bool { return m.Address == address })
	})
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
