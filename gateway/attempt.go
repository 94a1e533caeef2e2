package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// maxBufferedBytes is the size in bytes up to which an answer is read completely before it is forwarded, so that a
	// truncated one can be retried.
	maxBufferedBytes = 256 << 10
	// minStreamIdle is the least time without an event after which a stream counts as broken. Shorter pauses are normal:
	// endpoints may suspend a stream for a more urgent one.
	minStreamIdle   = 2 * time.Second
	eventStreamType = "text/event-stream"
	// discardTimeout bounds the time for reading the rest of an answer that is not delivered. The next attempt
	// waits for it.
	discardTimeout = 50 * time.Millisecond
)

// failedAttempt is an attempt that brought no answer to deliver.
type failedAttempt struct {
	endpoint      machine.EndpointID
	verdict       verdict.Verdict
	reason        verdict.Reason
	status        int  // HTTP status of the endpoint's answer; 0 if there was none
	newConnection bool // the next attempt must use a new connection
	err           error
	refused       bool // the endpoint's address refused the connection
	events        int  // events that the attempt delivered to the caller
	// charged reports that the retry budget has already been charged for the next attempt.
	charged bool
	// origin of the endpoint's answer; nil if there was none.
	origin *link.AnswerOrigin
}

// originAttr returns the origin of the endpoint's answer for the log.
func (a *failedAttempt) originAttr() slog.Attr {
	if a.origin == nil {
		return slog.Group("answer")
	}
	return slog.Group("answer", "connection", a.origin.Connection, "reused", a.origin.Reused, "skipped", a.origin.Skipped,
		"match", a.origin.Match.String(), "framing", a.origin.Framing.String())
}

func (a *failedAttempt) connFailure() bool {
	switch a.reason {
	case verdict.RetryConnection, verdict.RetrySilent, verdict.RetryNotSent:
		return true
	default:
		return false
	}
}

// attempt sends the request to the endpoint once. It returns nil once the request is answered.
func (f *requestState) attempt(ctx context.Context, grant *upstream.Grant) *failedAttempt {
	started := time.Now()
	outcome := upstream.Abandoned
	defer func() { grant.Done(outcome) }()
	out, model := f.endpointRequest(grant, started)
	f.server.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt",
		slog.String("request_id", f.id()), slog.String("endpoint", string(grant.Endpoint.ID())), slog.String("service", f.service),
		slog.String("version", grant.Report.Version), slog.String("model", model), slog.Uint64("configuration", f.snapshot.Version),
		slog.Int("load", grant.Load), slog.Float64("pace", grant.Pace), slog.Int64("expected_ms", grant.Expected.Milliseconds()),
		slog.Int64("left_ms", f.deadline.Sub(started).Milliseconds()))
	f.tries++
	at := canary.Circumstances{Route: f.route.Name, Load: grant.Load, Slots: grant.Report.Slots, Repeat: f.runs > 0}
	trial := f.server.Versions.Begin(f.service, grant.Report.Version, at, grant.Expected)
	defer trial.Cancel()
	exposure := f.server.Quarantine.Begin(grant.Endpoint.ID(), grant.Report.Address, f.service, f.call.SharedParts())
	ending := quarantine.Closed
	defer func() { exposure.End(ending) }()
	grant.RecordSent()
	answer, err := f.server.Sender.Send(ctx, out)
	if err != nil {
		failed := f.failedSend(grant, err)
		outcome, ending = f.outcomeOf(ctx, failed), endingOf(ctx, failed)
		return failed
	}
	if answer.Status < http.StatusMultipleChoices {
		// An endpoint may fail a request without having worked on its prompt.
		exposure.RecordAnswer()
	}
	if !answer.Origin.Reused {
		grant.RecordConnection()
	}
	defer func() { _ = answer.Body.Close() }()
	firstByte := time.Since(started)
	trial.RecordFirstByte(firstByte)
	f.server.Counters.Observe(firstByteSeconds, firstByte.Seconds())
	f.server.Counters.Observe(expectedFirstByteSeconds, grant.Expected.Seconds())
	f.firstByteMS = append(f.firstByteMS, firstByte.Milliseconds())
	reply := f.server.EndpointProtocol.Reply(answer.Status, answer.Header)
	grant.ExtendCold(reply.ColdFor)
	if reply.HasLoad {
		trial.RecordLoad(reply.Running + reply.Waiting)
		grant.RecordStatement(reply.Running, reply.Waiting, reply.Pace, reply.Signed && !reply.NotRun && !reply.Misdirected)
	}
	if reply.Leaving {
		grant.RecordLeaving(f.id())
	}
	if reply.TurnedAwayFor > 0 {
		grant.RecordTurnAway(reply.TurnedAwayFor, f.id())
	} else {
		grant.RecordTaken()
	}
	if reply.Signed || reply.HasRateLimit {
		grant.RecordRateLimit(reply.RateLimit, reply.HasRateLimit)
	}
	if reply.Signed || reply.HasRejectionTolerance {
		grant.RecordTolerance(reply.RejectionTolerance, reply.HasRejectionTolerance)
	}
	if reply.NotRun && answer.Status == http.StatusServiceUnavailable {
		grant.RecordNoRoom(reply.held(), f.id())
	}
	for range answer.Origin.Skipped {
		f.server.Counters.Inc(skippedAnswers)
	}
	failed := f.receive(ctx, grant, trial, answer, reply)
	if failed != nil {
		failed.origin = &answer.Origin
	}
	outcome, ending = f.outcomeOf(ctx, failed), endingOf(ctx, failed)
	if failed == nil && outcome == upstream.Answered {
		f.server.answerTimes.Record(f.route.Name, time.Since(started))
		f.server.answerRests.Record(f.route.Name, time.Since(started)-firstByte)
	}
	if isEvidence(outcome, failed) {
		trial.End(outcome == upstream.Failed)
	}
	return failed
}

