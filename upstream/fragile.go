package upstream

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

const (
	// toleranceTTL is how long a stated tolerance counts without another answer of the endpoint. Only endpoints that get no requests reach
	// it: a service that was quiet may still fall over when its requests return, while one whose endpoints have recovered says so with its
	// first answers.
	toleranceTTL = 5 * time.Minute
	// endedToleranceTTL is how long instances tell each other that an endpoint states no tolerance any more. An older statement of one
	// counts for less.
	endedToleranceTTL = toleranceTTL + time.Minute
	// endedHold is how long an endpoint that states none is exempt from what others of its service state.
	endedHold = 10 * time.Second
	// drainTime is how long the requests that were sent before a tolerance was known may cause rejections.
	drainTime = 2 * time.Second
	// minRejectionPause and maxRejectionPause bound the time for which an instance sends nothing to an endpoint that has rejected its
	// request. Tolerances are per second.
	minRejectionPause = time.Second
	maxRejectionPause = 10 * time.Second
	// cutSettle is the time in which rejections count as one, and nothing is sent: until all instances know of the first one, some
	// requests have ended, and the rejections of that second no longer count.
	cutSettle = time.Second
	// After minRoomHold without a rejection the room grows by the share roomGrowth of the slots per second, at least by minRoomGrowth
	// requests.
	minRoomHold   = 3 * time.Second
	roomGrowth    = 0.05
	minRoomGrowth = 0.25
	// unprobedHold is the time without growth for an endpoint that tolerates no rejection.
	unprobedHold = 30 * time.Second
	// foundShare is the share of the requests that an endpoint held when it rejected one which becomes its room, at least leastShare of
	// the room assumed before. Where it did not tell, and at the other endpoints of the service, unknownShare of the room assumed before
	// does.
	foundShare   = 0.75
	leastShare   = 0.25
	unknownShare = 0.5
	// ownFaultBelow is the share of its room below which an endpoint that rejects a request is taken to do so because of the request, as of
	// one that is too large.
	ownFaultBelow = 0.5
	// refillBelow is the share of its places below which an endpoint that held more than these gets requests again.
	refillBelow = 0.8
	// borrowBelow is the share of an endpoint's room up to which an instance may exceed its own part.
	borrowBelow = 0.5
	// borrowShare is the share of a tolerance that may be used up by instances that exceed their parts at the same time.
	borrowShare = 0.5
	// abandonedOccupancy is how long an endpoint may go on with a request whose connection was closed.
	abandonedOccupancy = 500 * time.Millisecond
	// maxTolerance is the largest tolerance, in rejections per second, that is told to peers.
	maxTolerance = 1_000_000_000
)

// tolerance is how many requests per second an endpoint says that it can reject without failing.
type tolerance struct {
	rejections int
	// stated is false if the endpoint's newest answer states none.
	stated bool
	at     time.Time // of the answer; zero if there was none
}

func (s tolerance) counts(now time.Time) bool { return s.stated && now.Sub(s.at) < toleranceTTL }

// roomCut is what is known of an endpoint's room from the last rejection of a request at the endpoint or another one of its service.
type roomCut struct {
	room  float64 // requests of all instances
	cutAt time.Time
	hold  time.Duration // since cutAt, without growth
}

// fragility is what is known of an endpoint that states a tolerance.
type fragility struct {
	stated tolerance
	roomCut
	pausedUntil time.Time
	abandoned   []time.Time // until when requests that were given up may still occupy a slot
	part        partition
	borrowing   pacer
	// overfull means that the endpoint held more requests than it has places, and has not got rid of enough since.
	overfull bool
}

// places returns for how many requests of all instances a fragile endpoint is taken to have room. Waiting requests have none: the endpoint
// may cease to let them wait at any moment.
func (f *fragility) places(slots int, now time.Time) float64 {
	if f.cutAt.IsZero() {
		return float64(max(slots, 1))
	}
	growth := max(roomGrowth*float64(slots), minRoomGrowth) * max(now.Sub(f.cutAt)-f.hold, 0).Seconds()
	return max(min(f.room+growth, float64(slots)), 1)
}

