package canary

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/canary/canarypb"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// minFailures is the number of failures of a new version below which nothing is concluded. It
	// is a fraction of the number after which the platform wants the version out of service.
	minFailures = 8
	// failureFactor and failureMargin say how much more often than the old version a bad one fails.
	failureFactor = 1.5
	failureMargin = 0.1
	// failureDeviations is by how many standard deviations its failures exceed what chance would give. It is
	// looked at with each answer of some thousand: four deviations happen once in 30,000 looks.
	failureDeviations = 4
	// leastRate is the failure rate that the old version is taken to have at least: that of a sound
	// service with a few faulty endpoints.
	leastRate = 0.01
	// slowFactor and slowMin say when an answer counts as a failure: when its first byte, as a multiple
	// of what was expected, takes so many times the old version's mean, and at least that long. What is
	// expected counts the prompt, without what is cached, and the work that stands before it, at the
	// pace of both versions: neither a new version's empty caches nor a rise of traffic are its fault.
	// One in ten answers of a sound version takes twice the mean.
	slowFactor = 2.5
	slowMin    = 150 * time.Millisecond
	// stressFactor takes slowFactor's place under stress, where few endpoints get twice their part.
	stressFactor = 4
	// expectedSlack is added to what is expected, which says little of short answers.
	expectedSlack = 50 * time.Millisecond
	// averageWeight is the weight of the newest value in the old version's mean.
	averageWeight = 0.05
)

// tally counts answers by version since the roll-out's start.
type tally struct {
	newAnswers, newFailures uint32
	oldAnswers, oldFailures uint32
}

func (t tally) plus(o tally) tally {
	return tally{
		newAnswers: t.newAnswers + o.newAnswers, newFailures: t.newFailures + o.newFailures,
		oldAnswers: t.oldAnswers + o.oldAnswers, oldFailures: t.oldFailures + o.oldFailures,
	}
}

// newSince leaves out what the new version did before an earlier tally. Counts that an instance lost make it
// nothing.
func (t tally) newSince(earlier tally) tally {
	if t.newAnswers < earlier.newAnswers || t.newFailures < earlier.newFailures {
		return tally{}
	}
	t.newAnswers -= earlier.newAnswers
	t.newFailures -= earlier.newFailures
	return t
}

// worse says whether the new version has done badly since the roll-out began or in its present stage alone:
// what goes wrong under more load must not be outweighed by answers under less.
func (one *rollout) worse() bool {
	sum := one.sum()
	return sum.bad() || sum.newSince(one.before).bad()
}

// bad says whether the new version fails clearly more often than the old one.
func (t tally) bad() bool {
	if t.newFailures < minFailures {
		return false
	}
	before := max(float64(t.oldFailures)/float64(max(t.oldAnswers, 1)), leastRate)
	answers, failures := float64(t.newAnswers), float64(t.newFailures)
	chance := answers*before + failureDeviations*math.Sqrt(answers*before*(1-before))
	return failures > chance && failures/answers > failureFactor*before+failureMargin
}

// average is an exponentially weighted mean.
type average struct {
	value float64
	set   bool
}

func (a *average) add(value float64) {
	if !a.set {
		a.value, a.set = value, true
		return
	}
	a.value += averageWeight * (value - a.value)
}

// Observe takes the outcome of an attempt at a version of a service.
func (r *Rollouts) Observe(service, version string, attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.byService[service]
	if one == nil || one.stage.State == Completed || one.stage.State == Reverted {
		return
	}
	bad := attempt.Failed || one.slow(attempt)
	if version == one.order.Target {
		one.own.newAnswers++
		if bad {
			one.own.newFailures++
		}
		r.judge(one)
		return
	}
	one.own.oldAnswers++
	if bad {
		one.own.oldFailures++
	}
	if !attempt.Failed {
		one.oldDelay.add(attempt.delay())
	}
}

// slow says whether an answer took much longer than expected.
func (one *rollout) slow(attempt Attempt) bool {
	factor := slowFactor
	if one.underStress() {
		factor = stressFactor
	}
	return one.oldDelay.set && attempt.FirstByte >= slowMin && attempt.delay() > factor*one.oldDelay.value
}

// Attempt is what one attempt showed of a version.
type Attempt struct {
	Failed bool
	// FirstByte is the time to the answer's first byte; Expected is what the endpoint's work and the
	// prompt were expected to take.
	FirstByte time.Duration
	Expected  time.Duration
}

// delay is the time to the first byte as a multiple of what was expected.
func (a Attempt) delay() float64 {
	return a.FirstByte.Seconds() / (a.Expected + expectedSlack).Seconds()
}

// judge stops a version that the evidence of all instances is against. The caller holds the lock.
func (r *Rollouts) judge(one *rollout) {
	if one.distrust || !one.worse() {
		return
	}
	sum := one.sum()
	one.distrust = true
	r.counters.Inc("plumbarrow_rollout_distrusted_total")
	r.log.Warn("new version distrusted", "service", one.order.Service, "target", one.order.Target, "new_answers", sum.newAnswers,
		"new_failures", sum.newFailures, "old_answers", sum.oldAnswers, "old_failures", sum.oldFailures)
}

func (one *rollout) sum() tally {
	sum := one.own
	for _, peer := range one.peers {
		sum = sum.plus(peer)
	}
	return sum
}

var _ link.Topic = (*Rollouts)(nil)

// Name implements link.Topic.
func (r *Rollouts) Name() string { return "version tallies" }

// Message implements link.Topic.
func (r *Rollouts) Message(machine.Member) []byte {
	message := &canarypb.Tallies{}
	r.mu.Lock()
	for service, one := range r.byService {
		if one.own == (tally{}) {
			continue
		}
		message.Tallies = append(message.Tallies, &canarypb.Tally{
			Service: service, Order: one.order.Revision,
			NewAnswers: one.own.newAnswers, NewFailures: one.own.newFailures,
			OldAnswers: one.own.oldAnswers, OldFailures: one.own.oldFailures,
		})
	}
	r.mu.Unlock()
	if len(message.Tallies) == 0 {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		r.log.Error("tallies not encoded", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (r *Rollouts) Receive(from machine.Member, data []byte) {
	message := &canarypb.Tallies{}
	if err := proto.Unmarshal(data, message); err != nil {
		r.log.Warn("tallies not decoded", "peer", from.ID, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, told := range message.GetTallies() {
		one := r.byService[told.GetService()]
		if one == nil || one.order.Revision != told.GetOrder() {
			continue
		}
		one.peers[from.ID] = tally{
			newAnswers: told.GetNewAnswers(), newFailures: told.GetNewFailures(),
			oldAnswers: told.GetOldAnswers(), oldFailures: told.GetOldFailures(),
		}
		r.judge(one)
	}
}
