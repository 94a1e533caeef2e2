package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// requestState is the state of one request while this instance serves it, over all its attempts. It
// is not safe for concurrent use.
type requestState struct {
	server   *Server
	snapshot *contract.Snapshot
	request  *decide.Request
	key      string // the caller's API key; empty for a forwarded request, whose customer a peer has authenticated
	session  *session
	record   *Record
	random   *rand.Rand

	lines               []ledger.BillLine
	worstVerdict        verdict.Verdict      // worst verdict of all attempts so far
	excluded            []machine.EndpointID // endpoints that failed this request
	unsent              int                  // attempts that did not reach their endpoint
	firstAttemptCounted bool                 // the retry budget has counted the request
	// queueDeadline is the common deadline of all waits in queues; zero before the first wait.
	queueDeadline time.Time
	newConnection bool // the next attempt needs a new connection
	zoneBound     bool // claimed, billed or begun in this zone, so it must not be forwarded
	resume        *resumePoint
}

// resumePoint is the position from which the next attempt resumes a broken stream.
type resumePoint struct {
	attemptID string // of the stream's first attempt
	events    int    // events received so far
	version   contract.VersionID
}

func (s *Server) newRequestState(c echo.Context, snapshot *contract.Snapshot, request *decide.Request, session *session) *requestState {
	record := &exchangeOf(c).record
	record.Route = request.Route.Name
	return &requestState{
		server:       s,
		snapshot:     snapshot,
		request:      request,
		key:          apiKey(c),
		session:      session,
		record:       record,
		random:       s.random(),
		worstVerdict: verdict.NotRun,
	}
}

// refresh switches the request to the configuration now in force. A request that it does not allow any more keeps the configuration under
// which it was admitted, and is refused.
func (r *requestState) refresh() *verdict.Refusal {
	newest := r.server.Source.Current()
	if newest == r.snapshot {
		return nil
	}
	customer, route, refusal := r.authorize(newest)
	if refusal != nil {
		if r.worstVerdict != verdict.NotRun {
			// The statuses of these reasons are those of requests that have not run.
			refusal = verdict.Uncertain(verdict.UpstreamError, "the newest configuration allows no further attempt: %s", refusal.Detail)
		}
		return refusal
	}
	r.snapshot, r.request.Customer, r.request.Route = newest, customer, route
	r.request.Idempotent = r.request.Idempotent && route.Idempotent(r.request.Method)
	return nil
}

// authorize finds the request's customer and route, both known by their names, in a newer snapshot.
func (r *requestState) authorize(snapshot *contract.Snapshot) (*contract.Customer, *contract.Route, *verdict.Refusal) {
	customer := snapshot.Customers[r.request.Customer.Name]
	if customer == nil || r.key != "" && snapshot.CustomerByKey(r.key) != customer {
		return nil, nil, verdict.Refuse(verdict.UnknownKey, "the API key is no longer known")
	}
	route := snapshot.Routes[r.request.Route.Name]
	if route == nil {
		return nil, nil, verdict.Refuse(verdict.UnknownRoute, "route %s is no longer configured", r.request.Route.Name)
	}
	if !slices.Contains(route.Customers, customer.Name) {
		return nil, nil, verdict.Refuse(verdict.ModelNotAllowed, "route %s is no longer open to customer %s", route.Name, customer.Name)
	}
	if r.worstVerdict != verdict.NotRun && !route.Idempotent(r.request.Method) {
		return nil, nil, verdict.Refuse(verdict.UpstreamError, "route %s may no longer be repeated", route.Name)
	}
	return customer, route, nil
}

// fail returns err as a refusal with the worst verdict of it and all attempts so far: the refusal must
// not say that nothing ran if an earlier attempt may have run.
func (r *requestState) fail(err error) error {
	refusal := *asRefusal(err)
	refusal.Verdict = verdict.Worst(refusal.Verdict, r.worstVerdict)
	return &refusal
}

func (r *requestState) note(notes ...decide.Note) { r.record.Notes = append(r.record.Notes, notes...) }

// exclude excludes a failed endpoint from later attempts. A silent or broken reused connection does
// not show that the endpoint failed: the endpoint may be tried again, on a new connection.
func (r *requestState) exclude(endpoint machine.EndpointID, failure *link.Failure) {
	connectionFault := failure.Reason == verdict.RetrySilent || failure.Reason == verdict.RetryConnection
	if connectionFault && !failure.OnNewConnection {
		r.newConnection = true
		return
	}
	r.excluded = append(r.excluded, endpoint)
}

// decideRetry applies the retry policy to a failed attempt. It returns nil after preparing the next
// attempt, or the refusal with which the request ends.
func (r *requestState) decideRetry(ctx context.Context, placed *placement, failed *failedAttempt) error {
	if ctx.Err() != nil {
		return r.fail(cancelled(ctx, verdict.Worst(failed.failure.Verdict, r.worstVerdict)))
	}
	if failed.failure.Reason == verdict.RetryNotSent {
		r.unsent++
	}
	decision := decide.Retry(r.request, decide.FailedAttempt{
		Verdict:   failed.failure.Verdict,
		Reason:    failed.failure.Reason,
		Attempts:  failed.attempts,
		Delivered: failed.delivered,
		Resumable: failed.resumable,
		Pool:      r.request.Route.Pools[0],
	}, r.server.RetryBudget, time.Now())
	r.note(decision.Notes...)
	if decision.Action == decide.Stop {
		decision.Refusal.RetryAfter = failed.failure.RetryAfter
		return r.forwardIfUnreachable(r.fail(decision.Refusal))
	}
	reason := failed.failure.Reason
	if decision.Action == decide.Resume {
		reason = verdict.RetryStreamResumed
	}
	r.server.Counters.Retried(reason)
	r.exclude(placed.choice.Endpoint.ID, failed.failure)
	return nil
}

// countFirstAttempt counts the request once in the retry budget, which allows retries as a share of
// first attempts.
func (r *requestState) countFirstAttempt() {
	if r.server.RetryBudget != nil && !r.firstAttemptCounted {
		r.firstAttemptCounted = true
		r.server.RetryBudget.Deposit(r.request.Customer.Name, r.request.Route.Pools[0])
	}
}

// failedAttempt describes an attempt without a complete answer to the retry policy.
type failedAttempt struct {
	failure   *link.Failure
	attempts  int  // attempts in this cascade step, including this one
	delivered bool // the caller has received a part of the answer
	resumable bool // the engine declared that it can resume the answer
}
