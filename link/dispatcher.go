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

	"plumbarrow.example/plumbarrow/verdict"
)

// Dispatcher sends attempts to endpoints over HTTP. Safe for concurrent use.
type Dispatcher struct {
	pooled *http.Transport // for idempotent attempts
	proved *http.Transport // for other attempts
	fresh  *http.Transport // for attempts after a silence
	silent *silences
}

// NewDispatcher returns a dispatcher with empty connection pools.
func NewDispatcher() *Dispatcher { return NewDispatcherWith(defaultDial()) }

// NewDispatcherWith returns a dispatcher that opens its connections with dial.
func NewDispatcherWith(dial DialFunc) *Dispatcher {
	return &Dispatcher{
		pooled: newTransport(dial, idleTimeout),
		proved: newTransport(dial, provedTimeout),
		fresh:  newTransport(dial, 0),
		silent: newSilences(),
	}
}

// Close drops idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.proved.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

func (d *Dispatcher) transport(attempt *Attempt) http.RoundTripper {
	switch {
	case attempt.Fresh:
		return onceTransport{d.fresh}
	case attempt.Idempotent:
		return onceTransport{d.pooled}
	default:
		return onceTransport{d.proved}
	}
}

// Do sends the attempt once and returns as soon as the answer's header is in. Errors are
// *Failure; an answer by which the endpoint declares that it has not run the request is one too.
func (d *Dispatcher) Do(ctx context.Context, attempt *Attempt) (*Answer, error) {
	caller := ctx
	if err := caller.Err(); err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err}
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	detach := context.AfterFunc(caller, func() { cancel(context.Cause(caller)) })
	timer := time.AfterFunc(attempt.FirstByte, func() { cancel(errSilent) })
	defer timer.Stop()
	sent := &sentBytes{}
	trace := sent.trace(func() {
		if attempt.FirstByteReused > 0 {
			timer.Reset(min(attempt.FirstByteReused, attempt.FirstByte))
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
		d.noteFailure(attempt, failure)
		return nil, failure
	}
	d.silent.heard(attempt.Endpoint.Address)
	body := newWatchedBody(ctx, response.Body, cancel, attempt.Progress)
	body.detach = detach
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}
	if failure := declined(answer); failure != nil {
		answer.Release()
		return nil, failure
	}
	return answer, nil
}

func (d *Dispatcher) noteFailure(attempt *Attempt, failure *Failure) {
	if failure.Reason == verdict.RetrySilent && failure.FreshConnection && attempt.FirstByte >= silentAfter {
		failure.Condemned = d.silent.silent(attempt.Endpoint.Address)
	}
}

// declined returns the failure that an endpoint's declaration of not running means, or nil.
func declined(answer *Answer) *Failure {
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
	if attempt.FirstByte <= 0 || attempt.Progress <= 0 {
		return nil, errors.New("an attempt needs deadlines")
	}
	request.Header = attempt.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(HeaderRequestID, attempt.RequestID)
	request.Header.Set(HeaderAttemptID, attempt.ID)
	// A body without GetBody keeps net/http from sending the request a second time by itself
	// when a reused connection breaks.
	request.Body = io.NopCloser(bytes.NewReader(attempt.Body))
	request.ContentLength = int64(len(attempt.Body))
	return request, nil
}
