// Package gateway carries callers' requests to endpoints. The flow of a request is the same for all
// protocols: route, authenticate, place, attempt, check, deliver, retry or resume. Decisions are pure
// functions over what is known at the moment; attempts run at the edge.
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
	"plumbarrow.example/plumbarrow/internal/flights"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// Upstreams places requests at endpoints.
type Upstreams interface {
	Place(need *upstream.Need) (*upstream.Grant, upstream.Blocked)
	// Wait returns true when the service may have a place.
	Wait(ctx context.Context, service string, priority int, arrived time.Time, wait time.Duration) bool
	Waiting(service string) int
	// Expect returns the shortest expected time to a request's first event; false without a place.
	Expect(need *upstream.Need) (time.Duration, bool)
}

// Sender sends one request to one endpoint. Errors are *link.Failure.
type Sender interface {
	Send(ctx context.Context, out *link.Outgoing) (*link.Incoming, error)
}

// Versions chooses between the versions of a service during a roll-out.
type Versions interface {
	// Choose returns the version that the request may use.
	Choose(service, session, request string) canary.Choice
	// Observe takes the outcome of an attempt.
	Observe(service, version string, attempt canary.Attempt)
}

var (
	_ Upstreams = (*upstream.Table)(nil)
	_ Sender    = (*link.Wire)(nil)
	_ Versions  = (*canary.Rollouts)(nil)
)

// Parts are what a server works with.
type Parts struct {
	Self      machine.Member
	Callers   CallerProtocol
	Endpoints EndpointProtocol
	Current   *catalog.Current
	Upstreams Upstreams
	Sender    Sender
	Versions  Versions
	// Retries are the repeats that this instance may send, by service.
	Retries *decide.Allowance
	// Ladder is what is known of models that are asked after a smaller one.
	Ladder   *Ladder
	Counters *telemetry.Counters
	Log      *slog.Logger
}

// Server serves callers.
type Server struct {
	Parts
	flights flights.Flights
	closing atomic.Int32 // a Closing
}

var _ http.Handler = (*Server)(nil)

// New returns a server.
func New(parts Parts) *Server { return &Server{Parts: parts} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.flights.Start() {
		// A stopping instance serves what arrives and takes the connection out of use.
		w.Header().Set("Connection", "close")
	}
	defer s.flights.End()
	f := &flow{server: s, writer: w, request: r, arrived: time.Now(), outcome: verdict.NotRun}
	defer f.finish()
	defer f.recovered()
	f.serve(r.Context())
}

// recovered turns a panic into a refusal, so that one faulty request does not stop the instance.
func (f *flow) recovered() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	f.server.Log.Error("panic", "request_id", f.id(), "cause", fmt.Sprint(cause))
	f.outcome = verdict.Worst(f.outcome, verdict.MayHaveRun)
	f.refuse(verdict.Uncertain(verdict.Internal, "the request failed within the router"))
}

// Stop takes the instance out of service: kept connections are closed with their next answer.
func (s *Server) Stop() { s.flights.Stop() }

// Closing says what a stopping instance still takes.
type Closing int32

// Stages of a planned stop.
const (
	// Open takes everything.
	Open Closing = iota
	// ClosedToStreams refuses streams, which the remaining time may not suffice for.
	ClosedToStreams
	// ClosedToAll refuses everything.
	ClosedToAll
)

// Close sets what the instance still takes.
func (s *Server) Close(closing Closing) { s.closing.Store(int32(closing)) }

// takes says whether the instance still takes requests of the route.
func (s *Server) takes(route *catalog.Route) bool {
	switch Closing(s.closing.Load()) {
	case Open:
		return true
	case ClosedToStreams:
		return route.Kind != catalog.Streaming
	default:
		return false
	}
}

// Stopping says whether Stop was called.
func (s *Server) Stopping() bool { return s.flights.Stopping() }

// Drain returns once no request has been in progress for the quiet time, or when ctx ends.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) error {
	return s.flights.Drain(ctx, quiet)
}
