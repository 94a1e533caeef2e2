// Package decide makes the router's decisions: it filters, scores and picks endpoints, chooses model
// versions and cascade steps, and decides on retries and load shedding. It does no I/O and reads no
// clock, and apart from the retry budgets it holds no state: functions take a snapshot, observations,
// the time and a random source, and return a typed decision with its reasons. The pipeline follows the
// endpoint picker of the Gateway API Inference Extension.
package decide

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	ID         string
	Customer   *contract.Customer
	Route      *contract.Route
	Method     string
	Idempotent bool
	// PromptTokens is estimated from the body's length.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixHash identifies the prompt's beginning for cache affinity; 0 means none.
	PrefixHash uint64
	// Pin is the model version that the request's session is pinned to; the zero value means no
	// session.
	Pin contract.VersionID
	// MorePins are the session's pins for further models, which cascade steps have used; at most
	// one per model.
	MorePins []contract.VersionID
	Arrived  time.Time
	Deadline time.Time // time by which the first byte must reach the caller
	// Hops is the number of entry instances that have forwarded the request.
	Hops int
}

// Candidates are the endpoints of a pool. They are read one at a time, so that a decision over
// thousands of endpoints copies only the few it inspects.
type Candidates interface {
	Len() int
	// At copies candidate i into endpoint. The candidate's state may change between calls.
	At(i int, endpoint *machine.Endpoint)
}

// Observation is the instance's view of endpoints and zones at the time of a decision.
type Observation struct {
	Now  time.Time
	Zone string // the instance's own zone
	// Pool returns the candidates of a pool in the instance's own zone.
	Pool func(name string) Candidates
	// Zones lists the other zones that can take work, with their spare capacity.
	Zones []ZoneLoad
}

// ZoneLoad is the spare capacity of a zone as reported by its instances.
type ZoneLoad struct {
	Zone string
	// Spare is the number of requests per pool that the zone could start now.
	Spare map[string]int
	At    time.Time // of the report
}

// Note explains one part of a decision, in logs and explain records.
type Note struct {
	Stage    string             `json:"stage"`
	Endpoint machine.EndpointID `json:"endpoint,omitempty"`
	Reason   string             `json:"reason"`
	Value    float64            `json:"value,omitempty"`
}

// Choice is the endpoint picked for one attempt.
type Choice struct {
	Endpoint machine.Endpoint
	Pool     string
	Version  contract.VersionID // zero for services
	// Zone is set instead of Endpoint when another zone should serve the request.
	Zone  string
	Notes []Note
}

// Picker chooses the endpoint or zone for one attempt.
type Picker interface {
	// Pick chooses an endpoint of pool that serves version, or another zone. It does not choose
	// excluded endpoints. A refusal has the verdict NotRun.
	Pick(snapshot *contract.Snapshot, request *Request, pool string, version contract.VersionID,
		observation *Observation, excluded []machine.EndpointID, random *rand.Rand) (Choice, *verdict.Refusal)
}
