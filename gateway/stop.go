package gateway

import (
	"time"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/verdict"
)

// stoppingRetryAfter is the Retry-After of refusals by a stopping instance. It is short, because other
// instances can serve the caller at once.
const stoppingRetryAfter = 50 * time.Millisecond

// Stop begins a planned stop: each keep-alive connection is closed with its next answer, and requests that are not
// expected to finish before the given time are refused.
func (s *Server) Stop(ends time.Time) { s.inFlight.Stop(ends) }

// RefuseStreams refuses new streams from now on. Once its header is sent, a stream that outlasts the stop can only
// be cut off.
func (s *Server) RefuseStreams() { s.streamsRefused.Store(true) }

// Finish waits until no request has been in progress for the quiet time and refuses those that arrive later. At the deadline it answers
// the requests in progress whose answer has not begun, with a verdict on whether they have run, within answerTime. It returns false if
// there were any.
func (s *Server) Finish(deadline time.Time, quiet, answerTime time.Duration) bool {
	return s.inFlight.Finish(deadline, quiet, answerTime)
}

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.inFlight.Stopping() }

// finishesInTime reports whether the request can be answered before the end of a planned stop, if one is in progress. expected is the
// time to the first byte of its answer, as far as that is known.
func (f *requestState) finishesInTime(expected time.Duration) bool {
	if !f.server.inFlight.Stopping() {
		return true
	}
	if f.route.Kind == catalog.Streaming && f.runs == 0 && f.server.streamsRefused.Load() {
		return false
	}
	recent, known := f.server.durations.High(f.route.Name)
	if !known {
		recent = f.deadline.Sub(f.arrived)
	}
	rest, _ := f.server.answerRests.High(f.route.Name)
	return f.server.inFlight.LeavesTime(f.deadline, max(expected+rest, recent))
}

// timeLimit returns the time until which endpoints may work on the request: its deadline, or the end of a planned stop if that is
// earlier.
func (f *requestState) timeLimit() time.Time {
	if ends, stopping := f.server.inFlight.Ends(); stopping && ends.Before(f.deadline) {
		return ends
	}
	return f.deadline
}

// stoppingRefusal returns the refusal of a request that a planned stop leaves no time for.
func stoppingRefusal() *verdict.Refusal {
	refusal := verdict.Refuse(verdict.Stopping, "this instance is about to stop")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}
