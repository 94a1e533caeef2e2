// Package gateway serves callers on the users' platform: it forwards their requests to endpoints. The steps are
// the same for all protocols: route, authenticate, choose an endpoint, attempt, check, deliver, retry or resume.
// The decisions on retries and time limits are pure functions of the request's state. The package must not know
// the platform's headers and documents, which package platform handles. Package entry serves the project's own
// API instead.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/inflight"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// Upstreams chooses endpoints for requests.
type Upstreams interface {
	// Place reserves capacity at an endpoint. Without any it returns the reason and no grant.
	Place(need *upstream.Need) (*upstream.Grant, upstream.Blocked)
	// Wait queues a request until the service may have capacity, at most for the duration wait. It returns
	// false if ctx or the wait ended first.
	Wait(ctx context.Context, service string, priority int, arrived time.Time, wait time.Duration) bool
	// TurnedAwayFor returns how long it takes until an endpoint that is eligible for the request takes requests again.
	TurnedAwayFor(need *upstream.Need) time.Duration
	// Waiting returns the number of requests that wait in the service's queue.
	Waiting(service string) int
	// Alternative returns the expected time to a request's first event at a sound endpoint other than those to avoid, plus
	// penalties such as for another zone; false if none has capacity.
	Alternative(need *upstream.Need) (time.Duration, bool)
	// Expect returns the expected time to a request's first event at the endpoint that Place would choose now,
	// plus penalties such as for another zone; false if no endpoint has capacity.
	Expect(need *upstream.Need) (time.Duration, bool)
	// Forecast returns how long a request that begins to wait for the service now is expected to wait; false if that is not known.
	Forecast(service string, priority int) (time.Duration, bool)
	// Reachable reports whether this instance reaches any endpoint of the service, as far as it knows.
	Reachable(service string) bool
	// AnyReachable reports whether this instance reaches an endpoint of any service, as far as it knows.
	AnyReachable() bool
	// Explain returns where Place would send the request now, and why.
	Explain(need *upstream.Need) upstream.Placement
}

// Sender sends one request to one endpoint. Errors are *link.Failure.
type Sender interface {
	Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error)
}

// Versions chooses between the versions of a service during a roll-out.
type Versions interface {
	// Choose returns the version that the request may use. repeat reports that an earlier attempt may have run.
	Choose(service, session, request string, repeat bool) canary.Choice
	// Begin records the start of an attempt at a version. expected is the time to its first byte.
	Begin(service, version string, at canary.Circumstances, expected time.Duration) *canary.Trial
}

var (
	_ Upstreams = (*upstream.Table)(nil)
	_ Sender    = (*link.EndpointClient)(nil)
	_ Versions  = (*canary.Rollouts)(nil)
)

// Parts holds the dependencies of a server.
type Parts struct {
	Self             machine.Member
	CallerProtocol   CallerProtocol
	EndpointProtocol EndpointProtocol
	Current          *catalog.Current
	Upstreams        Upstreams
	Sender           Sender
	Versions         Versions
	// Relay passes requests to Members while this instance reaches no endpoint of their service. A nil Relay passes none.
	Relay   Relay
	Members machine.Members
	// Quarantine knows the prompt parts that crash endpoints.
	Quarantine *quarantine.Quarantine
	// RetryBudget is this instance's retry budget, kept per service.
	RetryBudget *decide.RetryBuckets
	// EscalationPolicy chooses the model to ask after a smaller model's answer was rejected.
	EscalationPolicy *EscalationPolicy
	// QueueGoalShare is the share of what a route's goal leaves beside the answer for which a request may be expected to wait for capacity.
	// Requests that would wait longer are refused at once. 0 admits all to the queue.
	QueueGoalShare float64
	Counters       *telemetry.Counters
	Log            *slog.Logger
}

// Server is the HTTP handler for callers' requests.
type Server struct {
	Parts
	inFlight       inflight.Tracker
	durations      inflight.Durations // of requests that endpoints ran, by route
	answerTimes    inflight.Durations // of attempts with complete answers, by route
	answerRests    inflight.Durations // of complete answers from their first byte on, by route
	streamsRefused atomic.Bool
	relayPeers     relayPeers
	relayedVersion atomic.Uint64 // the newest configuration with which a peer has answered for this instance
}

var _ http.Handler = (*Server)(nil)

// New returns a server that uses the given dependencies.
func New(parts Parts) *Server { return &Server{Parts: parts} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }

// serve answers a caller's request, or that of a peer, whose origin is not nil, and returns the verdict on it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, from *origin) verdict.Verdict {
	if s.inFlight.Start() {
		// A stopping instance still serves requests, but closes each connection after the answer.
		w.Header().Set("Connection", "close")
	}
	defer s.inFlight.End()
	f := &requestState{
		server: s, writer: w, request: r, account: intake.FromContext(r.Context()), arrived: time.Now(), verdict: verdict.NotRun,
		origin: from,
	}
	f.answer()
	// net/http writes the end of the answer; the write deadline of the last event may have passed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	return f.verdict
}

// answer serves the request. When it returns, the request is answered.
func (f *requestState) answer() {
	defer f.finishSafely()
	defer f.recovered()
	f.serve(f.request.Context())
}

// recovered turns a panic into a refusal, so that one faulty request does not stop the instance.
func (f *requestState) recovered() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	f.recordPanic(cause)
	f.verdict = verdict.Worst(f.verdict, verdict.MayHaveRun)
	f.refuse(verdict.Uncertain(verdict.Internal, "the request failed within the router"))
}

// finishSafely finishes the request. Its answer is written by then and must reach the caller even if the records of the request cannot be made.
func (f *requestState) finishSafely() {
	defer func() {
		if cause := recover(); cause != nil {
			f.recordPanic(cause)
		}
	}()
	f.finish()
}

func (f *requestState) recordPanic(cause any) {
	f.server.Counters.Inc("plumbarrow_panics_total")
	f.server.Log.Error("panic", "request_id", f.id(), "cause", fmt.Sprint(cause))
}
