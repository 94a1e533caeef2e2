package canary

import "time"

// Trial is an attempt at an endpoint whose outcome counts as evidence on its version. An attempt at a version on
// trial counts as slow as soon as its answer is overdue, before it arrives: a version that is many times slower than
// the old one would otherwise get a great number of requests until the first answer shows it. The zero Trial counts
// nothing. Not safe for concurrent use.
type Trial struct {
	observer         Observer
	service, version string
	expected         time.Duration
	firstByte        time.Duration
	idle             bool      // the endpoint had hardly any other requests
	firstEventAt     time.Time // zero before the first event
	lastEventAt      time.Time
	events           int
	paced            bool            // the pace has been reported
	pending          *pendingAttempt // nil if the version is not on trial
}

// Observer receives the outcomes of attempts.
type Observer interface {
	Observe(service, version string, attempt Attempt)
	ObservePace(service, version string, pace time.Duration, idle bool)
}

var _ Observer = (*Rollouts)(nil)

// NewTrial returns a trial that reports its outcome to the observer.
func NewTrial(observer Observer, service, version string, expected time.Duration) *Trial {
	return &Trial{observer: observer, service: service, version: version, expected: expected}
}

// RecordFirstByte records the time to the answer's first byte.
func (t *Trial) RecordFirstByte(took time.Duration) {
	t.firstByte = took
	if t.pending != nil {
		t.pending.respond()
	}
}

// RecordEvents records that a number of events of a stream have arrived.
func (t *Trial) RecordEvents(count int) {
	t.lastEventAt = time.Now()
	if t.events == 0 {
		t.firstEventAt = t.lastEventAt
	}
	t.events += count
	if t.events >= paceEvents {
		t.reportPace()
	}
}

// reportPace reports the pace of the stream once, if it is known.
func (t *Trial) reportPace() {
	if t.observer == nil || t.paced || t.events < 2 || t.lastEventAt.Equal(t.firstEventAt) {
		return
	}
	t.paced = true
	t.observer.ObservePace(t.service, t.version, t.lastEventAt.Sub(t.firstEventAt)/time.Duration(t.events-1), t.idle)
}

// End records the attempt's outcome: a complete answer, or a failure that the endpoint answered.
func (t *Trial) End(failed bool) {
	if !failed {
		t.reportPace()
	}
	if t.observer == nil || t.pending != nil && !t.pending.settle() {
		return
	}
	t.observer.Observe(t.service, t.version, Attempt{Failed: failed, FirstByte: t.firstByte, Expected: t.expected})
}

// Cancel ends the trial of an attempt whose outcome is no evidence. It has no effect after End.
func (t *Trial) Cancel() {
	if t.pending != nil {
		t.pending.settle()
	}
}

// pendingAttempt is an attempt at a version on trial. It counts as a failure once its answer is overdue. The lock of
// the roll-outs guards it.
type pendingAttempt struct {
	rollouts *Rollouts
	rollout  *rollout
	overdue  *time.Timer // nil if it is unknown when the answer is overdue
	waiting  bool        // neither answered nor ended
	settled  bool        // counted, or not to be counted
}

// Begin records the start of an attempt. expected is the time that the endpoint's queued work and the request's prompt
// are expected to take, load the number of other requests at the endpoint.
func (r *Rollouts) Begin(service, version string, expected time.Duration, load int) *Trial {
	trial := NewTrial(r, service, version, expected)
	trial.idle = load <= idleLoad
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || version != ro.order.Target || ro.ended() {
		return trial
	}
	ro.local.newStarted++
	pending := &pendingAttempt{rollouts: r, rollout: ro, waiting: true}
	if ro.oldLatency.set {
		pending.overdue = time.AfterFunc(ro.slowAfter(expected), pending.countOverdue)
	}
	trial.pending = pending
	return trial
}

// countOverdue counts the attempt as a failure.
func (p *pendingAttempt) countOverdue() {
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	if p.settled || !p.waiting || p.rollout.ended() {
		return
	}
	p.settled = true
	p.rollout.local.newAnswers++
	p.rollout.local.newFailures++
	p.rollouts.evaluate(p.rollout)
}

// respond records that the attempt no longer waits for its answer.
func (p *pendingAttempt) respond() {
	if p.overdue != nil {
		p.overdue.Stop()
	}
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	if p.waiting {
		p.waiting = false
		p.rollout.local.newResponded++
	}
}

// settle ends the attempt and reports whether it is still to be counted.
func (p *pendingAttempt) settle() bool {
	p.respond()
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	counted := p.settled
	p.settled = true
	return !counted
}
