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
	engineService     = time.Second
	overloadLength    = 4 * time.Minute
	overloadDeadline  = 3 * time.Second
	reportEvery       = 500 * time.Millisecond
	reportLag         = time.Second
	failFast          = 5 * time.Millisecond
	// One engine fails everything at once in the second quarter of the run.
	faultyFrom, faultyTo = overloadLength / 4, overloadLength / 2
	errorGain            = 0.2
	latencyGain          = 0.1
	maxWaiting           = 64
	// shareOfLimit is how many of an engine's slots and places in its queue an instance may use.
	shareOfLimit = 5
)

// capacity is the number of requests per second that the engines can serve.
const capacity = overloadEngines * engineSlots / int(engineService/time.Second)

// policy says where an attempt goes and what follows a failed one.
type policy interface {
	// choose returns an endpoint's index, or -1 to hold the request back.
	choose(at *instance, ask *ask) int
	retry(at *instance, ask *ask) bool
	// hold takes in a request that found no endpoint, and says whether it may wait.
	hold(at *instance, ask *ask) bool
}

// ask is one caller's request.
type ask struct {
	request  *decide.Request
	arrived  time.Duration
	deadline time.Duration
	attempts int
	failed   []machine.EndpointID
	begun    bool
}

// instance is an entry instance with its own view of the engines.
type instance struct {
	world   *overloadWorld
	view    []machine.Endpoint
	waiting waitingHeap
}

// Len implements decide.Candidates.
func (i *instance) Len() int { return len(i.view) }

// At implements decide.Candidates.
func (i *instance) At(n int, endpoint *machine.Endpoint) { *endpoint = i.view[n] }

var _ decide.Candidates = (*instance)(nil)

// overloadWorld is one run of one policy.
type overloadWorld struct {
	*loop
	policy    policy
	snapshot  *contract.Snapshot
	random    *rand.Rand
	engines   []*engine
	instances []*instance
	result    overloadResult
}

// newOverloadWorld returns idle engines and instances.
func newOverloadWorld(seed uint64, chosen policy) *overloadWorld {
	w := &overloadWorld{loop: &loop{}, policy: chosen, snapshot: exposureSnapshot(), random: rand.New(rand.NewPCG(seed, 3))}
	for i := range overloadEngines {
		failing := func(now time.Duration) bool { return i == 0 && now >= faultyFrom && now < faultyTo }
		random := rand.New(rand.NewPCG(seed, 1000+uint64(i)))
		w.engines = append(w.engines, &engine{loop: w.loop, random: random, slots: engineSlots, service: engineService, failing: failing})
	}
	for range overloadInstances {
		one := &instance{world: w}
		for i := range w.engines {
			one.view = append(one.view, machine.Endpoint{ID: machine.EndpointID(strconv.Itoa(i)), Pool: "engines", Zone: "zone-0",
				Version: oldVersion, Healthy: true, Limit: shareOfLimit})
		}
		w.instances = append(w.instances, one)
	}
	return w
}

// run offers the load and returns what came of it.
func (w *overloadWorld) run(load float64, arrivals *rand.Rand) overloadResult {
	at := time.Duration(0)
	rate := load * float64(capacity)
	for at < overloadLength {
		at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
		one := w.ask(at, arrivals)
		target := w.instances[arrivals.IntN(overloadInstances)]
		w.after(at, func() { w.offer(target, one) })
	}
	for tick := time.Duration(0); tick < overloadLength+overloadDeadline; tick += reportEvery {
		w.after(tick, w.refresh)
	}
	w.loop.run()
	return w.result
}

func (w *overloadWorld) ask(at time.Duration, arrivals *rand.Rand) *ask {
	customer := *w.snapshot.Customers["acme"]
	customer.Priority = 9 * arrivals.IntN(2) // half of the requests are important
	return &ask{
		arrived:  at,
		deadline: at + overloadDeadline,
		request: &decide.Request{Customer: &customer, Route: w.snapshot.Routes["assistant"], Idempotent: true,
			Arrived: epoch.Add(at), Deadline: epoch.Add(at + overloadDeadline)},
	}
}

// refresh lets engines report and instances read older reports.
func (w *overloadWorld) refresh() {
	for _, one := range w.engines {
		one.report()
	}
	for _, one := range w.instances {
		for i := range one.view {
			seen := w.engines[i].reported(reportLag)
			one.view[i].ReportedRunning, one.view[i].ReportedQueued = seen.running, seen.queued
			one.view[i].ReportedAt = epoch.Add(seen.at)
		}
	}
}

