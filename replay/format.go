// Package replay runs recorded traces through today's decisions and compares the outcomes with the
// stated ones.
//
// A trace is a file of JSON lines. The first line is the Header. Each further line is a Line with
// exactly one of its parts set: a configuration, an observation, what had been learned, a request,
// a dispatch or a failed attempt. The last three carry the decision that is expected of them. Parts
// hold for all later lines until replaced. Times are milliseconds from the trace's start.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/verdict"
)

// FormatVersion is the version of the format that this package reads.
const FormatVersion = 1

// formatName marks a file as a trace.
const formatName = "plumbarrow-trace"

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// About says in a sentence what the trace shows.
	About string `json:"about,omitempty"`
}

// Line is one event of a trace. AtMS is its time.
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

// Config puts a document into force.
type Config struct {
	Revision uint64 `json:"revision"`
	// Document is TOML, as operators write it.
	Document string `json:"document"`
}

// Observation is what the instance knows of its own zone's endpoints and of other zones.
type Observation struct {
	Zone      string     `json:"zone"`
	Endpoints []Endpoint `json:"endpoints"`
	Zones     []Zone     `json:"zones,omitempty"`
}

// Endpoint is one endpoint's state; omitted fields are zero, and an endpoint is healthy unless it
// says otherwise.
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

// Zone is the spare capacity that another zone reported, per pool.
type Zone struct {
	Zone  string         `json:"zone"`
	Spare map[string]int `json:"spare"`
}

// Learned is what had been learned of answers, the same for all routes and kinds of requests.
type Learned struct {
	// Chance per step that an answer passes; also what the step is worth.
	Chance []float64 `json:"chance"`
	Accept float64   `json:"accept"`
	// Blind says that the rater is out; Unrated says to deliver unrated answers.
	Blind      bool `json:"blind,omitempty"`
	Unrated    bool `json:"unrated,omitempty"`
	StepTimeMS int  `json:"step_time_ms,omitempty"`
}

// Request asks for the first choice of a request.
type Request struct {
	ID           string   `json:"id"`
	Customer     string   `json:"customer"`
	Route        string   `json:"route"`
	Method       string   `json:"method,omitempty"` // default POST
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	OutputTokens int      `json:"output_tokens,omitempty"`
	PrefixHash   uint64   `json:"prefix_hash,omitempty"`
	Pins         []string `json:"pins,omitempty"` // model@version
	DeadlineMS   int64    `json:"deadline_ms,omitempty"`
	Hops         int      `json:"hops,omitempty"`
	// Seed of the random source of all decisions about the request.
	Seed uint64 `json:"seed"`
}

// Dispatch sends a request's last choice; Again asks for another choice instead, avoiding the
// endpoints chosen before.
type Dispatch struct {
	ID    string `json:"id"`
	Again bool   `json:"again,omitempty"`
}

// Failure is a failed attempt of a request.
type Failure struct {
	ID        string          `json:"id"`
	Verdict   verdict.Verdict `json:"verdict"`
	Reason    verdict.Reason  `json:"reason"`
	Attempts  int             `json:"attempts"`
	Delivered bool            `json:"delivered,omitempty"`
	Resumable bool            `json:"resumable,omitempty"`
}

// Decision is the outcome of a request, a dispatch or a failed attempt.
type Decision struct {
	// Step and Pool of the cascade, Version as model@version, Endpoint or Zone.
	Step     int    `json:"step,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Version  string `json:"version,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Action after a dispatch ("go") or a failed attempt.
	Action string `json:"action,omitempty"`
	// Refused is the reason of a refusal, and Verdict what it says about the execution.
	Refused verdict.Reason `json:"refused,omitempty"`
	Verdict string         `json:"verdict,omitempty"`
	// Reasons are the notes' reasons in order.
	Reasons []string `json:"reasons,omitempty"`
}

// Read reads a trace. Errors name the line.
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
