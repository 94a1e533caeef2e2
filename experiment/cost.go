package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/quality"
)

const (
	costRequests = 30_000
	costRate     = 50.0 // requests per second
	costTarget   = 0.85
	// driftLoss is how much worse the cheap model's answers become half-way.
	driftLoss = 0.1
	// The rater is out for a fifth of the time, starting after two fifths.
	outageFrom, outageTo = 0.4, 0.6
	// outageNoticed is how long the breaker takes to stop asking.
	outageNoticed = time.Second
	service       = 600 * time.Millisecond
	ratingDelay   = 400 * time.Millisecond
	sampleShare   = 0.05
)

// costVariant is a fault in the run.
type costVariant struct {
	name          string
	outage, drift bool
}

// job is one request with what each model would answer, the same for all policies.
type job struct {
	at     time.Duration
	prompt int
	output int
	scores [2]float64 // of the cheap and the good step
	rated  bool       // whether the rater is up when the cheap answer is ready
	blind  bool       // whether the breaker has noticed an outage at arrival
}

// costJobs draws the workload: longer prompts tend to be harder, and the cheap model loses more on
// hard ones.
func costJobs(variant costVariant, random *rand.Rand) []job {
	jobs := make([]job, costRequests)
	total := time.Duration(costRequests / costRate * float64(time.Second))
	from, to := time.Duration(outageFrom*float64(total)), time.Duration(outageTo*float64(total))
	at := time.Duration(0)
	for i := range jobs {
		at += time.Duration(random.ExpFloat64() / costRate * float64(time.Second))
		length := random.Float64() // 0 for the shortest prompts, 1 for the longest
		hard := clamp(0.7*length + 0.3*random.Float64())
		one := job{at: at, prompt: 64 << int(5*length), output: 128 + random.IntN(256), rated: true}
		one.scores[0] = clamp(0.95 - 0.45*hard*hard + 0.08*random.NormFloat64())
		one.scores[1] = clamp(0.94 - 0.06*hard + 0.04*random.NormFloat64())
		if variant.drift && at > total/2 {
			one.scores[0] = clamp(one.scores[0] - driftLoss)
		}
		if ready := at + service + ratingDelay; variant.outage && ready > from && ready < to {
			one.rated = false
			one.blind = at > from+outageNoticed
		}
		jobs[i] = one
	}
	return jobs
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }

// costSnapshot has one cascade whose second step costs ten times the first.
func costSnapshot() *contract.Snapshot {
	one := 1.0
	version := func(price int64, quality float64) []contract.ModelVersion {
		return []contract.ModelVersion{{Name: "v1", State: contract.VersionActive, Weight: &one, PromptPrice: price, OutputPrice: price, Quality: quality}}
	}
	pool := func(name, model string) contract.Pool {
		return contract.Pool{Name: name, Kind: contract.PoolEngine, Model: model, Routes: []string{"assistant"}}
	}
	return mustBuild(&contract.Document{
		Zones:     []contract.Zone{{Name: "nbo-a", Region: "nairobi"}},
		Customers: []contract.Customer{{Name: "acme", KeyHashes: []string{contract.HashKey("k")}, Models: []string{"small", "large"}}},
		Models:    []contract.Model{{Name: "small", Versions: version(100, 0.75)}, {Name: "large", Versions: version(1000, 0.9)}},
		Pools:     []contract.Pool{pool("cheap", "small"), pool("good", "large")},
		Routes: []contract.Route{{Name: "assistant", Customers: []string{"acme"}, Model: "assistant",
			Pools: []string{"cheap", "good"}, QualityTarget: costTarget, DeadlineMS: 10_000}},
	})
}

func mustBuild(document *contract.Document) *contract.Snapshot {
	snapshot, err := contract.BuildAccepted(document, 1)
	if err != nil {
		panic(err) // the documents of experiments are constants
	}
	return snapshot
}

// account adds up what a policy delivered.
type account struct {
	snapshot *contract.Snapshot
	cost     float64
	score    float64
	n        int
}

func (a *account) request(one *job) *decide.Request {
	route := a.snapshot.Routes["assistant"]
	return &decide.Request{
		Route: route, Customer: a.snapshot.Customers["acme"], Idempotent: true, PromptTokens: one.prompt, MaxOutputTokens: one.output,
		Arrived: epoch.Add(one.at), Deadline: epoch.Add(one.at + route.Deadline()),
	}
}

// price is what an answer of a step costs.
func (a *account) price(one *job, step int) float64 {
	pools := a.snapshot.Routes["assistant"].Pools
	return decide.Price(a.snapshot, a.request(one), pools[step])
}

