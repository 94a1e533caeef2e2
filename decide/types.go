// Package decide makes the router's decisions: filter, score and pick an endpoint, choose a
// version, step a cascade, retry or shed. It does no I/O, reads no clock and holds no state: every
// function takes a snapshot, observations, the time and a random source, and returns a typed
// decision with its reasons. The pipeline's shape is borrowed from the Gateway API Inference
// Extension's endpoint picker.
package decide

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Request is what a decision needs to know of a caller's request.
type Request struct {
	ID         string
	Customer   *contract.Customer
	Route      *contract.Route
	Method     string
	Idempotent bool
	// PromptTokens is an estimate made from the body's length.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixHash identifies the prompt's beginning for cache affinity; 0 means none.
	PrefixHash uint64
	// Pin is the version of the request's session; the zero value means no session.
	Pin contract.VersionID
	// MorePins are the session's versions of further models, which cascade steps have used; at
	// most one per model.
	MorePins []contract.VersionID
	Arrived  time.Time
	Deadline time.Time // by which the first byte must be with the caller
	// Hops counts the entry instances the request has already passed.
	Hops int
}

// Candidates is the set of a pool's endpoints, read one at a time so that a decision over
// thousands of endpoints copies only the few it looks at.
type Candidates interface {
	Len() int
	// At copies candidate i into endpoint.
	At(i int, endpoint *machine.Endpoint)
}

// Observation is what the instance knows at the moment of a decision.
type Observation struct {
	Now  time.Time
	Zone string // the instance's own
	// Pool returns the candidates of a pool in the instance's own zone.
	Pool func(name string) Candidates
	// Zones lists the other zones that can take work, with their spare capacity.
	Zones []ZoneLoad
}

// ZoneLoad is what other instances reported of a zone.
type ZoneLoad struct {
	Zone string
	// Spare is the number of requests per pool that the zone could start now.
	Spare map[string]int
	At    time.Time
}

// Note is one reason behind a decision, for logs and explain.
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

// Picker chooses where one attempt goes.
type Picker interface {
	// Pick chooses an endpoint of pool for version, avoiding the excluded endpoints. A refusal
	// has the verdict NotRun.
	Pick(snapshot *contract.Snapshot, request *Request, pool string, version contract.VersionID,
		seen *Observation, excluded []machine.EndpointID, random *rand.Rand) (Choice, *verdict.Refusal)
}