// endpointRequest builds the request to the endpoint and returns it with the name of the chosen model, which is empty
// if the router does not choose one.
func (f *requestState) endpointRequest(grant *upstream.Grant, now time.Time) (out *link.EndpointRequest, model string) {
	left := f.timeLimit().Sub(now)
	attempt := &Attempt{Endpoint: grant.Endpoint.ID(), TimeLeft: left, Priority: f.priority(), ResumeAfter: f.call.LastEvent,
		Model: f.modelName(), Customer: f.customerName()}
	if f.stream != nil && f.stream.lastID != "" {
		attempt.ResumeAfter = f.stream.lastID
	}
	header := f.call.Header.Clone()
	f.server.EndpointProtocol.Prepare(header, attempt)
	out = &link.EndpointRequest{
		Address:       grant.Report.Address,
		ID:            f.call.ID,
		Method:        f.call.Method,
		Target:        f.call.Target,
		Host:          f.call.Host,
		Header:        header,
		Body:          f.body,
		NewConnection: f.newConnection,

		MaxIdleConns: grant.MaxIdleConns,
	}
	f.newConnection = false
	// Silence ends an attempt only if another one may follow.
	if f.route.Repeatable() && f.runs+1 < f.route.MaxAttempts {
		out.ShouldGiveUp = func(silent time.Duration) bool { return f.retryPays(grant.Endpoint.ID(), silent) && f.reserveRetry() }
		out.FirstByteTimeout = firstByteLimit(f.route.Goal, grant.Expected, left)
		if f.route.Kind == catalog.Streaming {
			out.ProgressTimeout = max(2*f.route.GapTarget, minStreamIdle)
		}
	}
	return out, attempt.Model
}

// retryPays reports whether another attempt can follow the one at the endpoint now, and is expected to be faster than waiting for it. The
// rest of the endpoint's silence is estimated by its length so far. Without capacity elsewhere only a request whose caller has nothing
// yet is given up, to wait for some.
func (f *requestState) retryPays(endpoint machine.EndpointID, silent time.Duration) bool {
	if f.tries >= maxTries || f.outOfTime(0) != nil {
		return false
	}
	need := f.need()
	need.Avoid = append(slices.Clone(f.avoid), endpoint)
	if expected, ok := f.server.Upstreams.Alternative(need); ok {
		return expected <= silent && f.outOfTime(expected) == nil
	}
	return f.stream == nil || !f.stream.headerSent
}

// reserveRetry charges the retry budget for the attempt after the present one. It returns false if the budget allows none.
func (f *requestState) reserveRetry() bool {
	f.retryReserved = f.server.RetryBudget.Take(f.service)
	return f.retryReserved
}

// failedSend converts an error of Send into a failed attempt. An error that is not a *link.Failure counts as a
// lost connection after which the request may have run.
func (f *requestState) failedSend(grant *upstream.Grant, err error) *failedAttempt {
	failed := &failedAttempt{endpoint: grant.Endpoint.ID(), reason: verdict.RetryConnection, err: err}
	var failure *link.Failure
	if errors.As(err, &failure) {
		failed.verdict = failure.Verdict
		failed.reason = failure.Reason
		failed.newConnection = !failure.OnNewConnection
		failed.err, failed.refused = failure.Err, failure.Refused
	}
	f.recordVerdict(failed.verdict)
	return failed
}

// recordVerdict merges an attempt's verdict into the request's verdict and counts the attempt if it may have
// run.
func (f *requestState) recordVerdict(v verdict.Verdict) {
	f.verdict = verdict.Worst(f.verdict, v)
	if v != verdict.NotRun {
		f.runs++
	}
}

