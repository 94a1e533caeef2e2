package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/verdict"
)

// Dispatcher sends attempts to endpoints over HTTP. Safe for concurrent use.
type Dispatcher struct {
	pooled   *http.Transport // for idempotent attempts
	recent   *http.Transport // for other attempts
	fresh    *http.Transport // for attempts that need a new connection
	silences *silenceCounter
	heads    *answercheck.Budget // for the heads of answers; nil bounds nothing
}

// NewDispatcher returns a dispatcher with empty connection pools.
func NewDispatcher() *Dispatcher { return NewDispatcherWith(defaultDial()) }

// NewDispatcherWith returns a dispatcher that opens its connections with dial.
func NewDispatcherWith(dial DialFunc) *Dispatcher {
	d := &Dispatcher{silences: newSilenceCounter()}
	d.pooled = d.newTransport(dial, pooledIdleTimeout)
	d.recent = d.newTransport(dial, recentIdleTimeout)
	d.fresh = d.newTransport(dial, 0)
	return d
}

// BoundHeads sets the budget for the heads of answers, before the dispatcher is used.
func (d *Dispatcher) BoundHeads(budget *answercheck.Budget) { d.heads = budget }

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.recent.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

func (d *Dispatcher) transport(attempt *Attempt) http.RoundTripper {
	switch {
	case attempt.NewConnection:
		return onceTransport{d.fresh}
	case attempt.Idempotent:
		return onceTransport{d.pooled}
	default:
		return onceTransport{d.recent}
	}
}

// Do sends the attempt once and returns as soon as it has the answer's header. Errors are *Failure.
// An answer in which the endpoint declares that it has not run the request is a failure too. The declaration counts if it names
// the attempt, or if it names none and is the first answer on its connection.
func (d *Dispatcher) Do(ctx context.Context, attempt *Attempt) (*Answer, error) {
	callerCtx := ctx
	if err := callerCtx.Err(); err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err}
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(callerCtx))
	detach := context.AfterFunc(callerCtx, func() { cancel(context.Cause(callerCtx)) })
	timer := time.AfterFunc(attempt.FirstByteTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	sent := &sendTracker{}
	trace := sent.trace(attempt.Method, func() {
		if attempt.ReusedFirstByteTimeout > 0 {
			timer.Reset(min(attempt.ReusedFirstByteTimeout, attempt.FirstByteTimeout))
		}
	})
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), attempt)
	if err != nil {
		detach()
		cancel(nil)
		return nil, &Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err}
	}
	// RoundTrip instead of Client.Do: no redirects, no cookies.
	response, err := d.transport(attempt).RoundTrip(request)
	if err != nil {
		failure := sent.failure(ctx, err)
		detach()
		cancel(nil)
		d.recordSilence(attempt, failure)
		return nil, failure
	}
	d.silences.reset(attempt.Endpoint.Address)
	if response.StatusCode == http.StatusSwitchingProtocols {
		detach()
		cancel(nil)
		_ = response.Body.Close()
		return nil, &Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryServerError, Err: errSwitched}
	}
	body := newWatchedBody(ctx, response.Body, cancel, attempt.ProgressTimeout)
	body.detach = detach
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}
	if failure := notRunFailure(answer); failure != nil {
		if named := answer.Header.Get(HeaderAttemptID); named != attempt.ID && (named != "" || !sent.newConnsOnly()) {
			// On a reused connection it may be a repeated answer to an earlier attempt. The own one may follow, so the connection is
			// closed.
			_ = answer.Body.Close()
			return nil, &Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryWrongAttempt, Err: errOtherAnswer}
		}
		answer.Release()
		return nil, failure
	}
	return answer, nil
}

// recordSilence counts a first-byte timeout on a new connection and sets
// failure.EndpointUnresponsive. It ignores waits shorter than minSilence.
func (d *Dispatcher) recordSilence(attempt *Attempt, failure *Failure) {
	if failure.Reason == verdict.RetrySilent && failure.OnNewConnection && attempt.FirstByteTimeout >= minSilence {
		failure.EndpointUnresponsive = d.silences.record(attempt.Endpoint.Address)
	}
}

// notRunFailure returns the failure if the endpoint declares in its answer that it has not run the
// request, otherwise nil.
func notRunFailure(answer *Answer) *Failure {
	if answer.Header.Get(HeaderVerdict) != verdict.NotRun.String() {
		return nil
	}
	failure := &Failure{Verdict: verdict.NotRun, RetryAfter: retryAfter(answer.Header)}
	switch answer.Status {
	case http.StatusServiceUnavailable:
		failure.Reason = verdict.RetryUnavailable
	case http.StatusTooManyRequests:
		failure.Reason = verdict.RetryOverloaded
	default:
		return nil
	}
	failure.Err = fmt.Errorf("the endpoint answered %d without running the request", answer.Status)
	return failure
}

// retryAfter returns the Retry-After time; 0 if it is missing or not a number of seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func newRequest(ctx context.Context, attempt *Attempt) (*http.Request, error) {
	url := "http://" + attempt.Endpoint.Address + attempt.Path
	request, err := http.NewRequestWithContext(ctx, attempt.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if attempt.FirstByteTimeout <= 0 || attempt.ProgressTimeout <= 0 {
		return nil, errors.New("attempt without first-byte or progress timeout")
	}
	request.Header = attempt.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(HeaderRequestID, attempt.RequestID)
	request.Header.Set(HeaderAttemptID, attempt.ID)
	// A body without GetBody prevents net/http from sending the request again by itself when a
	// reused connection breaks.
	request.Body = io.NopCloser(bytes.NewReader(attempt.Body))
	request.ContentLength = int64(len(attempt.Body))
	return request, nil
}