// rejected takes into account that the endpoint, or another one of its service, had no room for a request sent at sentAt while it held the
// given number, -1 if that is not known. It reports whether there is less room than assumed.
func (f *fragility) rejected(slots, held int, sentAt, now time.Time) bool {
	assumed := f.places(slots, now)
	if !f.cutAt.IsZero() && sentAt.Before(f.cutAt.Add(cutSettle)) || held >= int(assumed) {
		return false
	}
	room := unknownShare * assumed
	if held >= 0 {
		room = max(foundShare*float64(held), leastShare*assumed)
	}
	f.cut(room, now)
	return true
}

// cut sets the room that was found at a time.
func (f *fragility) cut(room float64, at time.Time) {
	f.room, f.cutAt = max(room, 1), at
	f.pause(at.Add(cutSettle))
}

// inherit takes over the cut of an endpoint with the given slots, as an endpoint that has just started does from the others.
func (f *fragility) inherit(cut roomCut, slots, ownSlots int) {
	if f.cutAt.IsZero() && !cut.cutAt.IsZero() {
		f.roomCut = cut
		f.cut(cut.room*float64(ownSlots)/float64(max(slots, 1)), cut.cutAt)
	}
}

func (f *fragility) pause(until time.Time) {
	if until.After(f.pausedUntil) {
		f.pausedUntil = until
	}
}

// roomHold returns for how long an endpoint's room does not grow after a rejection. The instances together probe for more at most as often
// as the endpoint tolerates; one that tolerates no rejection is hardly probed.
func roomHold(rejections, instances int) time.Duration {
	if rejections == 0 {
		return unprobedHold
	}
	return max(minRoomHold, rejectionPause(rejections, instances))
}

// rejectionPause returns for how long an instance sends nothing to an endpoint that has rejected its request, so that all instances
// together do not cause more rejections than the endpoint tolerates.
func rejectionPause(rejections, instances int) time.Duration {
	if rejections == 0 {
		return maxRejectionPause
	}
	return min(max(time.Duration(float64(instances)/float64(rejections)*float64(time.Second)), minRejectionPause), maxRejectionPause)
}

// partition is an instance's part of an endpoint's places, with what it was computed from.
type partition struct {
	members []machine.Member
	loadsAt time.Time // of the peers
	places  int
	part    int
	// next is how many instances get one more place before this one if there are more.
	next int
}

// update computes the part of the instance self again if the members, the places or the peers' loads have changed. What a peer has beyond
// an even part, as after an uneven time without a bound, is taken from the parts of the others. The caller holds the endpoint's lock and
// has called total.
func (p *partition) update(e *Endpoint, places int, self machine.InstanceID, members []machine.Member) {
	if sameSlice(members, p.members) && places == p.places && p.members != nil && p.loadsAt.Equal(e.peerTotalAt) {
		return
	}
	even := places/max(len(members), 1) + 1
	left, sharing := places, members
	for id, peer := range e.peers {
		if peer.requests <= even {
			continue
		}
		left -= peer.requests
		if len(sharing) == len(members) {
			sharing = slices.Clone(members)
		}
		sharing = slices.DeleteFunc(sharing, func(m machine.Member) bool { return m.ID == id })
	}
	*p = split(e.hash, max(left, 0), self, sharing)
	p.members, p.loadsAt, p.places = members, e.peerTotalAt, places
}

// split splits places evenly over the instances and returns the part of the instance self. Those left over go to the instances that
// rendezvous hashing selects.
func split(endpoint uint64, places int, self machine.InstanceID, members []machine.Member) partition {
	count := max(len(members), 1)
	part, left := places/count, places%count
	ownWeight := rendezvousWeight(endpoint, self)
	higher := 0
	for _, member := range members {
		if member.ID != self && rendezvousWeight(endpoint, member.ID) > ownWeight {
			higher++
		}
	}
	if higher < left {
		return partition{part: part + 1, next: higher + count - left}
	}
	return partition{part: part, next: higher - left}
}

// fragileServices holds what the endpoints of each service state. Safe for concurrent use.
type fragileServices struct {
	any    atomic.Bool // an endpoint has stated a tolerance since the start
	byName sync.Map    // *fragileService
}

// fragileService is the newest statement of a service's endpoints. It holds for those that have not answered since.
type fragileService struct {
	mu       sync.Mutex
	stated   tolerance
	active   bool      // an endpoint states a tolerance
	since    time.Time // begin of active
	borrowed int       // requests in flight beyond this instance's part
	noBorrow time.Time // until when none may be
	cut      roomCut   // the last one
	cutSlots int       // of the endpoint with that
}

