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
	costRequests  = 30_000
	costRate      = 50.0 // requests per second
	qualityTarget = 0.85
	// driftLoss is subtracted from the cheap model's scores in the second half of the run.
	driftLoss = 0.1
	// Start and end of the rater's outage as shares of the run.
	outageFrom, outageTo = 0.4, 0.6
	// outageDetectionDelay is the time until the circuit breaker opens and ends the calls to the rater.
	outageDetectionDelay = time.Second
	serviceTime          = 600 * time.Millisecond
	ratingDelay          = 400 * time.Millisecond
	sampleShare          = 0.05
)

// costVariant selects the faults of a run.
type costVariant struct {
	name          string
	outage, drift bool
}

// job is one request with the scores of both models' answers; all policies run on the same jobs.
type job struct {
	arrival        time.Duration
	promptTokens   int
	outputTokens   int
	scores         [2]float64 // of the answers of step 0 (cheap) and step 1 (good)
	raterUp        bool       // at the time of the cheap answer's rating
	outageDetected bool       // the breaker is open on arrival
}

// costJobs draws the workload. Longer prompts tend to be harder, and the cheap model's score drops
// more with difficulty than the good model's.
func costJobs(variant costVariant, random *rand.Rand) []job {
	jobs := make([]job, costRequests)
	total := time.Duration(costRequests / costRate * float64(time.Second))
	outageStart, outageEnd := time.Duration(outageFrom*float64(total)), time.Duration(outageTo*float64(total))
	arrival := time.Duration(0)
	for i := range jobs {
		arrival += time.Duration(random.ExpFloat64() / costRate * float64(time.Second))
		relativeLength := random.Float64() // 0 for the shortest prompts, 1 for the longest
		difficulty := clamp(0.7*relativeLength + 0.3*random.Float64())
		j := job{arrival: arrival, promptTokens: 64 << int(5*relativeLength), outputTokens: 128 + random.IntN(256), raterUp: true}
		j.scores[0] = clamp(0.95 - 0.45*difficulty*difficulty + 0.08*random.NormFloat64())
		j.scores[1] = clamp(0.94 - 0.06*difficulty + 0.04*random.NormFloat64())
		if variant.drift && arrival > total/2 {
			j.scores[0] = clamp(j.scores[0] - driftLoss)
		}
		if ratedAt := arrival + serviceTime + ratingDelay; variant.outage && ratedAt > outageStart && ratedAt < outageEnd {
			j.raterUp = false
			j.outageDetected = arrival > outageStart+outageDetectionDelay
		}
		jobs[i] = j
	}
	return jobs
}

func clamp(x float64) float64 { return min(max(x, 0), 1) }

// costSnapshot returns a configuration with one cascade whose second step has ten times the token price
// of the first.
func costSnapshot() *contract.Snapshot {
	weight := 1.0
	version := func(price int64, quality float64) []contract.ModelVersion {
		return []contract.ModelVersion{{Name: "v1", State: contract.VersionActive, Weight: &weight, PromptPrice: price, OutputPrice: price, Quality: quality}}
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
			Pools: []string{"cheap", "good"}, QualityTarget: qualityTarget, DeadlineMS: 10_000}},
	})
}

func mustBuild(document *contract.Document) *contract.Snapshot {
	snapshot, err := contract.BuildAccepted(document, 1)
	if err != nil {
		panic(err) // experiments build constant documents only
	}
	return snapshot
}

// account sums the cost of all answers of a policy, and number and scores of the delivered ones.
type account struct {
	snapshot *contract.Snapshot
	cost     float64
	scoreSum float64
	answers  int
}

func (a *account) request(j *job) *decide.Request {
	route := a.snapshot.Routes["assistant"]
	return &decide.Request{
		Route: route, Customer: a.snapshot.Customers["acme"], Idempotent: true, PromptTokens: j.promptTokens, MaxOutputTokens: j.outputTokens,
		Arrived: epoch.Add(j.arrival), Deadline: epoch.Add(j.arrival + route.Deadline()),
	}
}

// price returns the cost of a step's answer in micro-units.
func (a *account) price(j *job, step int) float64 {
	pools := a.snapshot.Routes["assistant"].Pools
	return decide.Price(a.snapshot, a.request(j), pools[step])
}

func (a *account) charge(j *job, step int) { a.cost += a.price(j, step) }

func (a *account) deliver(j *job, step int) {
	a.scoreSum += j.scores[step]
	a.answers++
}

// singleStep answers every request with the same step.
func singleStep(a *account, jobs []job, step int) {
	for i := range jobs {
		a.charge(&jobs[i], step)
		a.deliver(&jobs[i], step)
	}
}

