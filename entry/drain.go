package entry

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/inflight"
	"plumbarrow.example/plumbarrow/verdict"
)

// Ready reports whether the load balancer should send requests to this instance: a configuration is
// in force, the zone is in service and the instance is not stopping.
func (s *Server) Ready() bool {
	snapshot := s.Source.Current()
	return !s.inFlight.Stopping() && snapshot != nil && snapshot.ZoneInService(s.Self.Zone)
}

// Stop begins a planned stop that ends at the given time. It makes Ready false at once. Requests that
// still arrive are served if they are expected to finish in time, else refused; their answers close the
// connection, so that the caller's next request opens a new one.
func (s *Server) Stop(ends time.Time) { s.inFlight.Stop(ends) }

// Finish waits until no request has been in progress for Settings.QuietMS and refuses those that arrive later. Requests in progress at the
// deadline are answered with the verdict on their execution, within answerTime; Finish returns false if there were any. The listener must
// stay open meanwhile, so that requests on kept-alive connections are answered.
//
// Order of a planned stop: Stop, wait until the load balancer has seen that Ready is false, Finish, http.Server.Shutdown, flush bills and
// claims, leave the membership.
func (s *Server) Finish(deadline time.Time, answerTime time.Duration) bool {
	return s.inFlight.Finish(deadline, s.Settings.quiet(), answerTime)
}

// checkStop returns the refusal of a request that a planned stop leaves no time for, else nil.
func (s *Server) checkStop(request *decide.Request) *verdict.Refusal {
	recent, known := s.durations.High(request.Route.Name)
	if !known {
		recent = request.Route.Deadline()
	}
	if s.inFlight.LeavesTime(time.Now().Add(recent), recent) {
		return nil
	}
	return verdict.Refuse(verdict.Stopping, "this instance is about to stop")
}

// cancelled returns the refusal of a request whose ctx has ended, with the verdict of its attempts.
func cancelled(ctx context.Context, attempts verdict.Verdict) *verdict.Refusal {
	switch {
	case !inflight.EndedWithStop(ctx):
		return &verdict.Refusal{Verdict: attempts, Reason: verdict.CallerGone, Detail: "the caller left"}
	case attempts == verdict.NotRun:
		return verdict.Refuse(verdict.Stopping, "this instance is about to stop")
	default:
		return &verdict.Refusal{Verdict: attempts, Reason: verdict.UpstreamTruncated, Detail: "this instance stopped before the answer was complete"}
	}
}