func (s *fragileServices) of(name string) *fragileService {
	service, ok := s.byName.Load(name)
	if !ok {
		service, _ = s.byName.LoadOrStore(name, &fragileService{})
	}
	return service.(*fragileService)
}

// state takes a statement into account unless a newer one is known. It reports whether the service's endpoints begin to be fragile.
func (s *fragileService) state(stated tolerance, now time.Time) (begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lapsed := s.stated.stated && !s.stated.counts(now)
	if stated.at.After(s.stated.at) {
		s.stated = stated
	}
	if !stated.counts(now) || s.active && !lapsed {
		return false
	}
	s.active, s.since = true, now
	return true
}

// end reports whether the service's endpoints cease to be fragile; remaining says that one of them still is.
func (s *fragileService) end(remaining bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.active && !remaining
	s.active = s.active && remaining
	return ended
}

// recordCut records an endpoint's cut for those that start later.
func (s *fragileService) recordCut(cut roomCut, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cut.cutAt.After(s.cut.cutAt) {
		s.cut, s.cutSlots = cut, slots
	}
}

func (s *fragileService) lastCut() (cut roomCut, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut, s.cutSlots
}

func (s *fragileService) load() (stated tolerance, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated, s.since
}

func (s *fragileService) mayBorrow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.borrowed == 0 && !now.Before(s.noBorrow)
}

func (s *fragileService) forbidBorrowing(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noBorrow = until
}

// tolerance returns how many rejections per second the endpoint tolerates; false if it states no bound. An endpoint that has not answered
// yet is taken to be like the others of its service. The caller holds the endpoint's lock.
func (t *Table) tolerance(e *Endpoint, now time.Time) (rejections int, fragile bool) {
	if !t.fragile.any.Load() {
		return 0, false
	}
	own := e.fragility.stated
	if own.counts(now) {
		return own.rejections, true
	}
	others, _ := t.fragile.of(e.report.Service).load()
	exempt := !own.stated && !own.at.IsZero() && others.at.Sub(own.at) < endedHold
	return others.rejections, others.counts(now) && !exempt
}

// fragileRoom is what a fragile endpoint has room for.
type fragileRoom struct {
	admits bool
	// borrows means that the request exceeds this instance's part.
	borrows bool
	// none means that this instance has no part of the endpoint's places.
	none bool
	// rate is how many requests per second may exceed this instance's part.
	rate float64
}

// fragileRoom returns whether the endpoint may get one more request as far as it tolerates few rejections: this instance has a place left
// of its part, and the known requests of all instances leave one. After more requests than places, as many were sent before the tolerance
// was known, it gets none for a while: what is known of the others is not new enough to fill it to the last place. Beyond its part it may have one request for each service, at an endpoint that is hardly used, if the few instances that do
// so can't use up the tolerance. The caller holds the lock.
func (t *Table) fragileRoom(e *Endpoint, now time.Time) fragileRoom {
	rejections, fragile := t.tolerance(e, now)
	if !fragile {
		return fragileRoom{admits: true}
	}
	f := &e.fragility
	cut, slots := t.fragile.of(e.report.Service).lastCut()
	f.inherit(cut, slots, e.report.Slots)
	if now.Before(f.pausedUntil) {
		return fragileRoom{}
	}
	f.abandoned = slices.DeleteFunc(f.abandoned, func(until time.Time) bool { return !now.Before(until) })
	places := f.places(e.report.Slots, now)
	members := t.currentSharers(now)
	total := e.total(now).requests + len(f.abandoned)
	f.part.update(e, int(places), t.self, members)
	f.overfull = total > int(places) || f.overfull && float64(total) >= refillBelow*places
	if f.overfull {
		return fragileRoom{}
	}
	used := e.ownLoad.requests + len(f.abandoned)
	if used < f.part.part {
		return fragileRoom{admits: total < int(places)}
	}
	budget := borrowShare * float64(rejections)
	room := fragileRoom{none: f.part.part == 0, rate: budget / float64(max(len(members), 1))}
	room.borrows = used == f.part.part && float64(total) < borrowBelow*places &&
		(float64(f.part.next) < budget-1 || f.borrowing.ready(room.rate, now)) && t.fragile.of(e.report.Service).mayBorrow(now)
	room.admits = room.borrows
	return room
}

// borrow counts a request beyond this instance's part. The caller holds the endpoint's lock.
func (g *Grant) borrow(rate float64, now time.Time) {
	g.Endpoint.fragility.borrowing.take(rate, now)
	g.lender = g.table.fragile.of(g.Report.Service)
	g.lender.mu.Lock()
	g.lender.borrowed++
	g.lender.mu.Unlock()
}

