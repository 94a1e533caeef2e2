package gateway

import (
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// Call is a caller's request without its body, decoded by the CallerProtocol.
type Call struct {
	// ID is chosen by the caller. All attempts of the request carry it.
	ID     string
	Method string
	// Target is path and query as the caller sent them; Path is the target without its query.
	Target string
	Path   string
	Host   string
	// Timeout is how long the caller waits for its answer; 0 if it states no limit.
	Timeout time.Duration
	// Key is the customer's key; empty without one.
	Key string
	// Session groups requests that should stay on one version; empty without one.
	Session string
	// OpenModel reports that the caller leaves the choice of the model to the router.
	OpenModel bool
	// PromptTokens and MaxOutputTokens are the sizes that the caller states; 0 if it states none.
	PromptTokens    int
	MaxOutputTokens int
	// PromptParts are the parts of the prompt, in order. The last one belongs to the request or its session.
	PromptParts []upstream.PromptPart
	// ReadSharedParts reads the parts that SharedParts returns; nil if these are in PromptParts. Prompts with very many parts are read again
	// instead of kept.
	ReadSharedParts func() []upstream.PromptPart
	// LastEvent is the id of the last event that the caller received of an interrupted stream.
	LastEvent string
	// Header is the header that is forwarded to endpoints.
	Header http.Header
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last one.
func (c *Call) SharedParts() []upstream.PromptPart {
	if c.ReadSharedParts != nil {
		return c.ReadSharedParts()
	}
	if len(c.PromptParts) < 2 {
		return nil
	}
	return c.PromptParts[:len(c.PromptParts)-1]
}

// CallerProtocol is the protocol that callers speak. Implementations must be safe for concurrent use.
type CallerProtocol interface {
	// Read decodes a request's line and header. The refusal is nil if the request is valid. The Call of a
	// refused request may be nil or incomplete.
	Read(r *http.Request) (*Call, *verdict.Refusal)
	// Relay sets, in the header of a request that is passed to a peer, what has changed since it arrived: the time left, and the id of the last
	// event that the caller has, which may be empty.
	Relay(header http.Header, timeLeft time.Duration, resumeAfter string)
	// Refuse sets the header fields of the answer to a refused call, which may be nil.
	Refuse(header http.Header, call *Call, refusal *verdict.Refusal)
}

// Attempt holds what the router sends to an endpoint in addition to the caller's request.
type Attempt struct {
	Endpoint machine.EndpointID
	// Customer is the name of the customer that holds the caller's key; empty on public routes.
	Customer string
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Model is the model that the router chose; empty if the caller named one.
	Model string
	// ResumeAfter is the id of the last event that the caller has; empty at the start of a stream.
	ResumeAfter string
	// Priority of the request; 0 is the most urgent.
	Priority int
}

// Reply is the decoded header of an endpoint's answer.
type Reply struct {
	// Signed reports that the answer carries an endpoint's signature.
	Signed bool
	// NotRun reports that the endpoint has not run the request and will not.
	NotRun bool
	// Misdirected reports that the address now belongs to another endpoint.
	Misdirected bool
	// Leaving reports that the endpoint is about to stop.
	Leaving bool
	// TurnedAwayFor is how long the endpoint wants no requests from this instance; 0 if it does not turn it away.
	TurnedAwayFor time.Duration
	// ColdFor is how much longer the endpoint is cold; 0 if it is warm.
	ColdFor time.Duration
	// Confidence is the model's own rating of its answer, 0 to 100. It is valid if HasConfidence is set.
	Confidence    float64
	HasConfidence bool
	// Running and Waiting are the requests at the endpoint, and Pace is how long work takes there against the usual, 1; 0 if it states no
	// pace. They are valid if HasLoad is set.
	Running, Waiting int
	Pace             float64
	HasLoad          bool
	// RateLimit is how many requests per second the endpoint takes from all instances together. It is valid if
	// HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// RejectionTolerance is how many requests per second the endpoint can reject without failing. It is valid if HasRejectionTolerance is
	// set.
	RejectionTolerance    int
	HasRejectionTolerance bool
}

// held returns the number of requests at the endpoint; -1 if it is not known.
func (r *Reply) held() int {
	if !r.HasLoad {
		return -1
	}
	return r.Running + r.Waiting
}

// EndpointProtocol is the protocol that endpoints speak. Implementations must be safe for concurrent use.
type EndpointProtocol interface {
	// Prepare adds the attempt's fields to the header that is sent to the endpoint. The header is a copy of
	// Call.Header for this attempt only.
	Prepare(header http.Header, attempt *Attempt)
	// Reply decodes the header of an answer.
	Reply(status int, header http.Header) Reply
	// Match returns what an answer's header says about the request with the id.
	Match(header http.Header, id string) link.Match
}
