package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// heardWithin is how old a peer's last message may be for it to count as live.
	heardWithin = 5 * time.Second
	// forgetAfter is when a peer or zone that is silent is forgotten.
	forgetAfter = time.Minute
	maxLagging  = 8 // instances named in a zone's summary
)

// ZoneSpread says how far the configuration has spread in one zone.
type ZoneSpread struct {
	Zone string `json:"zone"`
	// Lowest revision in force at the zone's live instances; 0 if one of them has none or has not
	// been heard from.
	Lowest    contract.Revision `json:"lowest"`
	Instances int               `json:"instances"`
	// Lagging names instances that have not confirmed the newest revision, a few of them.
	Lagging []machine.InstanceID `json:"lagging,omitempty"`
	// At is when this was seen; zero for a zone that was never heard of.
	At time.Time `json:"at"`
}

type peerState struct {
	member   machine.Member
	revision contract.Revision
	at       time.Time
}

// peerTable is what an instance knows of the others' configurations. Its size is the number of
// instances that talk to this one plus the number of zones.
type peerTable struct {
	mu        sync.Mutex
	byID      map[machine.InstanceID]peerState
	zones     map[string]ZoneSpread
	sent      map[machine.InstanceID]time.Time // of the last message with zones
	changedAt time.Time
	confirmed time.Time
}

func (t *peerTable) init() {
	t.byID = make(map[machine.InstanceID]peerState)
	t.zones = make(map[string]ZoneSpread)
	t.sent = make(map[machine.InstanceID]time.Time)
}

func (t *peerTable) applied(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changedAt = now
}

func (t *peerTable) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

func (t *peerTable) confirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

func (t *peerTable) heard(from machine.Member, revision contract.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[from.ID]
	if known.member.Incarnation == from.Incarnation {
		revision = max(revision, known.revision) // a late message
	}
	t.byID[from.ID] = peerState{member: from, revision: revision, at: now}
	for id, state := range t.byID {
		if now.Sub(state.at) > forgetAfter {
			delete(t.byID, id)
			delete(t.sent, id)
		}
	}
}

// holders returns the hashes of the zone's instances that are known to be at a revision.
func (t *peerTable) holders(zone string, revision contract.Revision) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hashes []uint32
	for id, state := range t.byID {
		if state.member.Zone == zone && state.revision >= revision {
			hashes = append(hashes, hashOf(id))
		}
	}
	return hashes
}

// hold notes what a peer of the own zone knows of the others, so that every instance of a large
// zone, which talks to a few at a time, soon knows where a change is in force.
func (t *peerTable) hold(live []machine.Member, hashes []uint32, revision contract.Revision, now time.Time) {
	if len(hashes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range live {
		state, known := t.byID[member.ID]
		if (!known || state.revision < revision) && slices.Contains(hashes, hashOf(member.ID)) {
			if !known {
				state.member = member
			}
			state.revision = revision
			state.at = now
			t.byID[member.ID] = state
		}
	}
}

func hashOf(id machine.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

func (t *peerTable) heardInZone(self machine.Member, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, state := range t.byID {
		if sameZone(state.member, self) && now.Sub(state.at) <= heardWithin {
			n++
		}
	}
	return n
}

// ahead returns the peers above a revision, the highest first.
func (t *peerTable) ahead(revision contract.Revision) []machine.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []peerState
	for _, state := range t.byID {
		if state.revision > revision {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b peerState) int {
		return cmp.Or(cmp.Compare(b.revision, a.revision), b.at.Compare(a.at), cmp.Compare(a.member.ID, b.member.ID))
	})
	members := make([]machine.Member, len(states))
	for i, state := range states {
		members[i] = state.member
	}
	return members
}

func (t *peerTable) mergeZone(zone ZoneSpread) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone.At.After(t.zones[zone.Zone].At) {
		t.zones[zone.Zone] = zone
	}
}

// zonesDue says whether a message to a peer should carry the zones, and notes that it will.
func (t *peerTable) zonesDue(to machine.InstanceID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.changedAt) > zonesAfterChange && now.Sub(t.sent[to]) < zonesEvery {
		return false
	}
	t.sent[to] = now
	return true
}

// Spread says for each zone how far the configuration has spread, the own zone from what its
// instances say, the others from what their instances sum up.
func (r *Replica) Spread() []ZoneSpread { return r.spread(time.Now()) }

func (r *Replica) spread(now time.Time) []ZoneSpread {
	self := r.members.Self()
	own := ZoneSpread{Zone: self.Zone, Lowest: r.current.Load().revision(), At: now}
	live := r.members.Live()
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	for _, member := range live {
		if !sameZone(member, self) {
			continue
		}
		own.Instances++
		if member.ID != self.ID {
			own.add(member.ID, r.peers.last(member, now), r.current.Load().revision())
		}
	}
	zones := append(r.peers.otherZones(self.Zone, live, now), own)
	slices.SortFunc(zones, func(a, b ZoneSpread) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

// otherZones returns the summaries of the other zones; t.mu is held. A zone that the list shows is
// there even if nothing has been heard of it; one that it does not show is forgotten after a while.
func (t *peerTable) otherZones(own string, live []machine.Member, now time.Time) []ZoneSpread {
	listed := make(map[string]int)
	for _, member := range live {
		if member.Zone != own {
			listed[member.Zone]++
		}
	}
	var zones []ZoneSpread
	for name, zone := range t.zones {
		if listed[name] == 0 && now.Sub(zone.At) > forgetAfter {
			delete(t.zones, name)
			continue
		}
		zones = append(zones, zone)
		delete(listed, name)
	}
	for name, instances := range listed {
		zones = append(zones, ZoneSpread{Zone: name, Instances: instances})
	}
	return zones
}

func (z *ZoneSpread) add(id machine.InstanceID, revision, newest contract.Revision) {
	z.Lowest = min(z.Lowest, revision)
	if revision < newest && len(z.Lagging) < maxLagging {
		z.Lagging = append(z.Lagging, id)
	}
}

// last returns the revision that a member is known to have had in force; 0 if nothing was heard of
// it for long. An instance never goes back, so an old word holds.
func (t *peerTable) last(member machine.Member, now time.Time) contract.Revision {
	state, known := t.byID[member.ID]
	if !known || now.Sub(state.at) > forgetAfter {
		return 0
	}
	return state.revision
}
