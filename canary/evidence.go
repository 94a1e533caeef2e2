package canary

import (
	"time"

	"plumbarrow.example/plumbarrow/internal/logspace"
)

const (
	// An answer counts as slow if its first byte takes at least slowMin and its relative latency exceeds
	// slowFactor times the old version's mean. The relative latency is the time to the first byte divided by the
	// expected time, which includes the uncached part of the prompt and the work queued before it, at the speed
	// measured over both versions. So neither the empty caches of a new version nor a rise of traffic count
	// against it. One in ten answers of a sound version takes twice the mean.
	slowFactor = 2.5
	slowMin    = 150 * time.Millisecond
	// stressFactor replaces slowFactor in the stress stage of a service of streams.
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

// logEvidence returns the logarithm of the evidence of all instances that the new version is worse, either since the start of the roll-out
// or in the present stage alone. The latter keeps earlier answers from outweighing a fault that came later.
func (ro *rollout) logEvidence() float64 {
	return logspace.MeanExp(ro.total.evidence(canaryPhase), ro.total.evidence(ro.stage.phase()))
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
	isNew := version == ro.order.Target
	if !attempt.Overdue {
		ro.countFirstByte(attempt.Circumstances, isNew, attempt.slow(), attempt.Failed)
	}
	ro.countAnswer(attempt, isNew)
	if isNew {
		r.evaluate(ro)
		return
	}
	if !attempt.Failed {
		ro.oldLatency.add(attempt.relativeLatency())
	}
}

// countFirstByte counts an attempt at the new or the old version whose first byte came or is overdue. In the stress stage of a service of streams
// the times are no evidence: uncached prompts that reach a few endpoints at once delay each other.
func (ro *rollout) countFirstByte(at Circumstances, isNew, slow, failed bool) {
	outcome := counts{timed: 1}
	if slow {
		outcome.slow = 1
	}
	bad := uint32(0)
	if slow || failed {
		bad = 1
	}
	if isNew {
		ro.local.newAnswers++
		ro.local.newFailures += bad
	} else {
		ro.local.oldAnswers++
		ro.local.oldFailures += bad
	}
	if isNew && ro.paced && at.phase == stressPhase {
		return
	}
	ro.addSample(&at, at.Load, isNew, outcome)
}

// countAnswer counts a complete answer of the new or the old version, or a failure.
func (ro *rollout) countAnswer(attempt Attempt, isNew bool) {
	outcome := counts{answers: 1}
	if attempt.Failed {
		outcome.failures = 1
	}
	ro.addSample(&attempt.Circumstances, max(attempt.Load, attempt.StatedLoad), isNew, outcome)
}

// addSample counts an outcome beside other requests at the endpoint. The outcome of a repeat depends on that of the attempt before and is no evidence.
func (ro *rollout) addSample(at *Circumstances, others int, isNew bool, outcome counts) {
	if at.Repeat {
		return
	}
	in := stratum{route: hashRoute(at.Route), load: loadClass(others, at.Slots)}
	if isNew {
		in.phase = at.phase
	}
	ro.samples.add(in, isNew, outcome)
	ro.total.add(in, isNew, outcome)
}

// slowAfter returns the time to the first byte from which an answer counts as slow; 0 until the old version has answered.
func (ro *rollout) slowAfter(expected time.Duration) time.Duration {
	if !ro.oldLatency.set {
		return 0
	}
	factor := slowFactor
	if ro.underStress() && ro.paced {
		factor = stressFactor
	}
	return max(slowMin, time.Duration(factor*ro.oldLatency.value*float64(expected+expectedSlack)))
}

// Circumstances are what the outcome of an attempt at an endpoint may depend on, beside the version.
type Circumstances struct {
	Route string
	// Load is the number of other requests at the endpoint when the attempt began, Slots the number that it serves at once.
	Load, Slots int
	// Repeat reports that an earlier attempt of the same request may have run.
	Repeat bool

	phase     phase
	slowAfter time.Duration // see rollout.slowAfter; 0 if it is unknown
}

// Attempt is the outcome of one attempt at a version.
type Attempt struct {
	Circumstances
	Failed bool
	// Overdue reports that the attempt was counted as slow before its first byte came.
	Overdue bool
	// StatedLoad is the number of other requests that the endpoint stated with its answer; 0 without a statement.
	StatedLoad int
	// FirstByte is the time to the answer's first byte. Expected is the time that the endpoint's queued work and
	// the request's prompt were expected to take.
	FirstByte time.Duration
	Expected  time.Duration
}

// slow reports whether the answer's relative latency is much higher than the old version's mean.
func (a Attempt) slow() bool { return a.slowAfter > 0 && a.FirstByte > a.slowAfter }

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
	slower, evidence := observed.slower(), ro.logEvidence()
	if !slower && evidence < rejectAt {
		return
	}
	sum := ro.sum()
	ro.rejected = true
	r.counters.Inc("plumbarrow_rollout_distrusted_total")
	r.log.Warn("new version rejected", "service", ro.order.Service, "target", ro.order.Target, "new_answers", sum.newAnswers,
		"new_failures", sum.newFailures, "old_answers", sum.oldAnswers, "old_failures", sum.oldFailures, "evidence", evidence,
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

// sumSamples adds the samples of this instance and its peers.
func (ro *rollout) sumSamples() {
	ro.total = make(samples, len(ro.samples))
	ro.total.merge(ro.samples)
	for _, peer := range ro.peerSamples {
		ro.total.merge(peer)
	}
}
