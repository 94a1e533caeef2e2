package machine

import (
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// home describes the instance of the zone that grants the permits of an endpoint (its home), and
// the part of this instance in it. While the endpoint is cold, its home grants all permits;
// afterwards each instance owns a part of the slots.
type home struct {
	owner           Member
	isSelf          bool                        // this instance is the home
	liveInstances   int                         // of the zone
	listedInstances int                         // of the zone in the platform's list, unreachable ones included
	slots           int                         // of the full limit that this instance owns
	stale           bool                        // limits changed since the last assignment
	readyAt         time.Time                   // earliest grant by this instance as home
	wait            permitWait                  // of the home's own instance
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
// joined is set if the ring has members that the previous one lacked. readyAt is the earliest grant
// by this instance if it has to collect holdings first.
func (t *tracked) assign(ring *Ring, listed int, joined bool, self InstanceID, now, readyAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared := t.usesOwnSlots()
	t.home.stale = false
	t.home.liveInstances = ring.Len()
	t.home.listedInstances = max(listed, ring.Len())
	t.home.slots = countSlots(ring, t.endpoint.ID, t.limits.full, self)
	owner, _ := ring.Owner(homeKey(t.endpoint.ID))
	if shared && !t.usesOwnSlots() {
		t.home.readyAt = readyAt // instances with slots of their own did not report holdings
		t.local.dirty = t.endpoint.InFlight > 0
	}
	if joined {
		t.home.readyAt = readyAt // a new member may hold permits granted by another home
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
		t.home.readyAt = readyAt
	}
}

// applyReport records the holdings of an instance. ok is false if a newer report was applied
// before.
func (t *tracked) applyReport(holder InstanceID, incarnation string, message *machinepb.Holding, now time.Time) (known *holderState, ok bool) {
	known = t.home.holders[holder]
	if known == nil || known.incarnation != incarnation {
		// Work completed before this instance became home is already in the merged progress.
		known = &holderState{incarnation: incarnation, epoch: message.GetEpoch(), completed: message.GetCompleted()}
		t.home.holders[holder] = known
	}
	known.lastReportAt = now
	if message.GetSequence() <= known.sequence {
		return known, false
	}
	known.sequence = message.GetSequence()
	known.held = int(message.GetHeld())
	if known.epoch != message.GetEpoch() {
		known.epoch = message.GetEpoch()
		known.completed = 0
	}
	if message.GetEpoch() == t.replicated.epoch && message.GetCompleted() > known.completed && !known.resetBaseline {
		t.replicated.progress += message.GetCompleted() - known.completed
		t.changedAt = now
	}
	known.completed, known.resetBaseline = message.GetCompleted(), false
	return known, true
}

// reachableShare returns the part of a limit that falls to the instances reachable from here, at
// least 1. When a zone is partitioned, each side uses its own part of the limit instead of all of
// it.
func (t *tracked) reachableShare(limit int) int {
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
func (t *tracked) resetBaselines() {
	for _, holder := range t.home.holders {
		holder.resetBaseline = true
	}
}

// mayGrant reports whether the home may grant one more permit to a holder of held permits, under
// the limit over all instances.
func (t *tracked) mayGrant(ring *Ring, holder InstanceID, held int, requester *permitWait, now time.Time) bool {
	if now.Before(t.home.readyAt) || t.listedLeaving || t.replicated.leaving || t.replicated.refusing || t.usesOwnSlots() {
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

// slotSwitchPending reports whether the endpoint is warm and its home still grants permits, until
// every holder is within its slots.
func (t *tracked) slotSwitchPending() bool {
	return !t.replicated.shared && t.home.liveInstances <= t.limits.full && t.replicated.progress >= t.limits.fullProgress()
}

// trySwitchToSlots lets the instances use their own slots once no holder has more permits than
// slots.
func (t *tracked) trySwitchToSlots(ring *Ring, now time.Time) {
	if !t.home.isSelf || !t.slotSwitchPending() || now.Before(t.home.readyAt) || t.endpoint.InFlight > t.home.slots {
		return
	}
	for id, holder := range t.home.holders {
		if holder.held > countSlots(ring, t.endpoint.ID, t.limits.full, id) {
			return
		}
	}
	t.replicated.shared = true
	t.home.holders = make(map[InstanceID]*holderState)
	t.changedAt = now
}

// dropLostHolders drops the permits of instances that left the ring and sent no report for
// lostAfter. Their connections are closed by then.
func (t *tracked) dropLostHolders(ring *Ring, lostAfter time.Duration, now time.Time) {
	for id, holder := range t.home.holders {
		if ring.Has(id) {
			continue
		}
		if now.Sub(holder.lastReportAt) > lostAfter {
			delete(t.home.holders, id)
		}
	}
}
