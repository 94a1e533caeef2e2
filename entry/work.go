package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// work is one request on its way through this instance. One goroutine uses it.
type work struct {
	server   *Server
	snapshot *contract.Snapshot
	request  *decide.Request
	session  *session
	record   *Record
	random   *rand.Rand

	lines    []ledger.Line
	outcome  verdict.Verdict // the worst over the attempts so far
	excluded []machine.EndpointID
	paid     bool // counted as a first attempt
	// queueEnds is when all waits in queues together must be over; zero before the first.
	queueEnds time.Time
	fresh     bool // the next attempt needs a new connection
	bound     bool // claimed, billed or begun here, so that no other zone can go on with it
	resume    *resumption
}

// resumption says where the next attempt goes on with a broken stream.
type resumption struct {
	attemptID string
	events    int
	version   contract.VersionID
}

func (s *Server) newWork(snapshot *contract.Snapshot, request *decide.Request, session *session, record *Record) *work {
	record.Route = request.Route.Name
	return &work{
		server:   s,
		snapshot: snapshot,
		request:  request,
		session:  session,
		record:   record,
		random:   s.random(),
		outcome:  verdict.NotRun,
	}
}

// refresh takes over the configuration in force now.
func (w *work) refresh() *verdict.Refusal {
	w.snapshot = w.server.Source.Current()
	customer := w.snapshot.Customers[w.request.Customer.Name]
	if customer == nil {
		return verdict.Refuse(verdict.UnknownKey, "the customer is no longer configured")
	}
	route := w.snapshot.Routes[w.request.Route.Name]
	if route == nil {
		return verdict.Refuse(verdict.UnknownRoute, "route %s is no longer configured", w.request.Route.Name)
	}
	w.request.Customer = customer
	w.request.Route = route
	return nil
}

// fail combines a refusal with what earlier attempts of the request may have done.
func (w *work) fail(err error) error {
	refusal := *asRefusal(err)
	refusal.Verdict = verdict.Worst(refusal.Verdict, w.outcome)
	return &refusal
}

func (w *work) note(notes ...decide.Note) { w.record.Notes = append(w.record.Notes, notes...) }

// exclude keeps later attempts away from an endpoint that failed. One silent or broken connection
// is not its endpoint's fault: the endpoint gets another chance on a new connection.
func (w *work) exclude(endpoint machine.EndpointID, failure *link.Failure) {
	connection := failure.Reason == verdict.RetrySilent || failure.Reason == verdict.RetryConnection
	if connection && !failure.FreshConnection {
		w.fresh = true
		return
	}
	w.excluded = append(w.excluded, endpoint)
}

// decideRetry asks the policy what follows a failed attempt and prepares the next one. nil means go
// on.
func (w *work) decideRetry(ctx context.Context, placed *placement, failed *failedTrial) error {
	if ctx.Err() != nil {
		return w.fail(&verdict.Refusal{Verdict: failed.failure.Verdict, Reason: verdict.CallerGone, Detail: "the caller left"})
	}
	decision := decide.Retry(w.request, decide.Failed{
		Verdict:   failed.failure.Verdict,
		Reason:    failed.failure.Reason,
		Attempts:  failed.attempts,
		Delivered: failed.delivered,
		Resumable: failed.resumable,
		Pool:      w.request.Route.Pools[0],
	}, w.server.Retries, time.Now())
	w.note(decision.Notes...)
	if decision.Action == decide.Stop {
		decision.Refusal.RetryAfter = failed.failure.RetryAfter
		return w.fail(decision.Refusal)
	}
	reason := failed.failure.Reason
	if decision.Action == decide.Resume {
		reason = verdict.RetryStreamResumed
	}
	w.server.Counters.Retried(reason)
	w.exclude(placed.choice.Endpoint.ID, failed.failure)
	return nil
}

// started counts a first attempt, which pays for later retries.
func (w *work) started() {
	if w.server.Retries != nil && !w.paid {
		w.paid = true
		w.server.Retries.Paid(w.request.Customer.Name, w.request.Route.Pools[0])
	}
}

// failedTrial is an attempt that did not end in a whole answer.
type failedTrial struct {
	failure   *link.Failure
	attempts  int  // in this cascade step, this one included
	delivered bool // the caller has received a part of the answer
	resumable bool // the engine declared that it can resume the answer
}
