package zone

import (
	"math/rand/v2"
	"slices"

	"plumbarrow.example/plumbarrow/machine"
)

// retryShare is the share, one in so many, of calls to another zone that may go to a member which
// does not answer.
const retryShare = 8

// targets chooses whom one round reaches: all members of a small zone or a few random ones of a
// larger one, those that stopped answering, one member of each zone that this instance is relay
// for, and one seed that is not known as a member.
func (e *Exchange) targets() []machine.Member {
	own := e.membership.Self()
	byZone := grouped(e.membership.Live())
	ring := machine.NewRing(byZone[own.Zone])
	neighbours := slices.DeleteFunc(byZone[own.Zone], func(m machine.Member) bool { return m.ID == own.ID })
	targets := e.neighbours(neighbours)
	for zone, listed := range grouped(e.membership.known()) {
		if zone != own.Zone && e.relays(ring, zone) {
			targets = append(targets, remote(byZone[zone], listed))
		}
	}
	targets = append(targets, e.membership.failing()...)
	targets = append(targets, e.seed(byZone)...)
	return distinct(targets)
}

func grouped(members []machine.Member) map[string][]machine.Member {
	byZone := make(map[string][]machine.Member)
	for _, member := range members {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	return byZone
}

// remote chooses a member of another zone: mostly a live one, now and then any, so that the end
// of a partition is noticed.
func remote(live, known []machine.Member) machine.Member {
	if len(live) == 0 || rand.IntN(retryShare) == 0 {
		return known[rand.IntN(len(known))]
	}
	return live[rand.IntN(len(live))]
}

func (e *Exchange) neighbours(members []machine.Member) []machine.Member {
	if len(members) <= e.settings.FewMembers {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), e.settings.Fanout)]
}

// relays says whether this instance talks to the other zone for its own. Each zone chooses its
// side by itself, so a pair of zones has two links, and one dead relay does not cut them.
func (e *Exchange) relays(ring *machine.Ring, zone string) bool {
	relay, ok := ring.Owner("relay/" + zone)
	return !ok || relay.ID == e.membership.Self().ID
}

// seed returns one random seed address that no live member has.
func (e *Exchange) seed(byZone map[string][]machine.Member) []machine.Member {
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

// distinct drops repeated addresses.
func distinct(members []machine.Member) []machine.Member {
	seen := make(map[string]bool, len(members))
	return slices.DeleteFunc(members, func(m machine.Member) bool {
		repeated := seen[m.Address]
		seen[m.Address] = true
		return repeated
	})
}
