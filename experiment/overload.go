package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	overloadEngines   = 12
	overloadInstances = 2
	engineSlots       = 8
	meanServiceTime   = time.Second
	overloadDuration  = 4 * time.Minute
	overloadDeadline  = 3 * time.Second
	reportInterval    = 500 * time.Millisecond
	reportLag         = time.Second
	failureDelay      = 5 * time.Millisecond // from a request to a failing engine until its error
	// Engine 0 fails every request at once in the second quarter of the run.
	faultyFrom, faultyTo = overloadDuration / 4, overloadDuration / 2
	errorWeight          = 0.2
	latencyWeight        = 0.1
	maxQueued            = 64
	// instanceLimit is the concurrency limit of one instance on one engine. Both instances together
	// exceed the engine's slots, so some requests queue in the engine.
	instanceLimit = 5
)

// capacity is the number of requests per second that the engines can serve.
const capacity = overloadEngines * engineSlots / int(meanServiceTime/time.Second)

// policy chooses endpoints and decides on retries and queueing.
type policy interface {
	// choose returns the index of the endpoint to dispatch to, or -1 if none can take the request.
	choose(inst *instance, req *callerRequest) int
	// retry reports whether to retry a request after a failed attempt.
	retry(inst *instance, req *callerRequest) bool
	// enqueue queues a request for which choose returned -1, or returns false to refuse it.
	enqueue(inst *instance, req *callerRequest) bool
}

// callerRequest is a caller's request and the state of its attempts.
type callerRequest struct {
	request         *decide.Request
	arrived         time.Duration
	deadline        time.Duration
	attempts        int
	failedEndpoints []machine.EndpointID
	started         bool
}

// instance is an entry instance with its own view of the engines.
type instance struct {
	sim     *overloadSimulation
	view    []machine.Endpoint
	waiting requestQueue
}

// Len implements decide.Candidates.
func (i *instance) Len() int { return len(i.view) }

// At implements decide.Candidates.
func (i *instance) At(n int, endpoint *machine.Endpoint) { *endpoint = i.view[n] }

var _ decide.Candidates = (*instance)(nil)

// overloadSimulation is one run of one policy.
type overloadSimulation struct {
	*loop
	policy    policy
	snapshot  *contract.Snapshot
	random    *rand.Rand
	engines   []*engine
	instances []*instance
	result    overloadResult
}

// newOverloadSimulation returns idle engines and instances.
func newOverloadSimulation(seed uint64, p policy) *overloadSimulation {
	w := &overloadSimulation{loop: &loop{}, policy: p, snapshot: exposureSnapshot(), random: rand.New(rand.NewPCG(seed, 3))}
	for i := range overloadEngines {
		failing := func(now time.Duration) bool { return i == 0 && now >= faultyFrom && now < faultyTo }
		random := rand.New(rand.NewPCG(seed, 1000+uint64(i)))
		w.engines = append(w.engines, &engine{loop: w.loop, random: random, slots: engineSlots, meanService: meanServiceTime, failing: failing})
	}
	for range overloadInstances {
		inst := &instance{sim: w}
		for i := range w.engines {
			inst.view = append(inst.view, machine.Endpoint{ID: machine.EndpointID(strconv.Itoa(i)), Pool: "engines", Zone: "zone-0",
				Version: oldVersion, Healthy: true, Limit: instanceLimit})
		}
		w.instances = append(w.instances, inst)
	}
	return w
}

// run simulates load times the capacity and returns the result.
func (w *overloadSimulation) run(load float64, arrivals *rand.Rand) overloadResult {
	at := time.Duration(0)
	rate := load * float64(capacity)
	for at < overloadDuration {
		at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		req := w.newCallerRequest(at, arrivals)
		target := w.instances[arrivals.IntN(overloadInstances)]
		w.after(at, func() { w.submit(target, req) })
	}
	for tick := time.Duration(0); tick < overloadDuration+overloadDeadline; tick += reportInterval {
		w.after(tick, w.updateReports)
	}
	w.loop.run()
	return w.result
}

func (w *overloadSimulation) newCallerRequest(at time.Duration, arrivals *rand.Rand) *callerRequest {
	customer := *w.snapshot.Customers["acme"]
	customer.Priority = 9 * arrivals.IntN(2) // half of the requests have priority 9, the others 0
	return &callerRequest{
		arrived:  at,
		deadline: at + overloadDeadline,
		request: &decide.Request{Customer: &customer, Route: w.snapshot.Routes["assistant"], Idempotent: true,
			Arrived: epoch.Add(at), Deadline: epoch.Add(at + overloadDeadline)},
	}
}

// updateReports records every engine's load and updates the instances' views with delayed reports.
func (w *overloadSimulation) updateReports() {
	for _, e := range w.engines {
		e.recordLoad()
	}
	for _, inst := range w.instances {
		for i := range inst.view {
			delayed := w.engines[i].loadBefore(reportLag)
			inst.view[i].ReportedRunning, inst.view[i].ReportedQueued = delayed.running, delayed.queued
			inst.view[i].ReportedAt = epoch.Add(delayed.at)
		}
	}
}

