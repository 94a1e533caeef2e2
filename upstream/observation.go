package upstream

import (
	"time"

	"plumbarrow.example/plumbarrow/upstream/upstreampb"
)

const (
	// statementTTL is how long an endpoint's statement of its load counts: about as long as a request lasts, and several exchange
	// intervals.
	statementTTL = 2 * time.Second
	// maxStated is the largest number of requests that a statement may name. More is taken for an error.
	maxStated = 1 << 16
	// minMeasured is the least expected time against which a measured pace is taken. Below it the time of the network counts most.
	minMeasured = 20 * time.Millisecond
)

// statement is what an endpoint's answer states of the endpoint's load.
type statement struct {
	running, waiting int // requests of all instances
	// pace is how long work takes at the endpoint against the usual, 1; 0 if it is not known. If measured is set, this instance or a peer
	// has estimated it from one answer.
	pace     float64
	measured bool
	at       time.Time // of the answer; zero without any
}

func (s statement) counts(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) < statementTTL }

// valid reports whether an endpoint can have stated this.
func (s statement) valid() bool {
	return s.running >= 0 && s.running <= maxStated && s.waiting >= 0 && s.waiting <= maxStated
}

// message returns the statement as it is sent to peers; nil if it does not count any more.
func (s statement) message(now time.Time) *upstreampb.Statement {
	if !s.counts(now) {
		return nil
	}
	return &upstreampb.Statement{
		Running: uint32(s.running), Waiting: uint32(s.waiting), Pace: uint32(s.pace * 100), PaceMeasured: s.measured,
		AgeMs: uint32(now.Sub(s.at).Milliseconds()),
	}
}

func receivedStatement(message *upstreampb.Statement, now time.Time) statement {
	return statement{
		running: int(message.GetRunning()), waiting: int(message.GetWaiting()), pace: float64(message.GetPace()) / 100,
		measured: message.GetPaceMeasured(), at: now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
	}
}

// observe takes a statement into account unless a newer one is known. The caller holds the lock.
func (e *Endpoint) observe(s statement) {
	if !s.valid() || !s.at.After(e.stated.at) {
		return
	}
	e.stated, e.ownAtStated = s, e.ownLoad.requests
	e.pace.observe(s)
}

// statedRequests returns the number of requests at the endpoint by its newest statement: those it stated, plus those that this instance
// has sent since, minus those that have ended. It is 0 without a statement that counts. The caller holds the lock.
func (e *Endpoint) statedRequests(now time.Time) int {
	if !e.stated.counts(now) {
		return 0
	}
	return max(e.stated.running+e.stated.waiting+e.ownLoad.requests-e.ownAtStated, 0)
}

// RecordStatement records what an endpoint's answer states of its load: requests running and waiting, and the pace, 0 if it states none.
// ran reports that the endpoint has begun to run the request; the time until then is learned from.
func (g *Grant) RecordStatement(running, waiting int, pace float64, ran bool) {
	s := statement{running: running, waiting: waiting, pace: pace, at: time.Now()}
	g.table.notePace(g.Report.Service, s)
	if !g.table.usesStatedLoads(g.Report.Service) {
		return
	}
	e := g.Endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.valid() || e.report.incarnation() != g.Report.incarnation() {
		return
	}
	if ran {
		g.observeResponseTime(&s)
	}
	e.observe(s)
	e.ownStated = s
}

// observeResponseTime learns from the time to the answer with the statement. Where the endpoint states no pace, it sets the measured one.
// The caller holds the endpoint's lock.
func (g *Grant) observeResponseTime(s *statement) {
	times := &g.table.responseTimes
	elapsed := s.at.Sub(g.startedAt)
	mean := g.Endpoint.pace.mean(s.at)
	if s.pace == 0 {
		usual := times.of(g.Report.Service, g.model).expected(g.conditions)
		s.pace, s.measured = elapsed.Seconds()/max(usual, minMeasured).Seconds(), true
	}
	times.observe(g.Report.Service, g.model, g.conditions, time.Duration(float64(elapsed)/mean))
}
