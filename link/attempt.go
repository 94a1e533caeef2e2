// Package link sends requests to endpoints and calls to peer entry instances. It has two HTTP clients:
// EndpointClient for package gateway and Dispatcher for package entry. It never repeats a request by
// itself, and each failure states whether the request may have run.
package link

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Header names shared with endpoints and callers.
const (
	HeaderRequestID = "Plumbarrow-Request-Id"
	HeaderAttemptID = "Plumbarrow-Attempt-Id"
	HeaderVersion   = "Plumbarrow-Version"
	HeaderSession   = "Plumbarrow-Session"
	// HeaderVerdict with the value not_run on a 503 or 429 is an endpoint's declaration that it
	// has not run the request and will not run it.
	HeaderVerdict = "Plumbarrow-Verdict"
	// HeaderReplayed marks the recorded outcome of an earlier request with the same idempotency
	// key.
	HeaderReplayed = "Plumbarrow-Replayed"
	// HeaderResume with the value 1 on a streamed answer means that the engine can resume it.
	HeaderResume = "Plumbarrow-Resume"
	// HeaderResumeFrom asks an engine to resume the stream of the attempt HeaderResumeAttempt after
	// the given number of events.
	HeaderResumeFrom    = "Plumbarrow-Resume-From"
	HeaderResumeAttempt = "Plumbarrow-Resume-Attempt"
	// Endpoints report load and state in their answers: integers, and 1 for true.
	HeaderRunning   = "Plumbarrow-Running"
	HeaderQueued    = "Plumbarrow-Queued"
	HeaderLeaving   = "Plumbarrow-Leaving"
	HeaderRestarted = "Plumbarrow-Restarted"
	// HeaderIdempotencyKey is the caller's key for non-idempotent work.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Attempt is one dispatch of a request to one endpoint.
type Attempt struct {
	ID        string
	RequestID string
	Endpoint  machine.Endpoint
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	// Idempotent attempts may use any pooled connection; others only a new one or one that
	// finished an answer within the last recentIdleTimeout.
	Idempotent bool
	// NewConnection asks for a new connection, for use after an earlier one became unresponsive.
	NewConnection bool
	// FirstByteTimeout bounds the time to the answer's header.
	FirstByteTimeout time.Duration
	// ReusedFirstByteTimeout is the same bound for a reused connection, whose path may be lost; 0 means
	// FirstByteTimeout.
	ReusedFirstByteTimeout time.Duration
	// ProgressTimeout bounds the wait for the next bytes of the answer's body.
	ProgressTimeout time.Duration
}

// Answer is an endpoint's answer. Its receiver must close Body. Errors of Body.Read other than io.EOF are
// *Failure.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length of the body in bytes; -1 if the endpoint did not declare it.
	Length int64
}

// Failure describes a failed attempt.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason // a retry reason
	Err     error
	// OnNewConnection means that the attempt used a new connection.
	OnNewConnection bool
	// EndpointUnresponsive means that the endpoint's last new connections timed out without an answer
	// too, so that the endpoint is at fault and not a single connection.
	EndpointUnresponsive bool
	// Refused means that the endpoint's address refused the connection: nothing listens there.
	Refused bool
	// RetryAfter is the Retry-After time that the endpoint sent; 0 for none.
	RetryAfter time.Duration
}

var _ error = (*Failure)(nil)

// Error returns reason, verdict and cause on one line.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err) }

// Unwrap returns the cause. io.EOF becomes io.ErrUnexpectedEOF, since readers of answers take io.EOF for the end of a complete one.
func (f *Failure) Unwrap() error {
	if errors.Is(f.Err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return f.Err
}