// recordFragileEnd gives back what the request has borrowed. A request that was given up occupies the endpoint a little longer. The caller
// holds the endpoint's lock.
func (g *Grant) recordFragileEnd(outcome Outcome, now time.Time) {
	if g.lender != nil {
		g.lender.mu.Lock()
		g.lender.borrowed--
		g.lender.mu.Unlock()
	}
	if !g.sent || outcome != Abandoned && outcome != Unreachable {
		return
	}
	if _, fragile := g.table.tolerance(g.Endpoint, now); fragile {
		g.Endpoint.fragility.abandoned = append(g.Endpoint.fragility.abandoned, now.Add(abandonedOccupancy))
	}
}

// RecordSent records that the request is being sent to the endpoint, so that it may run there even if it is given up.
func (g *Grant) RecordSent() { g.sent = true }

// RecordTolerance records how many rejections per second the endpoint's answer says that it tolerates, or that it states no bound. An
// answer without one only ends a tolerance that was known before the request was sent, so that answers that overtake each other do not.
func (g *Grant) RecordTolerance(rejections int, stated bool) {
	t, e := g.table, g.Endpoint
	if !stated && !t.fragile.any.Load() {
		return
	}
	now := time.Now()
	e.mu.Lock()
	if e.report.incarnation() != g.Report.incarnation() {
		e.mu.Unlock()
		return
	}
	if !stated && !t.endsTolerance(g, now) {
		e.mu.Unlock()
		return
	}
	e.fragility.stated = tolerance{rejections: rejections, stated: stated, at: now}
	known := e.fragility.stated
	e.mu.Unlock()
	t.noteTolerance(g.Report.Service, known, g.startedAt, now)
}

// endsTolerance reports whether an answer without a tolerance ends the one that is known. The caller holds the endpoint's lock.
func (t *Table) endsTolerance(g *Grant, now time.Time) bool {
	if _, fragile := t.tolerance(g.Endpoint, now); !fragile {
		own := &g.Endpoint.fragility.stated
		if !own.at.IsZero() && !own.stated {
			own.at = now // still exempt
		}
		return false
	}
	if own := g.Endpoint.fragility.stated; own.stated {
		return g.startedAt.After(own.at)
	}
	_, since := t.fragile.of(g.Report.Service).load()
	return g.startedAt.After(since)
}

// noteTolerance updates what is known of a service after a statement of one of its endpoints, and logs begin and end. sentAt is when the
// request was sent whose answer holds the statement.
func (t *Table) noteTolerance(service string, stated tolerance, sentAt, now time.Time) {
	s := t.fragile.of(service)
	if stated.stated {
		t.fragile.any.Store(true)
		if s.state(stated, now) {
			t.log.Warn("endpoints of the service tolerate few rejections", "service", service, "rejections_per_second", stated.rejections)
		}
		return
	}
	if newest, _ := s.load(); sentAt.After(newest.at) {
		s.state(stated, now)
	}
	if s.end(t.fragileCount(service, now) > 0) {
		t.log.Info("endpoints of the service tolerate rejections again", "service", service)
	}
}

// fragileCount returns how many endpoints of the service state a tolerance.
func (t *Table) fragileCount(service string, now time.Time) int {
	count := 0
	for _, e := range t.view.Load().byService[service] {
		e.mu.Lock()
		if _, fragile := t.tolerance(e, now); fragile {
			count++
		}
		e.mu.Unlock()
	}
	return count
}

// Fragile returns how many endpoints state that they tolerate few rejections.
func (t *Table) Fragile() int {
	if !t.fragile.any.Load() {
		return 0
	}
	count := 0
	for service := range t.view.Load().byService {
		count += t.fragileCount(service, time.Now())
	}
	return count
}

