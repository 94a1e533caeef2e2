package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/verdict"
)

// wrongAttemptAnswers counts answers that carry another attempt's id, or none where an engine must
// echo it. None of them is delivered.
const wrongAttemptAnswers = "plumbarrow_late_answers_total"

// outgoingRequest is the HTTP request that one attempt sends to its endpoint.
type outgoingRequest struct {
	method string
	path   string // with query
	header http.Header
	body   []byte
}

// attempt is one dispatch of the request to an endpoint.
type attempt struct {
	id        string
	placed    *placement
	started   time.Time
	firstByte time.Duration // from dispatch to the answer's header; 0 if none came
	header    http.Header   // of the answer; nil if none came
	events    int           // events passed to the sink
}

// dispatch sends one attempt to the placed endpoint. It must be called directly after place, so that
// the configuration check at the end of place still holds.
func (r *requestState) dispatch(ctx context.Context, placed *placement, out *outgoingRequest) (*attempt, *link.Answer, *link.Failure) {
	a := &attempt{id: uuid.NewString(), placed: placed, started: time.Now()}
	linkAttempt := &link.Attempt{
		ID:               a.id,
		RequestID:        r.request.ID,
		Endpoint:         placed.choice.Endpoint,
		Method:           out.method,
		Path:             out.path,
		Header:           out.header,
		Body:             out.body,
		Idempotent:       r.request.Idempotent,
		NewConnection:    r.newConnection,
		FirstByteTimeout: r.request.Route.Deadline(),
		ProgressTimeout:  r.request.Route.Progress(),
	}
	if r.request.Idempotent && r.resume == nil {
		// An idempotent request can be retried at no risk. A shorter timeout on a reused connection
		// leaves time for a retry at another endpoint.
		linkAttempt.FirstByteTimeout = max(r.request.Deadline.Sub(a.started), time.Millisecond)
		linkAttempt.ReusedFirstByteTimeout = linkAttempt.FirstByteTimeout / 2
	}
	r.newConnection = false
	answer, err := r.server.Dispatcher.Do(ctx, linkAttempt)
	if err != nil {
		return a, nil, asFailure(err)
	}
	a.firstByte = time.Since(a.started)
	a.header = answer.Header
	if echoed := answer.Header.Get(link.HeaderAttemptID); echoed != a.id && (echoed != "" || !r.isService(placed)) {
		r.server.Counters.Inc(wrongAttemptAnswers)
		_ = answer.Body.Close()
		return a, nil, &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryWrongAttempt, Err: errWrongAttempt}
	}
	return a, answer, nil
}

var errWrongAttempt = errors.New("the answer does not carry the id of its attempt")

// isService reports whether the endpoint is a plain service, which need not echo the attempt id.
func (r *requestState) isService(placed *placement) bool {
	return placed.choice.Version == (contract.VersionID{})
}

// asFailure returns err as a failure. An error of another type counts as a lost connection, after
// which the request may have run.
func asFailure(err error) *link.Failure {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: err}
}

// finishAttempt records an attempt, reports it to the rollout recorder and releases its permit with
// the result. failure is nil for a complete answer. callerLeft reports that the attempt ended
// because the caller disconnected, which does not count as a failure of the endpoint or the version.
func (r *requestState) finishAttempt(a *attempt, failure *link.Failure, callerLeft bool) {
	attemptVerdict := verdict.Ran
	record := AttemptRecord{ID: a.id, Endpoint: string(a.placed.choice.Endpoint.ID), Pool: a.placed.choice.Pool, Events: a.events}
	if failure != nil {
		attemptVerdict = failure.Verdict
		record.Reason = failure.Reason
	}
	if version := a.placed.choice.Version; version != (contract.VersionID{}) {
		record.Version = version.String()
		if r.server.Recorder != nil && !callerLeft && attemptVerdict != verdict.NotRun {
			r.server.Recorder.RecordAttempt(rollout.Attempt{Version: version, Failed: failure != nil, FirstByte: a.firstByte})
		}
	}
	record.Verdict = attemptVerdict
	r.record.Attempts = append(r.record.Attempts, record)
	r.worstVerdict = verdict.Worst(r.worstVerdict, attemptVerdict)
	a.placed.permit.Done(a.result(failure, callerLeft))
}

// result returns what the attempt showed about its endpoint's health and load.
func (a *attempt) result(failure *link.Failure, callerLeft bool) machine.Result {
	result := machine.Result{Completed: failure == nil, FirstByte: a.firstByte}
	if failure != nil && !callerLeft {
		result.Failure = failure.Reason
		result.ConnectionRefused = failure.Refused
		if failure.Reason == verdict.RetrySilent && !failure.EndpointUnresponsive {
			// Only the connection is known to be faulty, not the endpoint.
			result.Failure = ""
		}
	}
	if a.header == nil {
		return result
	}
	result.Leaving = a.header.Get(link.HeaderLeaving) == "1"
	result.Restarted = a.header.Get(link.HeaderRestarted) == "1"
	running, err := strconv.Atoi(a.header.Get(link.HeaderRunning))
	if err == nil {
		result.LoadReported = true
		result.Running = running
		result.Queued, _ = strconv.Atoi(a.header.Get(link.HeaderQueued))
	}
	return result
}
