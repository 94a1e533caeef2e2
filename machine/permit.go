package machine

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// Result is the outcome of one attempt at an endpoint.
type Result struct {
	// Completed is set if the endpoint sent a complete answer.
	Completed bool
	// Failure is the retry reason of a failed attempt; empty for none.
	Failure verdict.Reason
	// ConnectionRefused is set if nothing listened at the endpoint's address.
	ConnectionRefused bool
	// Leaving and Restarted are reported by the endpoint in response headers.
	Leaving   bool
	Restarted bool
	// Running and Queued are the load given in the response headers; LoadReported is set if there
	// was any.
	LoadReported    bool
	Running, Queued int
	// FirstByte is the time to the response header; 0 if none came.
	FirstByte time.Duration
}

// Permit is the right to have one request in flight at an endpoint. Done is called exactly once.
type Permit interface {
	Done(result Result)
}

// Permits grants permits so that all entry instances of a zone together stay within the limit of an
// endpoint.
type Permits interface {
	// Acquire takes a permit without waiting for other requests to end; it may call the endpoint's
	// home, for at most Settings.PermitTimeoutMS. The refusal has the verdict NotRun and the reason
	// permit_lost or endpoint_unavailable.
	Acquire(ctx context.Context, endpoint *Endpoint) (Permit, *verdict.Refusal)
}

// Queue holds back requests while their pool is full, by priority, then by deadline.
type Queue interface {
	// Wait returns nil when the pool may have a free permit again. Requests of higher priority are
	// woken first. Refusals, all NotRun: queue_full, queue_timeout, shed_overload,
	// deadline_exceeded, caller_gone.
	Wait(ctx context.Context, pool string, priority int, deadline time.Time) *verdict.Refusal
}
