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

// lateAnswers counts answers that belong to another attempt; none is delivered.
const lateAnswers = "plumbarrow_late_answers_total"

// outgoing is the HTTP request of one attempt.
type outgoing struct {
	method string
	path   string // with query
	header http.Header
	body   []byte
}

// trial is one dispatched attempt.
type trial struct {
	id        string
	placed    *placement
	started   time.Time
	firstByte time.Duration
	header    http.Header // of the answer; nil without one
	events    int
}

// dispatch sends the attempt. It is called right after place, whose last check is the one that
// counts.
func (w *work) dispatch(ctx context.Context, placed *placement, out *outgoing) (*trial, *link.Answer, *link.Failure) {
	t := &trial{id: uuid.NewString(), placed: placed, started: time.Now()}
	attempt := &link.Attempt{
		ID:         t.id,
		RequestID:  w.request.ID,
		Endpoint:   placed.choice.Endpoint,
		Method:     out.method,
		Path:       out.path,
		Header:     out.header,
		Body:       out.body,
		Idempotent: w.request.Idempotent,
		Fresh:      w.fresh,
		FirstByte:  w.request.Route.Deadline(),
		Progress:   w.request.Route.Progress(),
	}
	if w.request.Idempotent && w.resume == nil {
		// Giving up early costs an idempotent request nothing, and leaves time to try elsewhere.
		attempt.FirstByte = max(w.request.Deadline.Sub(t.started), time.Millisecond)
		attempt.FirstByteReused = attempt.FirstByte / 2
	}
	w.fresh = false
	answer, err := w.server.Dispatcher.Do(ctx, attempt)
	if err != nil {
		return t, nil, asFailure(err)
	}
	t.firstByte = time.Since(t.started)
	t.header = answer.Header
	if echoed := answer.Header.Get(link.HeaderAttemptID); echoed != t.id && (echoed != "" || !w.isService(placed)) {
		w.server.Counters.Inc(lateAnswers)
		_ = answer.Body.Close()
		return t, nil, &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryWrongAttempt, Err: errOtherAttempt}
	}
	return t, answer, nil
}

var errOtherAttempt = errors.New("the answer names another attempt")

// isService says whether the endpoint is a plain service, which need not know attempts.
func (w *work) isService(placed *placement) bool {
	return placed.choice.Version == (contract.VersionID{})
}

func asFailure(err error) *link.Failure {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: err}
}

// settle ends an attempt: it returns the permit with what was seen, and keeps the evidence. failure
// is nil for a whole answer; left says that the caller's leaving ended the attempt.
func (w *work) settle(t *trial, failure *link.Failure, left bool) {
	outcome := verdict.Ran
	record := AttemptRecord{ID: t.id, Endpoint: string(t.placed.choice.Endpoint.ID), Pool: t.placed.choice.Pool, Events: t.events}
	if failure != nil {
		outcome = failure.Verdict
		record.Reason = failure.Reason
	}
	if version := t.placed.choice.Version; version != (contract.VersionID{}) {
		record.Version = version.String()
		if w.server.Recorder != nil && !left && outcome != verdict.NotRun {
			w.server.Recorder.Attempt(rollout.Attempt{Version: version, Failed: failure != nil, FirstByte: t.firstByte})
		}
	}
	record.Verdict = outcome
	w.record.Attempts = append(w.record.Attempts, record)
	w.outcome = verdict.Worst(w.outcome, outcome)
	t.placed.permit.Done(t.result(failure, left))
}

// result is what the attempt showed of its endpoint.
func (t *trial) result(failure *link.Failure, left bool) machine.Result {
	result := machine.Result{Completed: failure == nil, FirstByte: t.firstByte}
	if failure != nil && !left {
		result.Failure = failure.Reason
		result.ConnectionRefused = failure.Refused
		if failure.Reason == verdict.RetrySilent && !failure.Condemned {
			// So far only the connection is known to be at fault.
			result.Failure = ""
		}
	}
	if t.header == nil {
		return result
	}
	result.Leaving = t.header.Get(link.HeaderLeaving) == "1"
	result.Restarted = t.header.Get(link.HeaderRestarted) == "1"
	running, err := strconv.Atoi(t.header.Get(link.HeaderRunning))
	if err == nil {
		result.Reported = true
		result.Running = running
		result.Queued, _ = strconv.Atoi(t.header.Get(link.HeaderQueued))
	}
	return result
}
