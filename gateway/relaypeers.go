package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

const (
	// declinedPause is how long a peer that declined a request, or did not answer, gets no further ones: peers test every half second
	// whether they reach endpoints again.
	declinedPause = 2 * time.Second
	// provenAge is how long a peer that took a request counts as able to take another one.
	provenAge = 10 * time.Second
	// provenPeers is the number of such peers from which on no others are tried. With fewer, every other request tries one of the others first.
	provenPeers = 4
	// maxDeclines is the number of peers in succession that declined after which one is asked every askPause only: no instance seems to reach
	// the service.
	maxDeclines = 24
	askPause    = 50 * time.Millisecond
	// silentAge is how long a peer that did not answer counts as out of reach.
	silentAge = 5 * time.Second
	// maxRelayPeers bounds the peers whose state is kept.
	maxRelayPeers = 4096
)

// relayPeers chooses the peers that get requests which this instance cannot serve itself. Safe for concurrent use. The zero value is ready.
type relayPeers struct {
	mu       sync.Mutex
	peers    map[machine.InstanceID]*relayPeer
	declines int // since a peer took a request
	askedAt  time.Time
}

// relayPeer is the state of one peer.
type relayPeer struct {
	inProgress    int // requests of this instance
	tookAt        time.Time
	failedAt      time.Time // zero if the peer has answered since
	declinedUntil time.Time
}

// choose returns the peer for a request and counts the request there until done is called. It draws two peers, of those that took a request
// lately if there are any, and returns the one with fewer requests in progress. It returns false if no peer is left. avoid lists peers
// that the request has been passed to before.
func (r *relayPeers) choose(members []machine.Member, self machine.InstanceID, avoid []machine.InstanceID, now time.Time) (machine.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var proven, others []machine.Member
	for _, member := range members {
		if member.ID == self || slices.Contains(avoid, member.ID) {
			continue
		}
		peer := r.peers[member.ID]
		switch {
		case peer == nil:
			others = append(others, member)
		case now.Before(peer.declinedUntil):
		case now.Sub(peer.tookAt) < provenAge:
			proven = append(proven, member)
		default:
			others = append(others, member)
		}
	}
	eligible := proven
	if explores := len(avoid) == 0 && rand.IntN(2) == 0; len(proven) == 0 || len(proven) < provenPeers && explores {
		eligible = append(eligible, others...)
	}
	if len(eligible) == 0 || r.declines >= maxDeclines && now.Sub(r.askedAt) < askPause {
		return machine.Member{}, false
	}
	r.askedAt = now
	chosen := eligible[rand.IntN(len(eligible))]
	if other := eligible[rand.IntN(len(eligible))]; r.busy(other.ID) < r.busy(chosen.ID) {
		chosen = other
	}
	r.peer(chosen.ID).inProgress++
	return chosen, true
}

// busy returns the number of requests in progress at a peer. The caller holds the lock.
func (r *relayPeers) busy(id machine.InstanceID) int {
	if peer := r.peers[id]; peer != nil {
		return peer.inProgress
	}
	return 0
}

// peer returns the state of a peer. The caller holds the lock.
func (r *relayPeers) peer(id machine.InstanceID) *relayPeer {
	if r.peers == nil {
		r.peers = make(map[machine.InstanceID]*relayPeer)
	}
	if len(r.peers) >= maxRelayPeers {
		for other, peer := range r.peers {
			if peer.inProgress == 0 {
				delete(r.peers, other) // mostly of members that left
			}
		}
	}
	peer := r.peers[id]
	if peer == nil {
		peer = &relayPeer{}
		r.peers[id] = peer
	}
	return peer
}

// took records that the peer has taken a request.
func (r *relayPeers) took(id machine.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.peer(id)
	peer.tookAt, peer.failedAt, r.declines = now, time.Time{}, 0
}

// declined records that the peer has declined a request.
func (r *relayPeers) declined(id machine.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveOut(id, now)
	r.peer(id).failedAt = time.Time{}
}

// failed records that the peer could not be reached or was lost.
func (r *relayPeers) failed(id machine.InstanceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaveOut(id, now)
	r.peer(id).failedAt = now
}

// separated reports whether at least half of the peers are out of reach and none of the others has taken a request lately.
func (r *relayPeers) separated(members []machine.Member, self machine.InstanceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers, silent := 0, 0
	for _, member := range members {
		if member.ID == self {
			continue
		}
		peers++
		switch peer := r.peers[member.ID]; {
		case peer == nil:
		case now.Sub(peer.failedAt) < silentAge:
			silent++
		case now.Sub(peer.tookAt) < provenAge:
			return false
		}
	}
	return silent > 0 && 2*silent >= peers
}

// leaveOut leaves the peer out for declinedPause. The caller holds the lock.
func (r *relayPeers) leaveOut(id machine.InstanceID, now time.Time) {
	peer := r.peer(id)
	peer.declinedUntil, peer.tookAt = now.Add(declinedPause), time.Time{}
	r.declines++
}

// done records that a request at the peer has ended.
func (r *relayPeers) done(id machine.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(id).inProgress--
}