// offer gives an instance a new request.
func (w *overloadWorld) offer(at *instance, one *ask) {
	w.result.offered++
	if one.request.Customer.Priority > 0 {
		w.result.important++
	}
	at.send(one)
}

// send makes the next attempt of a request, or lets it wait.
func (i *instance) send(one *ask) {
	chosen := i.world.policy.choose(i, one)
	if chosen < 0 {
		if !i.world.policy.hold(i, one) {
			i.world.result.refused++
		}
		return
	}
	w := i.world
	one.attempts++
	w.result.attempts++
	i.view[chosen].InFlight++
	sent := w.now
	w.engines[chosen].take(&call{
		deadline: one.deadline,
		begun: func() {
			one.begun = true
			w.result.served(one, w.now)
			smooth(&i.view[chosen].Latency, w.now-sent)
		},
		done: func(whole bool) { i.done(one, chosen, whole) },
	})
}

func smooth(latency *time.Duration, seen time.Duration) {
	*latency += time.Duration(latencyGain * float64(seen-*latency))
}

// done ends an attempt, retries if the policy says so, and takes in a waiting request.
func (i *instance) done(one *ask, chosen int, whole bool) {
	endpoint := &i.view[chosen]
	endpoint.InFlight--
	failed := 0.0
	if !whole && i.world.now <= one.deadline {
		failed = 1
	}
	endpoint.ErrorRate += errorGain * (failed - endpoint.ErrorRate)
	if !whole && !one.begun {
		one.failed = append(one.failed, endpoint.ID)
		if i.world.now < one.deadline && i.world.policy.retry(i, one) {
			i.world.result.retries++
			i.send(one)
		}
	}
	i.next()
}

// next sends waiting requests while there is room.
func (i *instance) next() {
	for i.waiting.Len() > 0 {
		one := i.waiting.first()
		if i.world.now > one.deadline {
			i.waiting.drop()
			continue
		}
		if i.world.policy.choose(i, one) < 0 {
			return
		}
		i.waiting.drop()
		i.send(one)
	}
}

// randomChoice sends to any endpoint and retries without a budget.
type randomChoice struct{}

var _ policy = randomChoice{}

func (randomChoice) choose(at *instance, _ *ask) int { return at.world.random.IntN(len(at.view)) }
func (randomChoice) retry(_ *instance, one *ask) bool {
	return one.attempts < decide.MaxAttempts
}
func (randomChoice) hold(*instance, *ask) bool { return false }

// leastReported sends to the endpoint with the least reported load and retries without a budget.
type leastReported struct{ randomChoice }

func (leastReported) choose(at *instance, _ *ask) int {
	best := 0
	for i := range at.view {
		if busy(&at.view[i]) < busy(&at.view[best]) {
			best = i
		}
	}
	return best
}

func busy(e *machine.Endpoint) int { return e.ReportedRunning + e.ReportedQueued }

// own is the router's policy.
type own struct {
	picker decide.Picker
	budget *decide.RetryBudget
}

var _ policy = (*own)(nil)

func (o *own) choose(at *instance, one *ask) int {
	w := at.world
	if one.attempts == 0 && one.arrived == w.now {
		o.budget.Paid(one.request.Customer.Name, "engines")
	}
	seen := &decide.Observation{Now: w.clock(), Zone: "zone-0", Pool: func(string) decide.Candidates { return at }}
	choice, refusal := o.picker.Pick(w.snapshot, one.request, "engines", oldVersion, seen, one.failed, w.random)
	if refusal != nil {
		return -1
	}
	chosen, _ := strconv.Atoi(string(choice.Endpoint.ID))
	return chosen
}

func (o *own) retry(at *instance, one *ask) bool {
	failed := decide.Failed{Pool: "engines", Verdict: verdict.MayHaveRun, Reason: verdict.RetryServerError, Attempts: one.attempts}
	return decide.Retry(one.request, failed, o.budget, at.world.clock()).Action == decide.Elsewhere
}

func (o *own) hold(at *instance, one *ask) bool {
	pressure := decide.Pressure{
		Waiting:    at.waiting.atLeast(one.request.Customer.Priority),
		MaxWaiting: maxWaiting,
		Concurrent: overloadEngines * engineSlots / overloadInstances,
		Service:    engineService,
	}
	if decide.Shed(one.request, pressure, at.world.clock()) != nil {
		return false
	}
	at.waiting.add(one)
	return true
}
