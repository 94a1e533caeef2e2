package machine

import (
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

const (
	stepFactor       = 4                      // a first byte this many times the average is late
	stepFloor        = 250 * time.Millisecond // a first byte within this time is never late
	stepRepeats      = 3                      // late answers in a row that indicate a cold start
	stepSamples      = 16                     // answers before the average is used
	lostRepeats      = 2                      // lost connections in a row that indicate a restart
	lostPause        = 100 * time.Millisecond // without new permits after a lost connection, until a second one can confirm a restart
	decreaseFactor   = 0.7                    // of the share, on a refusal for overload
	increaseStep     = 0.05                   // of the share, with each completed request
	minSlotShare     = 0.1                    // smallest share of the slots
	decreaseInterval = 500 * time.Millisecond // between two decreases: one batch of refusals counts once
	overloadHalvings = 1                      // of the limit, when a cold endpoint refuses for overload
)

// restartDetector detects an endpoint that turned cold without reporting it, by a step in its time
// to first byte while it is not busy, or by lost connections in a row.
type restartDetector struct {
	samples    int
	lateStreak int
	lostStreak int
	// pausedUntil delays new permits after a lost connection.
	pausedUntil time.Time
}

// observeFirstByte records a time to first byte and reports whether it completes a step from the
// average.
func (d *restartDetector) observeFirstByte(firstByte, average time.Duration, busy bool) bool {
	d.lostStreak = 0
	d.samples++
	if d.samples <= stepSamples || busy || firstByte < stepFloor || firstByte < stepFactor*average {
		d.lateStreak = 0
		return false
	}
	d.lateStreak++
	return d.lateStreak >= stepRepeats
}

// observeLostConnection records a lost connection and reports whether it indicates a restart.
func (d *restartDetector) observeLostConnection(now time.Time) bool {
	d.lostStreak++
	d.pausedUntil = now.Add(lostPause)
	return d.lostStreak >= lostRepeats
}

// aimd adapts the share of its slots that an instance uses by additive increase and multiplicative
// decrease on refusals for overload, as TCP congestion control does (Chiu and Jain, 1989).
type aimd struct {
	share     float64
	loweredAt time.Time
}

func (a *aimd) completed() { a.share = min(1, a.share+increaseStep) }

func (a *aimd) overloaded(now time.Time) {
	if now.Sub(a.loweredAt) < decreaseInterval {
		return
	}
	a.loweredAt = now
	a.share = max(minSlotShare, a.share*decreaseFactor)
}

// observe applies the result of an attempt and reports whether it changed the endpoint's state so
// that the other instances need it at once. epoch is the one in which the permit was granted; of a
// result from an earlier epoch only the load and Leaving count.
func (t *trackedEndpoint) observe(result Result, epoch uint32, now, earliestGrant time.Time) (urgent bool) {
	t.observeLoad(result, now)
	if result.Leaving && !t.replicated.leaving {
		t.replicated.leaving = true
		t.changedAt, t.leavingReportedAt = now, now
		urgent = true
	}
	if epoch != t.replicated.epoch {
		t.breaker.cancelled()
		return urgent
	}
	opened := false
	switch {
	case result.ConnectionRefused || countsAsFailure(result.Failure):
		opened = t.breaker.done(true, now)
	case result.Completed:
		t.breaker.done(false, now)
	case result.Failure == verdict.RetryOverloaded:
		t.breaker.cancelled()
	default:
		t.breaker.cancelled()
		return urgent
	}
	progress, cold := t.detectColdStart(result, opened, now)
	if cold {
		leaving := t.replicated.leaving
		t.startEpoch(progress, result.ConnectionRefused, now, earliestGrant)
		t.replicated.leaving = leaving
		return true
	}
	if result.Completed {
		t.confirmation.recordAnswer(now)
		t.local.completed++
		t.aimd.completed()
		if t.home.isSelf && t.replicated.progress < t.limits.fullProgress() {
			t.replicated.progress++
			t.changedAt = now
		}
	}
	return urgent
}

// countsAsFailure reports whether a failure counts against the health of the endpoint. An attempt
// whose caller left or that lost a hedge does not; a refusal for overload lowers the limit instead.
func countsAsFailure(failure verdict.Reason) bool {
	switch failure {
	case verdict.RetryNotSent, verdict.RetryConnection, verdict.RetrySilent, verdict.RetryUnavailable,
		verdict.RetryTruncated, verdict.RetryWrongVersion, verdict.RetryWrongAttempt, verdict.RetryServerError:
		return true
	}
	return false
}

func (t *trackedEndpoint) observeLoad(result Result, now time.Time) {
	if result.LoadReported {
		t.endpoint.ReportedRunning = result.Running
		t.endpoint.ReportedQueued = result.Queued
		t.endpoint.ReportedAt = now
	}
}

// detectColdStart reports whether the result indicates a cold start, and the progress from which
// the endpoint warms up again.
func (t *trackedEndpoint) detectColdStart(result Result, opened bool, now time.Time) (progress uint64, cold bool) {
	switch {
	case result.ConnectionRefused, opened:
		return 0, true
	case result.Restarted && t.replicated.progress > 0:
		return 0, true // reported once per start; a repeated report would keep the endpoint at its lowest limit
	case result.Failure == verdict.RetryConnection && t.restarts.observeLostConnection(now):
		return 0, true
	case result.Failure == verdict.RetryOverloaded && t.usesOwnSlots():
		t.aimd.overloaded(now)
		return 0, false
	case result.Failure == verdict.RetryOverloaded && t.replicated.progress > 0:
		back := min(t.replicated.progress, uint64(overloadHalvings*t.limits.warmAfter))
		return t.replicated.progress - back, true
	case result.FirstByte > 0:
		busy := t.endpoint.ReportedQueued > 0 || t.endpoint.InFlight > t.home.slots/2
		step := t.usesOwnSlots() && t.restarts.observeFirstByte(result.FirstByte, t.endpoint.Latency, busy)
		if t.restarts.lateStreak == 0 {
			t.smoothLatency(result.FirstByte) // late answers are left out of the average
		}
		return 0, step
	}
	return 0, false
}

func (t *trackedEndpoint) smoothLatency(firstByte time.Duration) {
	if t.endpoint.Latency == 0 {
		t.endpoint.Latency = firstByte
		return
	}
	t.endpoint.Latency += time.Duration(ewmaWeight * float64(firstByte-t.endpoint.Latency))
}
