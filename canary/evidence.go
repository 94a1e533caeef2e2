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
	// minFailures is the least number of failures from which a new version can be rejected. It is a fraction of
	// the number after which the platform requires the version to be out of service.
	minFailures = 8
	// A bad version's failure rate exceeds failureFactor times the old version's rate plus failureMargin.
	failureFactor = 1.5
	failureMargin = 0.1
	// failureDeviations is the number of standard deviations by which a bad version's failures exceed the number
	// expected at the old version's rate. The test is repeated at each of some thousand answers; by chance, four
	// deviations are exceeded in one of 30,000 tests.
	failureDeviations = 4
	// minFailureRate is a lower bound for the old version's failure rate in the comparison: the rate of a sound
	// service with a few faulty endpoints.
	minFailureRate = 0.01
	// An answer counts as a failure if its first byte takes at least slowMin and its relative latency exceeds
	// slowFactor times the old version's mean. The relative latency is the time to the first byte divided by the
	// expected time, which includes the uncached part of the prompt and the work queued before it, at the speed
	// measured over both versions. So neither the empty caches of a new version nor a rise of traffic count
	// against it. One in ten answers of a sound version takes twice the mean.
	slowFactor = 2.5
	slowMin    = 150 * time.Millisecond
	// stressFactor replaces slowFactor in the stress stage, in which few endpoints get twice their usual load.
	stressFactor = 4
	// expectedSlack is added to the expected time, which is imprecise for short answers.
	expectedSlack = 50 * time.Millisecond
	// ewmaWeight is the weight of the newest value in an exponentially weighted mean, 0 to 1.
	ewmaWeight = 0.05
)

// tally counts answers by version since the roll-out's start.
type tally struct {
	newAnswers, newFailures uint32
	oldAnswers, oldFailures uint32
	// attempts at the new version, and those that no longer wait for their answer
	newStarted, newResponded uint32
}

func (t tally) plus(o tally) tally {
	return tally{
		newAnswers: t.newAnswers + o.newAnswers, newFailures: t.newFailures + o.newFailures,
		oldAnswers: t.oldAnswers + o.oldAnswers, oldFailures: t.oldFailures + o.oldFailures,
		newStarted: t.newStarted + o.newStarted, newResponded: t.newResponded + o.newResponded,
	}
}

// newSince subtracts the new version's counts of an earlier tally; the old version's counts stay. If a count has
// decreased, because an instance restarted and lost its counts, the result is empty.
func (t tally) newSince(earlier tally) tally {
	if t.newAnswers < earlier.newAnswers || t.newFailures < earlier.newFailures || t.newStarted < earlier.newStarted || t.newResponded < earlier.newResponded {
		return tally{}
	}
	t.newAnswers -= earlier.newAnswers
	t.newFailures -= earlier.newFailures
	t.newStarted -= earlier.newStarted
	t.newResponded -= earlier.newResponded
	return t
}

// keepsUp reports whether most attempts at the new version in the present stage have been answered. A version that is many
// times slower than the old one gets requests faster than it answers them, so that evidence is still to come.
func (ro *rollout) keepsUp() bool {
	stage := ro.sum().newSince(ro.atStageStart)
	return stage.newResponded >= stage.newStarted/2
}

// isWorse reports whether the new version fails more often than the old one, either since the start of the roll-out
// or in the present stage alone. The latter keeps good answers under little load from outweighing failures under
// more load.
func (ro *rollout) isWorse() bool {
	sum := ro.sum()
	return sum.failsMoreOften() || sum.newSince(ro.atStageStart).failsMoreOften()
}

// failsMoreOften reports whether the new version's failure rate is significantly higher than the old version's.
func (t tally) failsMoreOften() bool {
	if t.newFailures < minFailures {
		return false
	}
	oldRate := max(float64(t.oldFailures)/float64(max(t.oldAnswers, 1)), minFailureRate)
	answers, failures := float64(t.newAnswers), float64(t.newFailures)
	limit := answers*oldRate + failureDeviations*math.Sqrt(answers*oldRate*(1-oldRate))
	return failures > limit && failures/answers > failureFactor*oldRate+failureMargin
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	set   bool
}

func (a *ewma) add(value float64) {
	if !a.set {
		a.value, a.set = value, true
		return
	}
	a.value += ewmaWeight * (value - a.value)
}

// Observe records the outcome of an attempt at a version of a service. Every version but the roll-out's target
// counts as the old one.
func (r *Rollouts) Observe(service, version string, attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.ended() {
		return
	}
	bad := attempt.Failed || ro.slow(attempt)
	if version == ro.order.Target {
		ro.local.newAnswers++
		if bad {
			ro.local.newFailures++
		}
		r.evaluate(ro)
		return
	}
	ro.local.oldAnswers++
	if bad {
		ro.local.oldFailures++
	}
	if !attempt.Failed {
		ro.oldLatency.add(attempt.relativeLatency())
	}
}

