package machine

import (
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

const (
	stepFactor   = 4                      // first byte this much later than usual is a step
	stepFloor    = 250 * time.Millisecond // shorter first bytes are never one
	stepRepeats  = 3                      // answers in a row that make a step
	stepSamples  = 16                     // answers before "usual" means anything
	lostRepeats  = 2                      // lost connections in a row that suggest a restart
	lostPause    = 100 * time.Millisecond // without new permits after a lost connection: a second one decides
	adaptDown    = 0.7                    // factor on a refusal for overload
	adaptUp      = 0.05                   // added with each completed request
	adaptFloor   = 0.1                    // smallest share of the slots
	adaptPause   = 500 * time.Millisecond // between two decreases: one batch of refusals is one event
	coldHalvings = 1                      // doublings taken back when a cold endpoint is overloaded
)

// stepDetector notices an endpoint that turned cold without saying so: a jump of its first byte
// latency while it is not busy, or connections lost in a row.
type stepDetector struct {
	samples int
	late    int
	lost    int
	// pausedUntil holds back new permits after a lost connection.
	pausedUntil time.Time
}

// latency takes in a first byte, given the usual one, and says whether it makes a step.
func (d *stepDetector) latency(firstByte, usual time.Duration, busy bool) bool {
	d.lost = 0
	d.samples++
	if d.samples <= stepSamples || busy || firstByte < stepFloor || firstByte < stepFactor*usual {
		d.late = 0
		return false
	}
	d.late++
	return d.late >= stepRepeats
}

// connectionLost takes in a lost connection and says whether it suggests a restart.
func (d *stepDetector) connectionLost(now time.Time) bool {
	d.lost++
	d.pausedUntil = now.Add(lostPause)
	return d.lost >= lostRepeats
}

// adaptive is the share of its slots that an instance uses: additive increase, multiplicative
// decrease on refusals for overload. Borrowed from TCP congestion control (Chiu and Jain, 1989).
type adaptive struct {
	share   float64
	lowered time.Time
}

func (a *adaptive) completed() { a.share = min(1, a.share+adaptUp) }

func (a *adaptive) overloaded(now time.Time) {
	if now.Sub(a.lowered) < adaptPause {
		return
	}
	a.lowered = now
	a.share = max(adaptFloor, a.share*adaptDown)
}

// observe takes in an attempt's result and says whether news of the endpoint is urgent. epoch is
// the one in which its permit was given.
func (t *tracked) observe(result Result, epoch uint32, now, readyAt time.Time) (urgent bool) {
	t.observeLoad(result, now)
	if result.Leaving && !t.warmth.leaving {
		t.warmth.leaving = true
		t.changedAt, t.saidAt = now, now
		urgent = true
	}
	if epoch != t.warmth.epoch {
		t.breaker.cancelled()
		return urgent
	}
	opened := false
	switch {
	case result.ConnectionRefused || blames(result.Failure):
		opened = t.breaker.done(true, now)
	case result.Completed:
		t.breaker.done(false, now)
	case result.Failure == verdict.RetryOverloaded:
		t.breaker.cancelled()
	default:
		t.breaker.cancelled()
		return urgent
	}
	progress, cold := t.coldAgain(result, opened, now)
	if cold {
		leaving := t.warmth.leaving
		t.cool(progress, result.ConnectionRefused, now, readyAt)
		t.warmth.leaving = leaving
		return true
	}
	if result.Completed {
		t.proof.completed(now)
		t.holds.completed++
		t.adaptive.completed()
		if t.home.self && t.warmth.progress < t.limits.complete() {
			t.warmth.progress++
			t.changedAt = now
		}
	}
	return urgent
}

// blames says whether a failure counts against the endpoint. A caller that left or a lost hedge
// does not; a refusal for overload lowers the limit instead.
func blames(failure verdict.Reason) bool {
	switch failure {
	case verdict.RetryNotSent, verdict.RetryConnection, verdict.RetrySilent, verdict.RetryUnavailable,
		verdict.RetryTruncated, verdict.RetryWrongVersion, verdict.RetryWrongAttempt, verdict.RetryServerError:
		return true
	}
	return false
}

func (t *tracked) observeLoad(result Result, now time.Time) {
	if result.Reported {
		t.endpoint.ReportedRunning = result.Running
		t.endpoint.ReportedQueued = result.Queued
		t.endpoint.ReportedAt = now
	}
}

// coldAgain says whether the result shows a cold start, and how far warmed up the endpoint is.
func (t *tracked) coldAgain(result Result, opened bool, now time.Time) (progress uint64, cold bool) {
	switch {
	case result.ConnectionRefused, opened:
		return 0, true
	case result.Restarted && t.warmth.progress > 0:
		return 0, true // the endpoint says it once a start; repeating it would keep it at the floor
	case result.Failure == verdict.RetryConnection && t.steps.connectionLost(now):
		return 0, true
	case result.Failure == verdict.RetryOverloaded && t.sharing():
		t.adaptive.overloaded(now)
		return 0, false
	case result.Failure == verdict.RetryOverloaded && t.warmth.progress > 0:
		back := min(t.warmth.progress, uint64(coldHalvings*t.limits.warmAfter))
		return t.warmth.progress - back, true
	case result.FirstByte > 0:
		busy := t.endpoint.ReportedQueued > 0 || t.endpoint.InFlight > t.home.slots/2
		step := t.sharing() && t.steps.latency(result.FirstByte, t.endpoint.Latency, busy)
		if t.steps.late == 0 {
			t.smoothLatency(result.FirstByte) // late answers do not change what is usual
		}
		return 0, step
	}
	return 0, false
}

func (t *tracked) smoothLatency(firstByte time.Duration) {
	if t.endpoint.Latency == 0 {
		t.endpoint.Latency = firstByte
		return
	}
	t.endpoint.Latency += time.Duration(smoothing * float64(firstByte-t.endpoint.Latency))
}
