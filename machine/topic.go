package machine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

const (
	changeTTL     = 5 * time.Second // how long every message includes a change
	loadReportTTL = 3 * time.Second // age up to which a load report is passed on
	maxChanged    = 48              // changed states in one message
	maxLoads      = 16              // load reports in one message
	maxRepair     = 8               // further states in one message, round robin, to repair lost updates
	maxFull       = 1024            // states in the first message to a member
)

// StateTopic gossips within the zone which endpoints are cold, warm, leaving or refusing
// connections, and their reported load. It implements link.Topic. A message is bounded: recent
// changes, the newest load reports and a few further endpoints, round robin (anti-entropy); a
// member that is new to this instance gets up to maxFull of them once.
type StateTopic struct {
	permits *SharedPermits

	mu            sync.Mutex
	fullStateSent map[InstanceID]Incarnation // members that got all states
	repairCursor  uint64                     // key after which the next repair starts
}

// NewStateTopic returns the topic of the permits' endpoints.
func NewStateTopic(permits *SharedPermits) *StateTopic {
	return &StateTopic{permits: permits, fullStateSent: make(map[InstanceID]Incarnation)}
}

// Name returns the topic's name on the wire.
func (s *StateTopic) Name() string { return "endpoints" }

// Message returns the states for a member of the zone; nil for other zones or if there are none.
func (s *StateTopic) Message(to Member) []byte {
	if to.Zone != s.permits.self.Zone {
		return nil
	}
	states := s.selectStates(s.isNew(to), time.Now())
	if len(states) == 0 {
		return nil
	}
	payload, err := proto.Marshal(&machinepb.States{States: states})
	if err != nil {
		s.permits.Log.Error("encoding endpoint states failed", "peer", to.ID, "error", err)
	}
	return payload
}

// isNew reports whether this incarnation of the member has not got all states yet, and records that
// it does now.
func (s *StateTopic) isNew(member Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ring := s.permits.ring.Load()
	for id := range s.fullStateSent {
		if !ring.Has(id) {
			delete(s.fullStateSent, id)
		}
	}
	if incarnation, ok := s.fullStateSent[member.ID]; ok && incarnation == member.Incarnation {
		return false
	}
	s.fullStateSent[member.ID] = member.Incarnation
	return true
}

// candidate is the state of an endpoint with the times of its last change and load report.
type candidate struct {
	state      *machinepb.State
	changedAt  time.Time
	reportedAt time.Time
}

// selectStates selects the states for one message.
func (s *StateTopic) selectStates(full bool, now time.Time) []*machinepb.State {
	all := s.candidates()
	if full {
		return statesOf(all, maxFull)
	}
	recent := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return now.Sub(c.changedAt) > changeTTL })
	slices.SortFunc(recent, func(a, b candidate) int { return b.changedAt.Compare(a.changedAt) })
	loads := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return now.Sub(c.reportedAt) > loadReportTTL })
	slices.SortFunc(loads, func(a, b candidate) int { return b.reportedAt.Compare(a.reportedAt) })
	states := statesOf(recent, maxChanged)
	states = append(states, statesOf(loads, maxLoads)...)
	states = append(states, statesOf(s.nextRepair(all), maxRepair)...)
	slices.SortFunc(states, func(a, b *machinepb.State) int { return cmp.Compare(a.GetEndpoint(), b.GetEndpoint()) })
	return slices.Compact(states)
}

func statesOf(all []candidate, bound int) []*machinepb.State {
	states := make([]*machinepb.State, 0, min(len(all), bound))
	for _, c := range all[:min(len(all), bound)] {
		states = append(states, c.state)
	}
	return states
}

// candidates returns the endpoints with state to gossip, in the order of their keys.
func (s *StateTopic) candidates() []candidate {
	var all []candidate
	for _, target := range s.permits.Table.all() {
		target.mu.Lock()
		if target.replicated != (replicatedState{}) || !target.endpoint.ReportedAt.IsZero() {
			all = append(all, target.candidate())
		}
		target.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.state.GetEndpoint(), b.state.GetEndpoint()) })
	return all
}

func (t *trackedEndpoint) candidate() candidate {
	return candidate{
		changedAt:  t.changedAt,
		reportedAt: t.endpoint.ReportedAt,
		state: &machinepb.State{
			Endpoint: t.key,
			Epoch:    t.replicated.epoch,
			Progress: t.replicated.progress,
			Shared:   t.replicated.ownSlots,
			Leaving:  t.replicated.leaving,
			Refusing: t.replicated.refusing,
			Running:  uint32(t.endpoint.ReportedRunning),
			Queued:   uint32(t.endpoint.ReportedQueued),
			AgeMs:    reportAge(t.endpoint.ReportedAt),
		},
	}
}

// reportAge returns the age of a load report in milliseconds, at least 1; 0 means none within
// loadReportTTL.
func reportAge(at time.Time) uint32 {
	age := time.Since(at)
	if at.IsZero() || age > loadReportTTL {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// nextRepair returns the next slice of candidates, round robin over the keys, and advances the
// cursor.
func (s *StateTopic) nextRepair(all []candidate) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := slices.IndexFunc(all, func(c candidate) bool { return c.state.GetEndpoint() > s.repairCursor })
	if start < 0 {
		start = 0
	}
	next := all[start:min(len(all), start+maxRepair)]
	if len(next) > 0 {
		s.repairCursor = next[len(next)-1].state.GetEndpoint()
	}
	return next
}

// Receive merges the states of a member and requests an exchange at once if a change is urgent.
func (s *StateTopic) Receive(from Member, payload []byte) {
	if from.Zone != s.permits.self.Zone {
		return
	}
	message := &machinepb.States{}
	if err := proto.Unmarshal(payload, message); err != nil {
		s.permits.Log.Warn("decoding endpoint states failed", "peer", from.ID, "error", err)
		return
	}
	urgent := false
	for _, state := range message.GetStates() {
		urgent = s.receive(state) || urgent
	}
	if urgent {
		s.permits.TriggerRound()
	}
}

func (s *StateTopic) receive(state *machinepb.State) (urgent bool) {
	target := s.permits.Table.byKey(state.GetEndpoint())
	if target == nil {
		return false
	}
	now := time.Now()
	other := replicatedState{
		epoch:    state.GetEpoch(),
		progress: state.GetProgress(),
		ownSlots: state.GetShared(),
		leaving:  state.GetLeaving(),
		refusing: state.GetRefusing(),
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	reportedAt := now.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	if state.GetAgeMs() > 0 && reportedAt.After(target.endpoint.ReportedAt) {
		target.endpoint.ReportedRunning = int(state.GetRunning())
		target.endpoint.ReportedQueued = int(state.GetQueued())
		target.endpoint.ReportedAt = reportedAt
	}
	previous := target.replicated
	if changed, _ := target.mergeState(other, now, s.permits.earliestGrant()); !changed {
		return false
	}
	return target.replicated.epoch != previous.epoch || target.replicated.leaving != previous.leaving || target.replicated.refusing != previous.refusing
}
