// Package link carries requests to endpoints and calls to peers. It never repeats a request by
// itself, and it says of each failure whether the request may have run.
package link

import (
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
	// Idempotent attempts may use any pooled connection.
	Idempotent bool
	// FirstByte bounds the time to the answer's header.
	FirstByte time.Duration
	// Progress bounds the silence within the answer's body.
	Progress time.Duration
}

// Answer is an endpoint's answer; the caller closes Body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Failure says how an attempt failed.
type Failure struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason // a retry reason
	Err     error
}

var _ error = (*Failure)(nil)

// Error returns verdict, reason and cause on one line.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