// fixedCascade runs the cheap step first and delivers its answer if it is rated at least threshold.
// Other requests, unrated ones included, go to the good step.
func fixedCascade(a *account, jobs []job, threshold float64) {
	for i := range jobs {
		j := &jobs[i]
		a.charge(j, 0)
		if j.raterUp && j.scores[0] >= threshold {
			a.deliver(j, 0)
			continue
		}
		a.charge(j, 1)
		a.deliver(j, 1)
	}
}

// clairvoyant knows all scores beforehand. It sends the requests with the highest gain in score per
// additional cost to the good step, as many as the quality target needs, and pays for one step each.
func clairvoyant(a *account, jobs []job) {
	type gain struct {
		index        int
		scorePerCost float64
	}
	gains := make([]gain, len(jobs))
	var scoreSum float64
	for i := range jobs {
		j := &jobs[i]
		extraCost := a.price(j, 1) - a.price(j, 0)
		gains[i] = gain{i, (j.scores[1] - j.scores[0]) / extraCost}
		scoreSum += j.scores[0]
	}
	slices.SortFunc(gains, func(x, y gain) int { return cmp.Compare(y.scorePerCost, x.scorePerCost) })
	for _, g := range gains {
		j := &jobs[g.index]
		step := 0
		if scoreSum < qualityTarget*float64(len(jobs)) && g.scorePerCost > 0 {
			step = 1
			scoreSum += j.scores[1] - j.scores[0]
		}
		a.charge(j, step)
		a.deliver(j, step)
	}
}

// routerCascade runs the router's decision code; ratings arrive after the rating delay.
func routerCascade(a *account, jobs []job, random *rand.Rand) {
	events := &loop{}
	planner := &outagePlanner{Learner: quality.NewLearner(quality.DefaultSettings(), fixedSource{a.snapshot})}
	for i := range jobs {
		j := &jobs[i]
		events.after(j.arrival, func() { serveJob(a, events, planner, j, random) })
	}
	events.run()
}

// serveJob runs one request through the router's cascade.
func serveJob(a *account, events *loop, planner *outagePlanner, j *job, random *rand.Rand) {
	request := a.request(j)
	planner.outageDetected = j.outageDetected
	step := decide.FirstStep(a.snapshot, request, planner, events.clock(), random)
	a.charge(j, step.Index)
	if !step.AwaitRating {
		events.after(serviceTime, func() { deliverUnrated(a, planner, request, j, step, random) })
		return
	}
	events.after(serviceTime+ratingDelay, func() {
		if j.raterUp {
			planner.Learn(request.Route.Name, decide.KindOf(request), step.Index, j.scores[step.Index])
			planner.ObserveRatingTime(request.Route.Name, events.clock().Sub(request.Arrived))
		}
		next, deliver := decide.NextStep(a.snapshot, request, step, j.scores[step.Index], j.raterUp, events.clock())
		if !deliver {
			a.charge(j, next.Index)
			events.after(serviceTime, func() { deliverUnrated(a, planner, request, j, next, random) })
			return
		}
		a.deliver(j, step.Index)
		if j.raterUp {
			planner.Delivered(request.Route, j.scores[step.Index])
		}
	})
}

// deliverUnrated delivers an answer without waiting for a rating. A sampleShare of these answers is
// rated for learning.
func deliverUnrated(a *account, planner *outagePlanner, request *decide.Request, j *job, step decide.Step, random *rand.Rand) {
	a.deliver(j, step.Index)
	route, kind := request.Route, decide.KindOf(request)
	score := planner.Mean(route.Name, kind, step.Index)
	if j.outageDetected {
		planner.DeliveredUnrated(route, score)
		return
	}
	planner.Delivered(route, score)
	if j.raterUp && random.Float64() < sampleShare {
		planner.Learn(route.Name, kind, step.Index, j.scores[step.Index])
	}
}

// outagePlanner is a learner whose plans account for an outage of the rater.
type outagePlanner struct {
	*quality.Learner
	outageDetected bool
}

var _ decide.Planner = (*outagePlanner)(nil)

// Plan implements decide.Planner.
func (p *outagePlanner) Plan(snapshot *contract.Snapshot, request *decide.Request) decide.Plan {
	plan := p.Learner.Plan(snapshot, request)
	plan.NoRater = p.outageDetected
	return plan
}

// fixedSource is a contract.Source with one snapshot.
type fixedSource struct{ snapshot *contract.Snapshot }

var _ contract.Source = fixedSource{}

// Current implements contract.Source.
func (f fixedSource) Current() *contract.Snapshot { return f.snapshot }
