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
	// livenessTimeout is the age of a peer's last message up to which the peer counts as live.
	livenessTimeout = 5 * time.Second
	// forgetAfter is the age of the last message after which a peer or zone is removed.
	forgetAfter = time.Minute
	maxLagging  = 8 // most instances named in a zone's summary
)

// ZoneSpread summarizes which revisions the instances of one zone have in force.
type ZoneSpread struct {
	Zone string `json:"zone"`
	// Lowest revision in force at the zone's live instances; 0 if one of them has none or has not
	// reported one.
	Lowest contract.Revision `json:"lowest"`
	// Instances is the number of the zone's live instances.
	Instances int `json:"instances"`
	// Lagging names instances that have not reported the newest revision, at most maxLagging.
	Lagging []machine.InstanceID `json:"lagging,omitempty"`
	// At is the time of the summary; zero for a zone that has sent none.
	At time.Time `json:"at"`
}

// peerState is the last reported revision of a peer.
type peerState struct {
	member   machine.Member
	revision contract.Revision
	lastSeen time.Time
}

// peerTable holds what peers have reported about their own and other instances' configurations. It
// has an entry for each reported instance and each zone.
type peerTable struct {
	mu            sync.Mutex
	byID          map[machine.InstanceID]peerState
	zones         map[string]ZoneSpread
	zonesSentAt   map[machine.InstanceID]time.Time // last message with zone summaries, by receiver
	appliedAt     time.Time                        // last change put into force
	lastConfirmed time.Time                        // last read of the store, here or elsewhere, that found nothing newer
}

func (t *peerTable) init() {
	t.byID = make(map[machine.InstanceID]peerState)
	t.zones = make(map[string]ZoneSpread)
	t.zonesSentAt = make(map[machine.InstanceID]time.Time)
}

func (t *peerTable) recordApplied(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appliedAt = now
}

func (t *peerTable) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.lastConfirmed) {
		t.lastConfirmed = at
	}
}

func (t *peerTable) confirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastConfirmed
}

// recordRevision records the revision of a peer's message and removes peers older than forgetAfter.
func (t *peerTable) recordRevision(from machine.Member, revision contract.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[from.ID]
	if known.member.Incarnation == from.Incarnation {
		revision = max(revision, known.revision) // a message that was overtaken by a newer one
	}
	t.byID[from.ID] = peerState{member: from, revision: revision, lastSeen: now}
	for id, state := range t.byID {
		if now.Sub(state.lastSeen) > forgetAfter {
			delete(t.byID, id)
			delete(t.zonesSentAt, id)
		}
	}
}

// holders returns the hashes of the zone's instances that are known to be at a revision or above.
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

// mergeHolders records which instances a peer of the same zone knows to have the revision. In a
// large zone an instance exchanges messages with a few others at a time; this way it soon knows
// where a change is in force.
func (t *peerTable) mergeHolders(live []machine.Member, holderHashes []uint32, revision contract.Revision, now time.Time) {
	if len(holderHashes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range live {
		state, known := t.byID[member.ID]
		if (!known || state.revision < revision) && slices.Contains(holderHashes, hashOf(member.ID)) {
			if !known {
				state.member = member
			}
			state.revision = revision
			state.lastSeen = now
			t.byID[member.ID] = state
		}
	}
}

func hashOf(id machine.InstanceID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// liveInZone returns the number of live peers in the zone of self.
func (t *peerTable) liveInZone(self machine.Member, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, state := range t.byID {
		if sameZone(state.member, self) && now.Sub(state.lastSeen) <= livenessTimeout {
			n++
		}
	}
	return n
}

// ahead returns the peers above a revision, the highest revision first.
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
		return cmp.Or(cmp.Compare(b.revision, a.revision), b.lastSeen.Compare(a.lastSeen), cmp.Compare(a.member.ID, b.member.ID))
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

// zonesDue reports whether a message to a peer should carry the zone summaries, and if so records
// it as sent.
func (t *peerTable) zonesDue(to machine.InstanceID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.appliedAt) > eagerZonesPeriod && now.Sub(t.zonesSentAt[to]) < zonesInterval {
		return false
	}
	t.zonesSentAt[to] = now
	return true
}

// Spread returns a summary of each zone, sorted by name. This zone's is computed from its instances'
// messages; those of other zones are the newest received.
func (r *Replica) Spread() []ZoneSpread { return r.spread(time.Now()) }

func (r *Replica) spread(now time.Time) []ZoneSpread {
	self := r.members.Self()
	local := ZoneSpread{Zone: self.Zone, Lowest: r.current.Load().revision(), At: now}
	live := r.members.Live()
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	for _, member := range live {
		if !sameZone(member, self) {
			continue
		}
		local.Instances++
		if member.ID != self.ID {
			local.addMember(member.ID, r.peers.lastRevision(member, now), r.current.Load().revision())
		}
	}
	zones := append(r.peers.otherZones(self.Zone, live, now), local)
	slices.SortFunc(zones, func(a, b ZoneSpread) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

// otherZones returns the summaries of the other zones. A zone with live members is included even if
// it has sent no summary; one without is removed after forgetAfter. The caller holds t.mu.
func (t *peerTable) otherZones(selfZone string, live []machine.Member, now time.Time) []ZoneSpread {
	listed := make(map[string]int)
	for _, member := range live {
		if member.Zone != selfZone {
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

func (z *ZoneSpread) addMember(id machine.InstanceID, revision, newest contract.Revision) {
	z.Lowest = min(z.Lowest, revision)
	if revision < newest && len(z.Lagging) < maxLagging {
		z.Lagging = append(z.Lagging, id)
	}
}

// lastRevision returns the last known revision of a member; 0 if there was no report for
// forgetAfter. An older report still holds as a lower bound, because instances never go back to a
// lower revision. The caller holds t.mu.
func (t *peerTable) lastRevision(member machine.Member, now time.Time) contract.Revision {
	state, known := t.byID[member.ID]
	if !known || now.Sub(state.lastSeen) > forgetAfter {
		return 0
	}
	return state.revision
}
