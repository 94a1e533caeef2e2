package machine

import (
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// home is an endpoint's place among the zone's instances. While the endpoint is cold, its home
// hands out all permits; afterwards each instance owns a part of the slots.
type home struct {
	owner     Member
	self      bool // this instance is the home
	instances int  // live in the zone
	listed    int  // in the zone by the platform's list, those that do not answer included
	slots     int  // of the full limit that this instance owns
	stale     bool // limits changed since the last assignment
	readyAt   time.Time
	turn      turn                    // of the home's own instance
	holders   map[InstanceID]*holding // of the home only
}

// holding is what the home knows of one instance's permits.
type holding struct {
	incarnation string
	sequence    uint64
	held        int
	epoch       uint32
	completed   uint64
	turn        turn
	rebase      bool // the completed work up to the next report was counted elsewhere
	seenAt      time.Time
}

// holds is this instance's own side: what it told the home, and what the home last said.
type holds struct {
	sequence  uint64
	pending   int // calls for a permit under way
	completed uint64
	dirty     bool // the home does not know the present holdings
	told      int  // permits in the last report
	sentAt    time.Time
	fullUntil time.Time // the home had no permit to give
}

// homeKey is the rendezvous key of an endpoint's home.
func homeKey(id EndpointID) string { return "home/" + string(id) }

// slotsOf counts the slots of an endpoint's limit that an instance owns. When a member joins or
// leaves, only its own slots move, so that instances with different lists overlap little.
func slotsOf(ring *Ring, id EndpointID, full int, instance InstanceID) int {
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

// assign gives the endpoint its home and slots on a ring of the zone's live instances. joined says
// that the ring has members that the last one had not.
func (t *tracked) assign(ring *Ring, listed int, joined bool, self InstanceID, now, readyAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared := t.sharing()
	t.home.stale = false
	t.home.instances = ring.Len()
	t.home.listed = max(listed, ring.Len())
	t.home.slots = slotsOf(ring, t.endpoint.ID, t.limits.full, self)
	owner, _ := ring.Owner(homeKey(t.endpoint.ID))
	if shared && !t.sharing() {
		t.home.readyAt = readyAt // the holdings of the time with own slots are not known
		t.holds.dirty = t.endpoint.InFlight > 0
	}
	if joined {
		t.home.readyAt = readyAt // who joined may hold permits from another home
	}
	if owner == t.home.owner {
		return
	}
	moved := owner.ID != t.home.owner.ID
	t.home.owner = owner
	t.holds.dirty = t.endpoint.InFlight > 0
	t.holds.fullUntil = time.Time{}
	if !moved {
		return
	}
	t.home.self = owner.ID == self
	t.home.holders = nil
	if t.home.self {
		t.home.holders = make(map[InstanceID]*holding)
		t.home.readyAt = readyAt
	}
}

// report takes in what an instance holds; ok is false for a message overtaken by a newer one.
func (t *tracked) report(holder InstanceID, incarnation string, message *machinepb.Holding, now time.Time) (known *holding, ok bool) {
	known = t.home.holders[holder]
	if known == nil || known.incarnation != incarnation {
		// Work completed before this home took over is in the progress it heard of.
		known = &holding{incarnation: incarnation, epoch: message.GetEpoch(), completed: message.GetCompleted()}
		t.home.holders[holder] = known
	}
	known.seenAt = now
	if message.GetSequence() <= known.sequence {
		return known, false
	}
	known.sequence = message.GetSequence()
	known.held = int(message.GetHeld())
	if known.epoch != message.GetEpoch() {
		known.epoch = message.GetEpoch()
		known.completed = 0
	}
	if message.GetEpoch() == t.warmth.epoch && message.GetCompleted() > known.completed && !known.rebase {
		t.warmth.progress += message.GetCompleted() - known.completed
		t.changedAt = now
	}
	known.completed, known.rebase = message.GetCompleted(), false
	return known, true
}

// reachable is the part of a limit that belongs to the instances that this one reaches. When a
// zone falls apart, each part then uses its own share of the limit instead of the whole.
func (t *tracked) reachable(limit int) int {
	if t.home.instances >= t.home.listed {
		return limit
	}
	return max(1, limit*t.home.instances/t.home.listed)
}

// asked notes the answer to a request for a permit.
func (h *holding) asked(granted bool, now time.Time) {
	if granted {
		h.held++
	}
	h.turn.asked(granted, now)
}

// rebase keeps work from being counted twice: another instance was home meanwhile, and what the
// holders completed is in the progress heard from it.
func (t *tracked) rebase() {
	for _, one := range t.home.holders {
		one.rebase = true
	}
}

// grant says whether the home may give a holder of held permits one more under the limit over all
// instances.
func (t *tracked) grant(ring *Ring, holder InstanceID, held int, asker *turn, now time.Time) bool {
	if now.Before(t.home.readyAt) || t.leaving || t.warmth.leaving || t.warmth.refusing || t.sharing() {
		return false
	}
	total := t.endpoint.InFlight // the home's own
	for _, one := range t.home.holders {
		total += one.held
	}
	if total >= t.reachable(t.limits.at(t.warmth.progress)) {
		return false
	}
	if !t.fair(held, asker, now) {
		return false
	}
	// Once warm, a holder gets no more than the slots that will be its own.
	return !t.nearlyShared() || held < slotsOf(ring, t.endpoint.ID, t.limits.full, holder)
}

// nearlyShared says that the endpoint is warm and waits for all holders to be within their slots.
func (t *tracked) nearlyShared() bool {
	return !t.warmth.shared && t.home.instances <= t.limits.full && t.warmth.progress >= t.limits.complete()
}

// share lets the instances use their own slots once no holder has more than that.
func (t *tracked) share(ring *Ring, now time.Time) {
	if !t.home.self || !t.nearlyShared() || now.Before(t.home.readyAt) || t.endpoint.InFlight > t.home.slots {
		return
	}
	for id, one := range t.home.holders {
		if one.held > slotsOf(ring, t.endpoint.ID, t.limits.full, id) {
			return
		}
	}
	t.warmth.shared = true
	t.home.holders = make(map[InstanceID]*holding)
	t.changedAt = now
}

// forget drops the permits of instances that have been gone from the ring for lostAfter. Their
// connections are closed by then.
func (t *tracked) forget(ring *Ring, lostAfter time.Duration, now time.Time) {
	for id, one := range t.home.holders {
		if ring.Has(id) {
			continue
		}
		if now.Sub(one.seenAt) > lostAfter {
			delete(t.home.holders, id)
		}
	}
}
