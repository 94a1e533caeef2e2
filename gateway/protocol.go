package gateway

import (
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// Call is a caller's request without its body, as the callers' protocol read it.
type Call struct {
	ID     string
	Method string
	// Target is path and query as the caller sent them; Path is the target without its query.
	Target string
	Path   string
	Host   string
	// Wait is how long the caller waits for its answer; 0 if it does not say.
	Wait time.Duration
	// Key is the customer's key; empty without one.
	Key string
	// Session groups requests that should stay on one version; empty without one.
	Session string
	// OpenModel says that the caller leaves the model to the router.
	OpenModel bool
	// PromptTokens and MaxOutputTokens are the sizes that the caller states; 0 without them.
	PromptTokens    int
	MaxOutputTokens int
	// Parts of the prompt, in order. The last one belongs to the request or its session.
	Parts []upstream.Part
	// LastEvent is the id of the last event that the caller has of an interrupted stream.
	LastEvent string
	// Header is what goes to endpoints.
	Header http.Header
}

// CallerProtocol is the protocol that callers speak.
type CallerProtocol interface {
	// Read reads a request's line and header. The error is a refusal.
	Read(r *http.Request) (*Call, *verdict.Refusal)
	// Refuse sets the header of a refusal's answer.
	Refuse(header http.Header, call *Call, refusal *verdict.Refusal)
}

// Attempt is what an endpoint is told besides the caller's request.
type Attempt struct {
	Endpoint machine.EndpointID
	// Customer holds the caller's key; empty on public routes.
	Customer string
	// Left is the time within which the answer is of use.
	Left time.Duration
	// Model is the model that the router chose; empty if the caller named one.
	Model string
	// ResumeAfter is the id of the last event passed on; empty at a stream's beginning.
	ResumeAfter string
	// Priority of the request; 0 is the most urgent.
	Priority int
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// Signed says that the answer carries an endpoint's signature.
	Signed bool
	// NotRun says that the endpoint has not run the request and will not.
	NotRun bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	ColdFor     time.Duration
	// Confidence is the model's own opinion of its answer, 0 to 100; HasConfidence says that it gave
	// one.
	Confidence    float64
	HasConfidence bool
}

// EndpointProtocol is the protocol that endpoints speak.
type EndpointProtocol interface {
	// Prepare adds an attempt to the header that goes to its endpoint.
	Prepare(header http.Header, attempt *Attempt)
	// Reply reads the header of an answer.
	Reply(status int, header http.Header) Reply
	// Answers says whether an answer belongs to the request with the id.
	Answers(header http.Header, id string) bool
}