func (a *account) pay(one *job, step int) { a.cost += a.price(one, step) }

func (a *account) deliver(one *job, step int) {
	a.score += one.scores[step]
	a.n++
}

// only answers every request with one step.
func only(a *account, jobs []job, step int) {
	for i := range jobs {
		a.pay(&jobs[i], step)
		a.deliver(&jobs[i], step)
	}
}

// fixedCascade tries the cheap step first and delivers it at a fixed threshold; what is not rated
// goes on.
func fixedCascade(a *account, jobs []job, threshold float64) {
	for i := range jobs {
		one := &jobs[i]
		a.pay(one, 0)
		if one.rated && one.scores[0] >= threshold {
			a.deliver(one, 0)
			continue
		}
		a.pay(one, 1)
		a.deliver(one, 1)
	}
}

// clairvoyant knows all scores beforehand. It sends to the good step only, and just as many, those
// requests that gain most for their price.
func clairvoyant(a *account, jobs []job) {
	type gain struct {
		at    int
		worth float64
	}
	gains := make([]gain, len(jobs))
	var sum float64
	for i := range jobs {
		one := &jobs[i]
		extra := a.price(one, 1) - a.price(one, 0)
		gains[i] = gain{i, (one.scores[1] - one.scores[0]) / extra}
		sum += one.scores[0]
	}
	slices.SortFunc(gains, func(x, y gain) int { return cmp.Compare(y.worth, x.worth) })
	for _, next := range gains {
		one := &jobs[next.at]
		step := 0
		if sum < costTarget*float64(len(jobs)) && next.worth > 0 {
			step = 1
			sum += one.scores[1] - one.scores[0]
		}
		a.pay(one, step)
		a.deliver(one, step)
	}
}

// learned runs the router's own decisions with ratings that arrive late.
func learned(a *account, jobs []job, random *rand.Rand) {
	events := &loop{}
	planner := &outagePlanner{Learner: quality.NewLearner(quality.DefaultSettings(), fixedSource{a.snapshot})}
	for i := range jobs {
		one := &jobs[i]
		events.after(one.at, func() { serveJob(a, events, planner, one, random) })
	}
	events.run()
}

// serveJob runs one request through the cascade.
func serveJob(a *account, events *loop, planner *outagePlanner, one *job, random *rand.Rand) {
	request := a.request(one)
	planner.blind = one.blind
	step := decide.FirstStep(a.snapshot, request, planner, events.clock(), random)
	a.pay(one, step.Index)
	if !step.Judge {
		events.after(service, func() { deliverUnjudged(a, planner, request, one, step, random) })
		return
	}
	events.after(service+ratingDelay, func() {
		if one.rated {
			planner.Learn(request.Route.Name, decide.KindOf(request), step.Index, one.scores[step.Index])
			planner.Took(request.Route.Name, events.clock().Sub(request.Arrived))
		}
		next, deliver := decide.NextStep(a.snapshot, request, step, one.scores[step.Index], one.rated, events.clock())
		if !deliver {
			a.pay(one, next.Index)
			events.after(service, func() { deliverUnjudged(a, planner, request, one, next, random) })
			return
		}
		a.deliver(one, step.Index)
		if one.rated {
			planner.Delivered(request.Route, one.scores[step.Index])
		}
	})
}

// deliverUnjudged delivers an answer that was not rated; a share of them is rated afterwards.
func deliverUnjudged(a *account, planner *outagePlanner, request *decide.Request, one *job, step decide.Step, random *rand.Rand) {
	a.deliver(one, step.Index)
	route, kind := request.Route, decide.KindOf(request)
	score := planner.Mean(route.Name, kind, step.Index)
	if one.blind {
		planner.DeliveredBlind(route, score)
		return
	}
	planner.Delivered(route, score)
	if one.rated && random.Float64() < sampleShare {
		planner.Learn(route.Name, kind, step.Index, one.scores[step.Index])
	}
}

// outagePlanner is a learner whose rater is out at times.
type outagePlanner struct {
	*quality.Learner
	blind bool
}

var _ decide.Planner = (*outagePlanner)(nil)

// Plan implements decide.Planner.
func (p *outagePlanner) Plan(snapshot *contract.Snapshot, request *decide.Request) decide.Plan {
	plan := p.Learner.Plan(snapshot, request)
	plan.Blind = p.blind
	return plan
}

// fixedSource always gives the same snapshot.
type fixedSource struct{ snapshot *contract.Snapshot }

var _ contract.Source = fixedSource{}

// Current implements contract.Source.
func (f fixedSource) Current() *contract.Snapshot { return f.snapshot }