// slow reports whether an answer's relative latency is much higher than the old version's mean. It is false until
// the old version has answered.
func (ro *rollout) slow(attempt Attempt) bool {
	return ro.oldLatency.set && attempt.FirstByte > ro.slowAfter(attempt.Expected)
}

// slowAfter returns the time to the first byte from which an answer counts as slow. oldLatency must be set.
func (ro *rollout) slowAfter(expected time.Duration) time.Duration {
	factor := slowFactor
	if ro.underStress() {
		factor = stressFactor
	}
	return max(slowMin, time.Duration(factor*ro.oldLatency.value*float64(expected+expectedSlack)))
}

// Attempt is the outcome of one attempt at a version.
type Attempt struct {
	Failed bool
	// FirstByte is the time to the answer's first byte. Expected is the time that the endpoint's queued work and
	// the request's prompt were expected to take.
	FirstByte time.Duration
	Expected  time.Duration
}

// relativeLatency returns the time to the first byte divided by the expected time.
func (a Attempt) relativeLatency() float64 {
	return a.FirstByte.Seconds() / (a.Expected + expectedSlack).Seconds()
}

// evaluate rejects the new version if the counts of all instances show that it is worse. The caller holds the lock.
func (r *Rollouts) evaluate(ro *rollout) {
	if ro.rejected {
		return
	}
	observed := ro.sumPaces()
	slower := observed.slower()
	if !slower && !ro.isWorse() {
		return
	}
	sum := ro.sum()
	ro.rejected = true
	r.counters.Inc("plumbarrow_rollout_distrusted_total")
	r.log.Warn("new version rejected", "service", ro.order.Service, "target", ro.order.Target, "new_answers", sum.newAnswers,
		"new_failures", sum.newFailures, "old_answers", sum.oldAnswers, "old_failures", sum.oldFailures,
		"slower", slower, "new_paces", observed.new.total(), "new_idle_paces", observed.newIdle.total())
}

// sum adds the counts of this instance and its peers.
func (ro *rollout) sum() tally {
	sum := ro.local
	for _, peer := range ro.peers {
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
	for service, ro := range r.byService {
		if ro.local == (tally{}) && !ro.rejected {
			continue
		}
		tally := &canarypb.Tally{
			Service: service, Order: ro.order.Revision, OrderEra: ro.order.Era,
			NewAnswers: ro.local.newAnswers, NewFailures: ro.local.newFailures,
			OldAnswers: ro.local.oldAnswers, OldFailures: ro.local.oldFailures, Rejected: ro.rejected,
			NewStarted: ro.local.newStarted, NewResponded: ro.local.newResponded,
		}
		if !ro.ended() {
			tally.OldPaces, tally.NewPaces, tally.NewIdlePaces = ro.paces.old[:], ro.paces.new[:], ro.paces.newIdle[:]
		}
		message.Tallies = append(message.Tallies, tally)
	}
	r.mu.Unlock()
	if len(message.Tallies) == 0 {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		r.log.Error("encoding tallies failed", "error", err)
		return nil
	}
	return data
}

// identifiedBy reports whether a tally is of the order. A sender of an earlier version states no era.
func (o *Order) identifiedBy(received *canarypb.Tally) bool {
	era := received.GetOrderEra()
	return o.Revision == received.GetOrder() && (era == 0 || era == o.Era)
}

// Receive implements link.Topic.
func (r *Rollouts) Receive(from machine.Member, data []byte) {
	message := &canarypb.Tallies{}
	if err := proto.Unmarshal(data, message); err != nil {
		r.log.Warn("decoding tallies failed", "peer", from.ID, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range message.GetTallies() {
		ro := r.byService[received.GetService()]
		if ro == nil || !ro.order.identifiedBy(received) {
			continue
		}
		ro.peers[from.ID] = tally{
			newAnswers: received.GetNewAnswers(), newFailures: received.GetNewFailures(),
			oldAnswers: received.GetOldAnswers(), oldFailures: received.GetOldFailures(),
			newStarted: received.GetNewStarted(), newResponded: received.GetNewResponded(),
		}
		peerPaces := &paces{}
		peerPaces.old.merge(received.GetOldPaces())
		peerPaces.new.merge(received.GetNewPaces())
		peerPaces.newIdle.merge(received.GetNewIdlePaces())
		ro.peerPaces[from.ID] = peerPaces
		if received.GetRejected() && !ro.rejected {
			// A large fleet exchanges tallies with a few members at a time, so that most instances know only a
			// part of the evidence.
			ro.rejected = true
			r.log.Warn("new version rejected by a peer", "service", ro.order.Service, "target", ro.order.Target, "peer", from.ID)
		}
		r.evaluate(ro)
	}
}
