package machine

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// Result is what one attempt showed of its endpoint.
type Result struct {
	// Completed says that the endpoint sent a whole answer.
	Completed bool
	// Failure is the retry reason of a failed attempt; empty for none.
	Failure verdict.Reason
	// ConnectionRefused says that nothing listened at the endpoint's address.
	ConnectionRefused bool
	// Leaving and Restarted are the endpoint's own word, given in answer headers.
	Leaving   bool
	Restarted bool
	// Running and Queued are the load in the answer's headers; Reported says that it had any.
	Reported        bool
	Running, Queued int
	// FirstByte is the time to the answer's header; 0 if none came.
	FirstByte time.Duration
}

// Permit is the right to have one request in flight at an endpoint. Done is called exactly once.
type Permit interface {
	Done(result Result)
}

// Permits hands out permits so that all entry instances of a zone together respect an endpoint's
// limit.
type Permits interface {
	// Acquire takes a permit without waiting for others to end. The refusal has the verdict
	// NotRun and the reason permit_lost or endpoint_unavailable.
	Acquire(ctx context.Context, endpoint *Endpoint) (Permit, *verdict.Refusal)
}

// Queue holds back requests while their pool is full, by priority, then by deadline.
type Queue interface {
	// Wait returns nil when the pool may have room again. Refusals, all NotRun: queue_full,
	// queue_timeout, shed_overload, deadline_exceeded, caller_gone.
	Wait(ctx context.Context, pool string, priority int, deadline time.Time) *verdict.Refusal
}