// submit counts a new request and sends it.
func (w *overloadSimulation) submit(target *instance, req *callerRequest) {
	w.result.offered++
	if req.request.Customer.Priority > 0 {
		w.result.important++
	}
	target.send(req)
}

// send starts the next attempt of a request, or queues or refuses it.
func (i *instance) send(req *callerRequest) {
	chosen := i.sim.policy.choose(i, req)
	if chosen < 0 {
		if !i.sim.policy.enqueue(i, req) {
			i.sim.result.refused++
		}
		return
	}
	w := i.sim
	req.attempts++
	w.result.attempts++
	i.view[chosen].InFlight++
	sent := w.now
	w.engines[chosen].accept(&call{
		deadline: req.deadline,
		started: func() {
			req.started = true
			w.result.recordFirstByte(req, w.now)
			updateLatency(&i.view[chosen].Latency, w.now-sent)
		},
		finished: func(complete bool) { i.finished(req, chosen, complete) },
	})
}

func updateLatency(latency *time.Duration, sample time.Duration) {
	*latency += time.Duration(latencyWeight * float64(sample-*latency))
}

// finished ends an attempt, retries a failed one if the policy allows it, and dispatches queued
// requests.
func (i *instance) finished(req *callerRequest, chosen int, complete bool) {
	endpoint := &i.view[chosen]
	endpoint.InFlight--
	failed := 0.0
	if !complete && i.sim.now <= req.deadline {
		failed = 1
	}
	endpoint.ErrorRate += errorWeight * (failed - endpoint.ErrorRate)
	if !complete && !req.started {
		req.failedEndpoints = append(req.failedEndpoints, endpoint.ID)
		if i.sim.now < req.deadline && i.sim.policy.retry(i, req) {
			i.sim.result.retries++
			i.send(req)
		}
	}
	i.dispatchQueued()
}

// dispatchQueued sends queued requests while the policy finds an endpoint.
func (i *instance) dispatchQueued() {
	for i.waiting.Len() > 0 {
		req := i.waiting.peek()
		if i.sim.now > req.deadline {
			i.waiting.pop()
			continue
		}
		if i.sim.policy.choose(i, req) < 0 {
			return
		}
		i.waiting.pop()
		i.send(req)
	}
}

// randomChoice sends to a uniformly random endpoint and retries without a retry budget.
type randomChoice struct{}

var _ policy = randomChoice{}

func (randomChoice) choose(inst *instance, _ *callerRequest) int {
	return inst.sim.random.IntN(len(inst.view))
}
func (randomChoice) retry(_ *instance, req *callerRequest) bool {
	return req.attempts < decide.MaxAttempts
}
func (randomChoice) enqueue(*instance, *callerRequest) bool { return false }

// leastReported sends to the endpoint with the lowest reported load and retries without a retry budget.
type leastReported struct{ randomChoice }

func (leastReported) choose(inst *instance, _ *callerRequest) int {
	best := 0
	for i := range inst.view {
		if reportedLoad(&inst.view[i]) < reportedLoad(&inst.view[best]) {
			best = i
		}
	}
	return best
}

func reportedLoad(e *machine.Endpoint) int { return e.ReportedRunning + e.ReportedQueued }

// routerPolicy runs the router's decision code.
type routerPolicy struct {
	picker decide.Picker
	budget *decide.RetryBudget
}

var _ policy = (*routerPolicy)(nil)

func (p *routerPolicy) choose(inst *instance, req *callerRequest) int {
	w := inst.sim
	if req.attempts == 0 && req.arrived == w.now {
		p.budget.Deposit(req.request.Customer.Name, "engines")
	}
	observation := &decide.Observation{Now: w.clock(), Zone: "zone-0", Pool: func(string) decide.Candidates { return inst }}
	choice, refusal := p.picker.Pick(w.snapshot, req.request, "engines", oldVersion, observation, req.failedEndpoints, w.random)
	if refusal != nil {
		return -1
	}
	chosen, _ := strconv.Atoi(string(choice.Endpoint.ID))
	return chosen
}

func (p *routerPolicy) retry(inst *instance, req *callerRequest) bool {
	failed := decide.FailedAttempt{Pool: "engines", Verdict: verdict.MayHaveRun, Reason: verdict.RetryServerError, Attempts: req.attempts}
	return decide.Retry(req.request, failed, p.budget, inst.sim.clock()).Action == decide.RetryOtherEndpoint
}

func (p *routerPolicy) enqueue(inst *instance, req *callerRequest) bool {
	queueState := decide.QueueState{
		Waiting:     inst.waiting.countAtLeast(req.request.Customer.Priority),
		MaxWaiting:  maxQueued,
		Concurrent:  overloadEngines * engineSlots / overloadInstances,
		ServiceTime: meanServiceTime,
	}
	if decide.Shed(req.request, queueState, inst.sim.clock()) != nil {
		return false
	}
	inst.waiting.push(req)
	return true
}