// RecordNoRoom records that the endpoint has rejected the request. held is the number of requests that it then held, -1 if that is not
// known. A fragile endpoint gets nothing more from this instance for a time. If it has less room than was assumed, all endpoints of the
// service get fewer requests: their rooms shrink together. An endpoint with most of its room unused tells nothing about room.
func (g *Grant) RecordNoRoom(held int, request string) {
	t, e := g.table, g.Endpoint
	if !t.fragile.any.Load() {
		return
	}
	now := time.Now()
	instances := len(t.currentSharers(now))
	service := t.fragile.of(g.Report.Service)
	_, since := service.load()
	drained := g.startedAt.After(since.Add(drainTime))
	e.mu.Lock()
	rejections, fragile := t.tolerance(e, now)
	if !fragile || e.report.incarnation() != g.Report.incarnation() {
		e.mu.Unlock()
		return
	}
	f := &e.fragility
	pause := minRejectionPause
	if drained {
		pause = rejectionPause(rejections, instances)
	}
	known := max(held, e.total(now).requests-1) // without the request itself
	ownFault := float64(known) < ownFaultBelow*f.places(e.report.Slots, now)
	shrinks := drained && !ownFault && f.rejected(e.report.Slots, held, g.startedAt, now)
	if shrinks {
		f.hold = roomHold(rejections, instances)
		service.recordCut(f.roomCut, e.report.Slots)
	}
	f.pause(now.Add(pause))
	places := f.places(e.report.Slots, now)
	e.mu.Unlock()
	service.forbidBorrowing(now.Add(maxRejectionPause))
	if shrinks {
		t.shrinkOthers(e, g.Report.Service, instances, now)
	}
	t.counters.Inc("plumbarrow_fragile_rejections_total")
	t.log.Info("fragile endpoint rejected a request", "endpoint", e.id, "service", g.Report.Service, "held", held, "places", int(places),
		"less_room", shrinks, "pause_ms", pause.Milliseconds(), "request_id", request)
}

// shrinkOthers takes into account that an endpoint of the service has less room than assumed: the others are likely to.
func (t *Table) shrinkOthers(except *Endpoint, service string, instances int, now time.Time) {
	for _, e := range t.view.Load().byService[service] {
		if e == except {
			continue
		}
		e.mu.Lock()
		rejections, fragile := t.tolerance(e, now)
		if fragile && e.fragility.rejected(e.report.Slots, -1, now, now) {
			e.fragility.hold = roomHold(rejections, instances)
			t.fragile.of(service).recordCut(e.fragility.roomCut, e.report.Slots)
		}
		e.mu.Unlock()
	}
}

// departedHold is how long an instance that is no longer live keeps its part even if the platform does not list it: requests of it may run.
const departedHold = 15 * time.Second

// sharers are the instances that share the places of fragile endpoints: the live ones, those that the platform lists, as they may be cut
// off from their peers only, and those that were live lately. Safe for concurrent use.
type sharers struct {
	mu       sync.Mutex
	live     []machine.Member
	present  []machine.Member
	departed []departedMember
	all      []machine.Member
}

type departedMember struct {
	machine.Member
	until time.Time
}

// currentSharers returns the instances that share the places of fragile endpoints now.
func (t *Table) currentSharers(now time.Time) []machine.Member {
	var present []machine.Member
	if list, ok := t.members.(interface{ Present() []machine.Member }); ok {
		present = list.Present()
	}
	return t.sharers.current(t.members.Live(), present, now)
}

// current returns the sharers. It has to be called whenever the live or present ones may have changed.
func (s *sharers) current(live, present []machine.Member, now time.Time) []machine.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sameSlice(live, s.live) && sameSlice(present, s.present) && (len(s.departed) == 0 || now.Before(s.departed[0].until)) {
		return s.all
	}
	contains := func(members []machine.Member, id machine.InstanceID) bool {
		return slices.ContainsFunc(members, func(m machine.Member) bool { return m.ID == id })
	}
	for _, member := range s.live {
		if !contains(live, member.ID) {
			s.departed = append(s.departed, departedMember{member, now.Add(departedHold)})
		}
	}
	s.departed = slices.DeleteFunc(s.departed, func(d departedMember) bool { return !now.Before(d.until) || contains(live, d.ID) })
	slices.SortStableFunc(s.departed, func(a, b departedMember) int { return a.until.Compare(b.until) })
	all := slices.Clone(live)
	for _, member := range present {
		if !contains(live, member.ID) {
			all = append(all, member)
		}
	}
	for _, d := range s.departed {
		if !contains(all, d.ID) {
			all = append(all, d.Member)
		}
	}
	slices.SortFunc(all, func(a, b machine.Member) int { return cmp.Compare(a.ID, b.ID) })
	s.live, s.present, s.all = live, present, all
	return all
}

// sameSlice reports whether a and b are the same slice.
func sameSlice(a, b []machine.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