// receive checks an endpoint's answer and forwards it. It returns nil once the request is answered.
func (f *requestState) receive(ctx context.Context, grant *upstream.Grant, trial *canary.Trial, answer *link.EndpointAnswer, reply Reply) *failedAttempt {
	failed := &failedAttempt{endpoint: grant.Endpoint.ID(), status: answer.Status}
	switch {
	case reply.Misdirected:
		failed.verdict, failed.reason = verdict.NotRun, verdict.RetryWrongEndpoint
		f.discard(answer)
		return failed
	case reply.NotRun:
		failed.verdict, failed.reason = verdict.NotRun, verdict.RetryOverloaded
		f.discard(answer)
		return failed
	}
	f.recordVerdict(verdict.MayHaveRun)
	if answer.Status < http.StatusMultipleChoices && !reply.Signed {
		failed.reason, failed.err = verdict.RetryWrongAttempt, errUnsigned
		return failed
	}
	if f.escalate(reply) {
		failed.verdict, failed.reason, failed.charged = verdict.Ran, verdict.RetryLowQuality, true
		return failed
	}
	if answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType) {
		return f.forwardStream(attemptObserver{grant, trial}, answer)
	}
	if f.stream != nil && f.stream.headerSent {
		// Its bytes must not follow the events that the caller already has.
		failed.verdict, failed.reason, failed.err = verdict.Ran, verdict.RetryServerError, errNotResumed
		return failed
	}
	return f.bufferAnswer(grant, answer, failed)
}

var (
	errUnsigned   = errors.New("the endpoint answered with a success status but without its signature")
	errNotResumed = errors.New("the endpoint answered a request to resume a stream with a plain answer")
)

// discard reads the rest of a short answer, so that its connection can be reused.
func (f *requestState) discard(answer *link.EndpointAnswer) {
	if err := answer.Discard(maxBufferedBytes, discardTimeout); err != nil {
		f.server.Log.Debug("reading the rest of a discarded answer failed", "request_id", f.id(), "error", err)
	}
}

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// bufferAnswer reads a plain answer to its end and delivers it. An answer that reports a failure is kept in
// f.bufferedFailure instead, to be delivered if no other attempt succeeds.
func (f *requestState) bufferAnswer(grant *upstream.Grant, answer *link.EndpointAnswer, failed *failedAttempt) *failedAttempt {
	grant.RecordFirstEvent()
	body, err := intake.ReadAll(f.account, answer.Body, answer.Length, maxBufferedBytes)
	switch {
	case errors.Is(err, intake.ErrTooLong), errors.Is(err, intake.ErrFull):
		return f.forwardLong(answer, body, failed)
	case err != nil:
		failed.reason, failed.err = verdict.RetryTruncated, err
		return failed
	}
	f.verdict = verdict.Ran
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || promisesNotRun(answer.Status) {
		f.bufferedFailure = buffered
		failed.verdict, failed.reason = verdict.Ran, verdict.RetryServerError
		return failed
	}
	f.deliverBuffered(buffered)
	return nil
}

// promisesNotRun reports whether callers may conclude from the status that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// outcomeOf returns the outcome of an attempt for the endpoint's health and load records. failed is nil if the
// attempt succeeded.
func (f *requestState) outcomeOf(ctx context.Context, failed *failedAttempt) upstream.Outcome {
	switch {
	case failed != nil && failed.reason == verdict.RetryLowQuality:
		return upstream.Answered
	case failed == nil && f.stream != nil && !f.stream.complete:
		return upstream.Abandoned
	case failed == nil:
		return upstream.Answered
	case ctx.Err() != nil:
		return upstream.Abandoned
	case failed.reason == verdict.RetryWrongEndpoint:
		return upstream.WrongEndpoint
	case failed.verdict == verdict.NotRun && failed.reason != verdict.RetryNotSent:
		return upstream.Rejected
	case failed.connFailure():
		return upstream.Unreachable
	default:
		return upstream.Failed
	}
}

// endingOf returns how an attempt ended, as far as it tells whether the endpoint's process has ended. failed is nil if the
// attempt succeeded.
func endingOf(ctx context.Context, failed *failedAttempt) quarantine.Ending {
	switch {
	case failed == nil || ctx.Err() != nil:
		return quarantine.Closed
	case failed.refused:
		return quarantine.Refused
	case failed.verdict == verdict.NotRun:
		return quarantine.NotRun
	case failed.reason == verdict.RetryConnection || failed.reason == verdict.RetryTruncated:
		return quarantine.Broken
	default:
		return quarantine.Closed
	}
}

// isEvidence reports whether the outcome of an attempt counts for the roll-out of its version: a complete answer, or a
// failure that the endpoint answered. A truncated answer, for one, shows that the endpoint stopped, not that its
// version is faulty.
func isEvidence(outcome upstream.Outcome, failed *failedAttempt) bool {
	broken := outcome == upstream.Failed && failed.reason != verdict.RetryServerError
	return !broken && (outcome == upstream.Answered || outcome == upstream.Failed)
}
