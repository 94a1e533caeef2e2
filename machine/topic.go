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
	freshFor  = 5 * time.Second // how long a change is in every message
	loadFor   = 3 * time.Second // how long a load report is passed on
	maxFresh  = 48              // changed states in one message
	maxLoads  = 16              // load reports in one message
	maxRepair = 8               // further states in one message, in turn, for what was missed
	maxFull   = 1024            // states in the first message to a member
)

// StateTopic exchanges within the zone which endpoints are cold, warm, leaving or refusing, and
// what load they reported. It implements link.Topic. A message is bounded: recent changes, the
// newest load reports and a few further endpoints in turn; a member that is new to this instance
// gets all of them once.
type StateTopic struct {
	permits *SharedPermits

	mu     sync.Mutex
	told   map[InstanceID]Incarnation // who got the full set
	repair uint64                     // key after which the next repair starts
}

// NewStateTopic returns the topic of the permits' endpoints.
func NewStateTopic(permits *SharedPermits) *StateTopic {
	return &StateTopic{permits: permits, told: make(map[InstanceID]Incarnation)}
}

// Name returns the topic's name on the wire.
func (s *StateTopic) Name() string { return "endpoints" }

// Message returns what a member of the zone should know; nil for other zones.
func (s *StateTopic) Message(to Member) []byte {
	if to.Zone != s.permits.self.Zone {
		return nil
	}
	states := s.gather(s.isNew(to), time.Now())
	if len(states) == 0 {
		return nil
	}
	payload, err := proto.Marshal(&machinepb.States{States: states})
	if err != nil {
		s.permits.Log.Error("endpoint states not encoded", "error", err)
	}
	return payload
}

func (s *StateTopic) isNew(member Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ring := s.permits.ring.Load()
	for id := range s.told {
		if !ring.Has(id) {
			delete(s.told, id)
		}
	}
	if told, ok := s.told[member.ID]; ok && told == member.Incarnation {
		return false
	}
	s.told[member.ID] = member.Incarnation
	return true
}

// candidate is an endpoint's state with its ages.
type candidate struct {
	state    *machinepb.State
	changed  time.Time
	reported time.Time
}

// gather selects the states for one message.
func (s *StateTopic) gather(full bool, now time.Time) []*machinepb.State {
	all := s.candidates()
	if full {
		return statesOf(all, maxFull)
	}
	fresh := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return now.Sub(c.changed) > freshFor })
	slices.SortFunc(fresh, func(a, b candidate) int { return b.changed.Compare(a.changed) })
	loads := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return now.Sub(c.reported) > loadFor })
	slices.SortFunc(loads, func(a, b candidate) int { return b.reported.Compare(a.reported) })
	states := statesOf(fresh, maxFresh)
	states = append(states, statesOf(loads, maxLoads)...)
	states = append(states, statesOf(s.turn(all), maxRepair)...)
	slices.SortFunc(states, func(a, b *machinepb.State) int { return cmp.Compare(a.GetEndpoint(), b.GetEndpoint()) })
	return slices.Compact(states)
}

func statesOf(all []candidate, bound int) []*machinepb.State {
	states := make([]*machinepb.State, 0, min(len(all), bound))
	for _, one := range all[:min(len(all), bound)] {
		states = append(states, one.state)
	}
	return states
}

// candidates returns the endpoints of which there is anything to say, in the order of their keys.
func (s *StateTopic) candidates() []candidate {
	var all []candidate
	for _, one := range s.permits.Table.all() {
		one.mu.Lock()
		if one.warmth != (warmth{}) || !one.endpoint.ReportedAt.IsZero() {
			all = append(all, one.candidate())
		}
		one.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.state.GetEndpoint(), b.state.GetEndpoint()) })
	return all
}

func (t *tracked) candidate() candidate {
	return candidate{
		changed:  t.changedAt,
		reported: t.endpoint.ReportedAt,
		state: &machinepb.State{
			Endpoint: t.key,
			Epoch:    t.warmth.epoch,
			Progress: t.warmth.progress,
			Shared:   t.warmth.shared,
			Leaving:  t.warmth.leaving,
			Refusing: t.warmth.refusing,
			Running:  uint32(t.endpoint.ReportedRunning),
			Queued:   uint32(t.endpoint.ReportedQueued),
			AgeMs:    reportAge(t.endpoint.ReportedAt),
		},
	}
}

// reportAge returns the age of a load report in milliseconds, at least 1; 0 means no recent one.
func reportAge(at time.Time) uint32 {
	age := time.Since(at)
	if at.IsZero() || age > loadFor {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// turn returns the candidates after those of the last turn.
func (s *StateTopic) turn(all []candidate) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := slices.IndexFunc(all, func(c candidate) bool { return c.state.GetEndpoint() > s.repair })
	if start < 0 {
		start = 0
	}
	next := all[start:min(len(all), start+maxRepair)]
	if len(next) > 0 {
		s.repair = next[len(next)-1].state.GetEndpoint()
	}
	return next
}

// Receive merges a member's states. News that cannot wait is passed on at once.
func (s *StateTopic) Receive(from Member, payload []byte) {
	if from.Zone != s.permits.self.Zone {
		return
	}
	message := &machinepb.States{}
	if err := proto.Unmarshal(payload, message); err != nil {
		s.permits.Log.Warn("endpoint states not decoded", "peer", from.ID, "error", err)
		return
	}
	urgent := false
	for _, state := range message.GetStates() {
		urgent = s.receive(state) || urgent
	}
	if urgent {
		s.permits.Nudge()
	}
}

func (s *StateTopic) receive(state *machinepb.State) (urgent bool) {
	one := s.permits.Table.byKey(state.GetEndpoint())
	if one == nil {
		return false
	}
	now := time.Now()
	other := warmth{
		epoch:    state.GetEpoch(),
		progress: state.GetProgress(),
		shared:   state.GetShared(),
		leaving:  state.GetLeaving(),
		refusing: state.GetRefusing(),
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	reportedAt := now.Add(-time.Duration(state.GetAgeMs()) * time.Millisecond)
	if state.GetAgeMs() > 0 && reportedAt.After(one.endpoint.ReportedAt) {
		one.endpoint.ReportedRunning = int(state.GetRunning())
		one.endpoint.ReportedQueued = int(state.GetQueued())
		one.endpoint.ReportedAt = reportedAt
	}
	before := one.warmth
	if changed, _ := one.adopt(other, now, s.permits.settledAt()); !changed {
		return false
	}
	return one.warmth.epoch != before.epoch || one.warmth.leaving != before.leaving || one.warmth.refusing != before.refusing
}
