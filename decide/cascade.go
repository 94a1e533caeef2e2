package decide

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// Quality is what has been learned of answers, per route, kind of request and cascade step.
type Quality interface {
	// PassChance is the chance that an answer of the step passes the route's threshold, and how
	// many ratings it rests on.
	PassChance(route string, kind Kind, step int) (chance float64, ratings int)
}

// Planner is a Quality that also steers the threshold at which answers are delivered.
type Planner interface {
	Quality
	// Plan returns how to run the route's cascade for a request now.
	Plan(snapshot *contract.Snapshot, request *Request) Plan
	// Worth is what trying the step is worth as a share of the price of the last step, when
	// answers are delivered from accept on: at most the chance that they are, and less the less
	// they exceed it.
	Worth(request *Request, step int, accept float64) float64
}

// Plan says how to run a cascade.
type Plan struct {
	// Accept is the lowest score at which a judged answer is delivered.
	Accept float64
	// Blind says that no ratings can be had now.
	Blind bool
	// Unrated says to deliver an answer that was not rated, by what was learned before.
	Unrated bool
	// StepTime is the usual time from a request's arrival until its first answer is rated; 0 if
	// unknown.
	StepTime time.Duration
}

// Kind sorts requests by how hard they look: the bucket of their prompt length.
type Kind uint8

// KindOf returns the kind of a request: the number of binary digits of its prompt tokens.
func KindOf(request *Request) Kind {
	var kind Kind
	for tokens := request.PromptTokens; tokens > 0; tokens >>= 1 {
		kind++
	}
	return kind
}

// Step is one step of a cascade.
type Step struct {
	Index int
	Pool  string
	// Version that answered; the entry instance sets it before the answer is judged.
	Version contract.VersionID
	// Judge says that the answer is held back until it is rated; false for the last step.
	Judge bool
	// Accept is the lowest score at which a judged answer is delivered.
	Accept float64
	// DeliverUnrated says that a judged answer is delivered if no rating came in time.
	DeliverUnrated bool
	Notes          []Note
}

// explore is the share of requests that try a step which the costs would skip, so that its pass
// chance goes on being learned. Such answers are judged like any other.
const explore = 0.02

// FirstStep chooses the cascade step to start with: the one with the lowest expected cost, which is
// its price plus the chance of failing times the cost of going on from there; later ones when the
// deadline leaves no time for two steps. Cascades that learn when to skip: Chen, Zaharia and Zou,
// "FrugalGPT", 2023.
func FirstStep(snapshot *contract.Snapshot, request *Request, quality Quality, now time.Time, random *rand.Rand) Step {
	last := len(request.Route.Pools) - 1
	if last == 0 || request.Route.QualityTarget <= 0 {
		return stepAt(request, 0, Plan{})
	}
	plan := planOf(snapshot, request, quality)
	if plan.Blind {
		return blindStep(request, plan)
	}
	if plan.StepTime > 0 && now.Add(2*plan.StepTime).After(request.Deadline) {
		step := stepAt(request, last, plan)
		return step.because("deadline", plan.StepTime.Seconds())
	}
	start, cost := cheapestStart(snapshot, request, quality, plan.Accept)
	if start > 0 && random.Float64() < explore {
		step := stepAt(request, start-1, plan)
		return step.because("explore", cost)
	}
	reason := "cascade"
	if start > 0 {
		reason = "skip_cheap"
	}
	step := stepAt(request, start, plan)
	return step.because(reason, cost)
}

// NextStep says what to do with a judged answer: deliver it, or go on with the next step. rated is
// false if the rater gave no answer in time.
func NextStep(snapshot *contract.Snapshot, request *Request, step Step, score float64, rated bool, now time.Time) (next Step, deliver bool) {
	if !step.Judge || now.After(request.Deadline) {
		return Step{}, true
	}
	if rated && score >= step.Accept || !rated && step.DeliverUnrated {
		return Step{}, true
	}
	plan := Plan{Accept: step.Accept, Unrated: step.DeliverUnrated}
	next = stepAt(request, step.Index+1, plan)
	return next.because("low_quality", score), false
}

// planOf asks the learner for its plan; one that does not plan accepts answers at the target.
func planOf(snapshot *contract.Snapshot, request *Request, quality Quality) Plan {
	planner, ok := quality.(Planner)
	if !ok {
		return Plan{Accept: request.Route.QualityTarget, Unrated: true}
	}
	return planner.Plan(snapshot, request)
}

// blindStep runs one step without judging it.
func blindStep(request *Request, plan Plan) Step {
	index := len(request.Route.Pools) - 1
	if plan.Unrated {
		index = 0
	}
	step := stepAt(request, index, plan)
	step.Judge = false
	return step.because("no_rater", 0)
}

// cheapestStart returns the step at which the cascade costs least, and that cost in micro-units of
// currency. A failed step goes on with the next one. Opening a step only if its worth exceeds its
// price is the rule of Weitzman, "Optimal search for the best alternative", 1979.
func cheapestStart(snapshot *contract.Snapshot, request *Request, quality Quality, accept float64) (start int, cost float64) {
	pools := request.Route.Pools
	last := len(pools) - 1
	goOn := Price(snapshot, request, pools[last])
	start, cost = last, goOn
	for i := last - 1; i >= 0; i-- {
		chance := worth(request, quality, i, accept)
		goOn = Price(snapshot, request, pools[i]) + (1-chance)*goOn
		if goOn <= cost {
			start, cost = i, goOn
		}
	}
	return start, cost
}

// worth asks the learner what a step is worth; one that does not plan knows pass chances only.
func worth(request *Request, quality Quality, step int, accept float64) float64 {
	if quality == nil {
		return 1
	}
	if planner, ok := quality.(Planner); ok {
		return planner.Worth(request, step, accept)
	}
	chance, _ := quality.PassChance(request.Route.Name, KindOf(request), step)
	return chance
}

const (
	tokensPerPrice      = 1000 // prices are per 1,000 tokens
	defaultOutputTokens = 256  // expected of a request without a limit
)

// Price is what one attempt in the pool is expected to cost, in micro-units of currency: the mean
// over the versions that serve new requests, by weight.
func Price(snapshot *contract.Snapshot, request *Request, name string) float64 {
	pool := snapshot.Pools[name]
	if pool == nil {
		return 0
	}
	model := snapshot.Models[pool.Model]
	if model == nil {
		return float64(pool.RequestPrice)
	}
	output := request.MaxOutputTokens
	if output == 0 {
		output = defaultOutputTokens
	}
	var sum, weights float64
	for i := range model.Versions {
		version := &model.Versions[i]
		id := contract.VersionID{Model: model.Name, Name: version.Name}
		if version.State != contract.VersionActive || !pool.Serves(id) {
			continue
		}
		tokens := float64(request.PromptTokens)*float64(version.PromptPrice) + float64(output)*float64(version.OutputPrice)
		sum += *version.Weight * tokens / tokensPerPrice
		weights += *version.Weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

func stepAt(request *Request, index int, plan Plan) Step {
	pools := request.Route.Pools
	judge := index < len(pools)-1 && request.Route.QualityTarget > 0
	return Step{Index: index, Pool: pools[index], Judge: judge, Accept: plan.Accept, DeliverUnrated: plan.Unrated}
}

func (s Step) because(reason string, value float64) Step {
	s.Notes = []Note{{Stage: "cascade", Reason: reason, Value: value}}
	return s
}
