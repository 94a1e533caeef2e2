package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Difference is a decision that differs from the expected one.
type Difference struct {
	Line       int // in the file, from 1
	Want, Have Decision
}

// String returns the line and both decisions as JSON.
func (d Difference) String() string {
	want, _ := json.Marshal(d.Want)
	have, _ := json.Marshal(d.Have)
	return fmt.Sprintf("line %d:\n  want %s\n  have %s", d.Line, want, have)
}

// traceStart is the wall-clock time at AtMS 0.
var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// player holds the state of a trace that is being replayed.
type player struct {
	picker   decide.Picker
	snapshot *contract.Snapshot
	observed *Observation
	learned  *Learned
	budget   *decide.RetryBudget
	requests map[string]*requestState
	now      time.Time
}

// requestState is a request of the trace and the latest choice for it.
type requestState struct {
	request  *decide.Request
	step     decide.Step
	choice   decide.Choice
	excluded []machine.EndpointID
	random   *rand.Rand
}

// Run replays lines with the picker and returns the differences and the number of decisions compared.
// An error names the invalid line; the results are then those of the lines before it.
func Run(lines []Line, picker decide.Picker) (differences []Difference, decisions int, err error) {
	p := &player{picker: picker, budget: decide.NewRetryBudget(), requests: make(map[string]*requestState)}
	for i := range lines {
		number := i + 2 // the header is line 1
		p.now = traceStart.Add(time.Duration(lines[i].AtMS) * time.Millisecond)
		have, err := p.play(&lines[i])
		if err != nil {
			return differences, decisions, fmt.Errorf("line %d: %w", number, err)
		}
		if have == nil {
			continue
		}
		if lines[i].Expect == nil {
			return differences, decisions, fmt.Errorf("line %d: states no expected decision", number)
		}
		decisions++
		difference := Difference{number, *lines[i].Expect, *have}
		if !equal(difference) {
			differences = append(differences, difference)
		}
	}
	return differences, decisions, nil
}

func equal(d Difference) bool {
	want, err1 := json.Marshal(d.Want)
	have, err2 := json.Marshal(d.Have)
	return err1 == nil && err2 == nil && string(want) == string(have)
}

func (p *player) play(line *Line) (*Decision, error) {
	switch {
	case line.Config != nil:
		return nil, p.configure(line.Config)
	case line.Observation != nil:
		p.observed = line.Observation
		return nil, nil
	case line.Learned != nil:
		p.learned = line.Learned
		return nil, nil
	}
	if p.snapshot == nil || p.observed == nil {
		return nil, errors.New("no configuration or no observation yet")
	}
	switch {
	case line.Request != nil:
		return p.request(line.Request)
	case line.Dispatch != nil:
		return p.dispatch(line.Dispatch)
	case line.Failure != nil:
		return p.failure(line.Failure)
	}
	return nil, errors.New("no event in the line")
}

func (p *player) configure(config *Config) error {
	document, err := contract.Parse("document", []byte(config.Document))
	if err != nil {
		return err
	}
	p.snapshot, err = contract.BuildAccepted(document, contract.Revision(config.Revision))
	return err
}

func (p *player) request(line *Request) (*Decision, error) {
	customer, route := p.snapshot.Customers[line.Customer], p.snapshot.Routes[line.Route]
	if customer == nil || route == nil {
		return nil, fmt.Errorf("unknown customer %q or route %q", line.Customer, line.Route)
	}
	method := line.Method
	if method == "" {
		method = "POST"
	}
	deadline := route.Deadline()
	if line.DeadlineMS > 0 {
		deadline = time.Duration(line.DeadlineMS) * time.Millisecond
	}
	state := &requestState{
		request: &decide.Request{
			ID: line.ID, Customer: customer, Route: route, Method: method, Idempotent: route.Idempotent(method),
			PromptTokens: line.PromptTokens, MaxOutputTokens: line.OutputTokens, PrefixHash: line.PrefixHash,
			Arrived: p.now, Deadline: p.now.Add(deadline), Hops: line.Hops,
		},
		random: rand.New(rand.NewPCG(line.Seed, line.Seed)),
	}
	for _, pin := range line.Pins {
		state.request.MorePins = append(state.request.MorePins, versionOf(pin))
	}
	p.requests[line.ID] = state
	p.budget.Deposit(customer.Name, route.Pools[0])
	state.step = decide.FirstStep(p.snapshot, state.request, p.quality(), p.now, state.random)
	return p.choose(state), nil
}

// choose chooses version and endpoint for the request's current cascade step.
func (p *player) choose(state *requestState) *Decision {
	decision := &Decision{Step: state.step.Index, Pool: state.step.Pool}
	decision.note(state.step.Notes)
	pool := p.snapshot.Pools[state.step.Pool]
	var version contract.VersionID
	if pool.Kind == contract.PoolEngine {
		var refusal *verdict.Refusal
		if version, refusal = decide.Version(p.snapshot, state.request, pool, state.random); refusal != nil {
			return decision.refuse(refusal)
		}
		decision.Version = version.String()
	}
	choice, refusal := p.picker.Pick(p.snapshot, state.request, pool.Name, version, p.observation(), state.excluded, state.random)
	if refusal != nil {
		return decision.refuse(refusal)
	}
	state.choice = choice
	decision.Endpoint, decision.Zone = string(choice.Endpoint.ID), choice.Zone
	decision.note(choice.Notes)
	return decision
}

func (p *player) dispatch(line *Dispatch) (*Decision, error) {
	state := p.requests[line.ID]
	if state == nil {
		return nil, fmt.Errorf("unknown request %q", line.ID)
	}
	if line.Again {
		state.excluded = append(state.excluded, state.choice.Endpoint.ID)
		return p.choose(state), nil
	}
	decision := &Decision{}
	if refusal := decide.Dispatchable(p.snapshot, state.request, &state.choice); refusal != nil {
		return decision.refuse(refusal), nil
	}
	decision.Action = "go"
	return decision, nil
}

func (p *player) failure(line *Failure) (*Decision, error) {
	state := p.requests[line.ID]
	if state == nil {
		return nil, fmt.Errorf("unknown request %q", line.ID)
	}
	next := decide.Retry(state.request, decide.FailedAttempt{
		Pool: state.choice.Pool, Verdict: line.Verdict, Reason: line.Reason,
		Attempts: line.Attempts, Delivered: line.Delivered, Resumable: line.Resumable,
	}, p.budget, p.now)
	decision := &Decision{Action: next.Action.String()}
	decision.note(next.Notes)
	if next.Refusal != nil {
		decision.refuse(next.Refusal)
	}
	return decision, nil
}

func (d *Decision) refuse(refusal *verdict.Refusal) *Decision {
	d.Refused, d.Verdict = refusal.Reason, refusal.Verdict.String()
	return d
}

// note appends the reasons of notes.
func (d *Decision) note(notes []decide.Note) {
	for _, note := range notes {
		d.Reasons = append(d.Reasons, note.Reason)
	}
}

// versionOf parses model@version.
func versionOf(text string) contract.VersionID {
	model, name, _ := strings.Cut(text, "@")
	return contract.VersionID{Model: model, Name: name}
}
