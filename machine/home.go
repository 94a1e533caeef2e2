package machine

import (
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// homeState is what this instance knows of an endpoint's home, the instance of the zone that grants
// the endpoint's permits, and of its own slots. While the endpoint is cold, its home grants all
// permits; afterwards each instance owns a part of the slots.
type homeState struct {
	owner           Member
	isSelf          bool                        // this instance is the home
	liveInstances   int                         // of the zone
	listedInstances int                         // of the zone in the platform's list, unreachable ones included
	slots           int                         // of the full limit that this instance owns
	stale           bool                        // limits changed since the last assignment
	earliestGrant   time.Time                   // earliest grant by this instance as home
	wait            permitWait                  // for the home's own requests
	holders         map[InstanceID]*holderState // permits of the other instances; only at the home
}

// holderState is the record that the home keeps of the permits of one other instance.
type holderState struct {
	incarnation   string
	sequence      uint64
	held          int
	epoch         uint32
	completed     uint64
	wait          permitWait
	resetBaseline bool // the next report only sets completed; the merged progress already includes that work
	lastReportAt  time.Time
}

// localPermits is the state of this instance as a holder: its last report to the home and the last
// denial by the home.
type localPermits struct {
	sequence     uint64
	pending      int // requests for a permit in flight
	completed    uint64
	dirty        bool // holdings changed since the last report
	reported     int  // permits in the last report
	sentAt       time.Time
	backoffUntil time.Time // no request before this time; the home had no permit left
}

// homeKey is the rendezvous key of an endpoint's home.
func homeKey(id EndpointID) string { return "home/" + string(id) }

// countSlots returns how many of the full slots of an endpoint an instance owns. When a member
// joins or leaves, only its own slots move, so that the slots of instances with different member
// lists overlap little.
func countSlots(ring *Ring, id EndpointID, full int, instance InstanceID) int {
	if ring.Len() == 1 {
		return full
	}
	n := 0
	key := append([]byte("slot/"), id...)
	key = append(key, '/')
	for i := range full {
		owner, _ := ring.Owner(string(strconv.AppendInt(key, int64(i), 10)))
		if owner.ID == instance {
			n++
		}
	}
	return n
}

// assign sets the home and the slots of the endpoint from a ring of the live instances of the zone.
// joined is set if the ring has members that the previous one lacked. earliestGrant is the time of
// the first grant by this instance if it has to collect holdings first.
func (t *trackedEndpoint) assign(ring *Ring, listedInstances int, joined bool, self InstanceID, now, earliestGrant time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usedOwnSlots := t.usesOwnSlots()
	t.home.stale = false
	t.home.liveInstances = ring.Len()
	t.home.listedInstances = max(listedInstances, ring.Len())
	t.home.slots = countSlots(ring, t.endpoint.ID, t.limits.full, self)
	owner, _ := ring.Owner(homeKey(t.endpoint.ID))
	if usedOwnSlots && !t.usesOwnSlots() {
		t.home.earliestGrant = earliestGrant // instances with slots of their own did not report holdings
		t.local.dirty = t.endpoint.InFlight > 0
	}
	if joined {
		t.home.earliestGrant = earliestGrant // a new member may hold permits granted by another home
	}
	if owner == t.home.owner {
		return
	}
	homeChanged := owner.ID != t.home.owner.ID
	t.home.owner = owner
	t.local.dirty = t.endpoint.InFlight > 0
	t.local.backoffUntil = time.Time{}
	if !homeChanged {
		return
	}
	t.home.isSelf = owner.ID == self
	t.home.holders = nil
	if t.home.isSelf {
		t.home.holders = make(map[InstanceID]*holderState)
		t.home.earliestGrant = earliestGrant
	}
}

// applyReport records the holdings of an instance and returns its record. ok is false if this
// report or a newer one was applied before.
func (t *trackedEndpoint) applyReport(holder InstanceID, incarnation string, message *machinepb.Holding, now time.Time) (state *holderState, ok bool) {
	state = t.home.holders[holder]
	if state == nil || state.incarnation != incarnation {
		// Work completed before this instance became home is already in the merged progress.
		state = &holderState{incarnation: incarnation, epoch: message.GetEpoch(), completed: message.GetCompleted()}
		t.home.holders[holder] = state
	}
	state.lastReportAt = now
	if message.GetSequence() <= state.sequence {
		return state, false
	}
	state.sequence = message.GetSequence()
	state.held = int(message.GetHeld())
	if state.epoch != message.GetEpoch() {
		state.epoch = message.GetEpoch()
		state.completed = 0
	}
	if message.GetEpoch() == t.replicated.epoch && message.GetCompleted() > state.completed && !state.resetBaseline {
		t.replicated.progress += message.GetCompleted() - state.completed
		t.changedAt = now
	}
	state.completed, state.resetBaseline = message.GetCompleted(), false
	return state, true
}

// reachableShare returns the part of a limit that falls to the instances reachable from here, at
// least 1. When a zone is partitioned, each side uses its own part of the limit instead of all of
// it.
func (t *trackedEndpoint) reachableShare(limit int) int {
	if t.home.liveInstances >= t.home.listedInstances {
		return limit
	}
	return max(1, limit*t.home.liveInstances/t.home.listedInstances)
}

// recordRequest records the outcome of a request for a permit.
func (h *holderState) recordRequest(granted bool, now time.Time) {
	if granted {
		h.held++
	}
	h.wait.recordRequest(granted, now)
}

// resetBaselines keeps work from being counted twice after progress was merged from an instance
// that was home meanwhile: it already includes what the holders completed.
func (t *trackedEndpoint) resetBaselines() {
	for _, holder := range t.home.holders {
		holder.resetBaseline = true
	}
}

// mayGrant reports whether the home may grant one more permit, under the limit over all instances,
// to a holder that has held permits now.
func (t *trackedEndpoint) mayGrant(ring *Ring, holder InstanceID, held int, requester *permitWait, now time.Time) bool {
	if now.Before(t.home.earliestGrant) || t.listedLeaving || t.replicated.leaving || t.replicated.refusing || t.usesOwnSlots() {
		return false
	}
	total := t.endpoint.InFlight // held by the home itself
	for _, other := range t.home.holders {
		total += other.held
	}
	if total >= t.reachableShare(t.limits.at(t.replicated.progress)) {
		return false
	}
	if !t.isNextInLine(held, requester, now) {
		return false
	}
	// Once the endpoint is warm, a holder gets no more than the slots that it will own.
	return !t.slotSwitchPending() || held < countSlots(ring, t.endpoint.ID, t.limits.full, holder)
}

// slotSwitchPending reports whether the endpoint is warm, but its home still grants permits because
// some holder may have more of them than slots.
func (t *trackedEndpoint) slotSwitchPending() bool {
	return !t.replicated.ownSlots && t.home.liveInstances <= t.limits.full && t.replicated.progress >= t.limits.fullProgress()
}

// trySwitchToSlots lets the instances use their own slots once no holder has more permits than
// slots.
func (t *trackedEndpoint) trySwitchToSlots(ring *Ring, now time.Time) {
	if !t.home.isSelf || !t.slotSwitchPending() || now.Before(t.home.earliestGrant) || t.endpoint.InFlight > t.home.slots {
		return
	}
	for id, holder := range t.home.holders {
		if holder.held > countSlots(ring, t.endpoint.ID, t.limits.full, id) {
			return
		}
	}
	t.replicated.ownSlots = true
	t.home.holders = make(map[InstanceID]*holderState)
	t.changedAt = now
}

// dropLostHolders drops the permits of instances that left the ring and sent no report for
// lostAfter. Their connections are closed by then.
func (t *trackedEndpoint) dropLostHolders(ring *Ring, lostAfter time.Duration, now time.Time) {
	for id, holder := range t.home.holders {
		if ring.Has(id) {
			continue
		}
		if now.Sub(holder.lastReportAt) > lostAfter {
			delete(t.home.holders, id)
		}
	}
}
