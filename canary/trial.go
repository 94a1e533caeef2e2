package canary

import "time"

// Trial is an attempt at an endpoint whose outcome counts as evidence on its version. An attempt at a version on
// trial counts as slow as soon as its answer is overdue, before it arrives: a version that is many times slower than
// the old one would otherwise get a great number of requests until the first answer shows it. The zero Trial counts
// nothing. Not safe for concurrent use.
type Trial struct {
	observer         Observer
	service, version string
	at               Circumstances
	statedLoad       int
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
func NewTrial(observer Observer, service, version string, at Circumstances, expected time.Duration) *Trial {
	return &Trial{observer: observer, service: service, version: version, at: at, expected: expected, idle: at.Load <= idleLoad}
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

// RecordLoad records the number of requests that the endpoint states with its answer, this one included.
func (t *Trial) RecordLoad(requests int) { t.statedLoad = max(requests-1, 0) }

// End records the attempt's outcome: a complete answer, or a failure that the endpoint answered.
func (t *Trial) End(failed bool) {
	if !failed {
		t.reportPace()
	}
	if t.observer == nil {
		return
	}
	overdue := t.pending != nil && !t.pending.settle()
	t.observer.Observe(t.service, t.version, Attempt{
		Circumstances: t.at, Failed: failed, Overdue: overdue, StatedLoad: t.statedLoad, FirstByte: t.firstByte, Expected: t.expected,
	})
}

// Cancel ends the trial of an attempt whose outcome is no evidence. It has no effect after End.
func (t *Trial) Cancel() {
	if t.pending != nil {
		t.pending.settle()
	}
}

// pendingAttempt is an attempt at a version on trial. Its answer counts as slow once it is overdue. The lock of
// the roll-outs guards it.
type pendingAttempt struct {
	rollouts *Rollouts
	rollout  *rollout
	at       Circumstances
	overdue  *time.Timer // nil if it is unknown when the answer is overdue
	waiting  bool        // neither answered nor ended
	settled  bool        // counted, or not to be counted
}

// Begin records the start of an attempt. expected is the time that the endpoint's queued work and the request's prompt
// are expected to take.
func (r *Rollouts) Begin(service, version string, at Circumstances, expected time.Duration) *Trial {
	trial := NewTrial(r, service, version, at, expected)
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.ended() {
		return trial
	}
	trial.at.phase, trial.at.slowAfter = ro.stage.phase(), ro.slowAfter(expected)
	if version != ro.order.Target {
		return trial
	}
	ro.local.newStarted++
	pending := &pendingAttempt{rollouts: r, rollout: ro, at: trial.at, waiting: true}
	if trial.at.slowAfter > 0 {
		pending.overdue = time.AfterFunc(trial.at.slowAfter, pending.countOverdue)
	}
	trial.pending = pending
	return trial
}

// countOverdue counts the attempt's answer as slow.
func (p *pendingAttempt) countOverdue() {
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	if p.settled || !p.waiting || p.rollout.ended() {
		return
	}
	p.settled = true
	p.rollout.countFirstByte(p.at, true, true, false)
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

// settle ends the attempt and reports whether its first byte is still to be counted.
func (p *pendingAttempt) settle() bool {
	p.respond()
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	counted := p.settled
	p.settled = true
	return !counted
}
