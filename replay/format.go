// Package replay runs recorded traces through the current decision code and compares the decisions
// with the expected ones.
//
// A trace is a file of JSON lines. The first line is the Header. Each further line is a Line with
// exactly one event: a configuration, an observation, learned quality, a request, a dispatch or a
// failed attempt. The first three apply to all later lines until replaced. The last three state the
// expected decision. Times are milliseconds from the start of the trace.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/verdict"
)

// FormatVersion is the version of the trace format that this package reads.
const FormatVersion = 1

// formatName is the value of Header.Format in every trace.
const formatName = "plumbarrow-trace"

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// About describes the trace in a sentence.
	About string `json:"about,omitempty"`
}

// Line is one event of a trace at the time AtMS.
type Line struct {
	AtMS        int64        `json:"at_ms"`
	Config      *Config      `json:"config,omitempty"`
	Observation *Observation `json:"observation,omitempty"`
	Learned     *Learned     `json:"learned,omitempty"`
	Request     *Request     `json:"request,omitempty"`
	Dispatch    *Dispatch    `json:"dispatch,omitempty"`
	Failure     *Failure     `json:"failure,omitempty"`
	Expect      *Decision    `json:"expect,omitempty"`
}

// Config activates a configuration document.
type Config struct {
	Revision uint64 `json:"revision"`
	// Document is the configuration as TOML.
	Document string `json:"document"`
}

// Observation is the instance's view of the endpoints of its own zone and of other zones' spare
// capacity.
type Observation struct {
	Zone      string     `json:"zone"`
	Endpoints []Endpoint `json:"endpoints"`
	Zones     []Zone     `json:"zones,omitempty"`
}

// Endpoint is one endpoint's state. Omitted fields are zero, so an endpoint is healthy unless Unhealthy
// is set.
type Endpoint struct {
	ID        string  `json:"id"`
	Pool      string  `json:"pool"`
	Version   string  `json:"version,omitempty"` // model@version; empty for services
	Leaving   bool    `json:"leaving,omitempty"`
	Unhealthy bool    `json:"unhealthy,omitempty"`
	Cold      bool    `json:"cold,omitempty"`
	InFlight  int     `json:"in_flight,omitempty"`
	Limit     int     `json:"limit"`
	Running   int     `json:"running,omitempty"`
	Queued    int     `json:"queued,omitempty"`
	LatencyMS int     `json:"latency_ms,omitempty"`
	ErrorRate float64 `json:"error_rate,omitempty"`
}

// Zone is the spare capacity, in requests per pool, that another zone reported.
type Zone struct {
	Zone  string         `json:"zone"`
	Spare map[string]int `json:"spare"`
}

// Learned replaces the learner's estimates and plan, for all routes and kinds of requests.
type Learned struct {
	// Chance is, per cascade step, the probability that an answer passes, and also the step's
	// expected gain (decide.Planner.ExpectedGain). Steps beyond the list have 1.
	Chance []float64 `json:"chance"`
	// Accept is the lowest score at which a rated answer is delivered.
	Accept float64 `json:"accept"`
	// NoRater means that the rater is unavailable, Unrated that unrated answers are delivered.
	NoRater    bool `json:"blind,omitempty"`
	Unrated    bool `json:"unrated,omitempty"`
	StepTimeMS int  `json:"step_time_ms,omitempty"`
}

// Request is the arrival of a request; the expected decision is its first choice of an endpoint.
type Request struct {
	ID           string   `json:"id"`
	Customer     string   `json:"customer"`
	Route        string   `json:"route"`
	Method       string   `json:"method,omitempty"` // default POST
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	OutputTokens int      `json:"output_tokens,omitempty"`
	PrefixHash   uint64   `json:"prefix_hash,omitempty"`
	Pins         []string `json:"pins,omitempty"`        // model@version
	DeadlineMS   int64    `json:"deadline_ms,omitempty"` // from the arrival; default the route's
	Hops         int      `json:"hops,omitempty"`        // how often it was forwarded before
	// Seed seeds the random source for all decisions about the request.
	Seed uint64 `json:"seed"`
}

// Dispatch checks whether a request's last choice may still be dispatched. With Again, it makes another
// choice instead; this and all later choices for the request exclude the endpoint of the last one.
type Dispatch struct {
	ID    string `json:"id"`
	Again bool   `json:"again,omitempty"`
}

// Failure is a failed attempt of a request. Its fields are those of decide.FailedAttempt.
type Failure struct {
	ID        string          `json:"id"`
	Verdict   verdict.Verdict `json:"verdict"`
	Reason    verdict.Reason  `json:"reason"`
	Attempts  int             `json:"attempts"`
	Delivered bool            `json:"delivered,omitempty"`
	Resumable bool            `json:"resumable,omitempty"`
}

// Decision is the decision about a request, a dispatch or a failed attempt.
type Decision struct {
	// Step is the index of the cascade step and Pool its pool. Version is model@version. The request
	// goes to Endpoint or is forwarded to Zone.
	Step     int    `json:"step,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Version  string `json:"version,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Action is "go" after a permitted dispatch, or the action after a failed attempt.
	Action string `json:"action,omitempty"`
	// Refused is the reason of a refusal. Verdict states whether the request may have been executed.
	Refused verdict.Reason `json:"refused,omitempty"`
	Verdict string         `json:"verdict,omitempty"`
	// Reasons are the reasons for the decision, in order.
	Reasons []string `json:"reasons,omitempty"`
}

// Read reads a trace. An error about an invalid line names it, counted from 1.
func Read(r io.Reader) (Header, []Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 2*infra.MaxValueBytes)
	var header Header
	if !scanner.Scan() {
		return header, nil, fmt.Errorf("line 1: no header")
	}
	if err := json.Unmarshal(scanner.Bytes(), &header); err != nil || header.Format != formatName {
		return header, nil, fmt.Errorf("line 1: not a %s", formatName)
	}
	if header.Version != FormatVersion {
		return header, nil, fmt.Errorf("line 1: version %d, this program reads %d", header.Version, FormatVersion)
	}
	var lines []Line
	for number := 2; scanner.Scan(); number++ {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return header, nil, fmt.Errorf("line %d: %w", number, err)
		}
		lines = append(lines, line)
	}
	return header, lines, scanner.Err()
}
