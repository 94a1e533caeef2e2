package decide

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// Quality estimates the quality of answers per route, kind of request and cascade step.
type Quality interface {
	// PassChance returns the probability that an answer of the step reaches the route's quality
	// target, and the number of ratings behind the estimate.
	PassChance(route string, kind Kind, step int) (chance float64, ratings int)
}

// Planner is a Quality that also sets the score from which answers are delivered.
type Planner interface {
	Quality
	// Plan returns the parameters with which to run the route's cascade for a request now.
	Plan(snapshot *contract.Snapshot, request *Request) Plan
	// ExpectedGain returns the expected gain from running the step, as a share of the price of the
	// last step. accept is the lowest score at which an answer is delivered. The gain is at most the
	// probability that an answer reaches accept, and falls as the expected excess over accept
	// shrinks.
	ExpectedGain(request *Request, step int, accept float64) float64
}

// Plan holds the parameters of one run of a cascade.
type Plan struct {
	// Accept is the lowest score, 0 to 1, at which a rated answer is delivered.
	Accept float64
	// NoRater is set while no rater is available.
	NoRater bool
	// DeliverUnrated is set if earlier ratings justify delivering an answer that was not rated.
	DeliverUnrated bool
	// StepTime is the typical time from a request's arrival until its first answer is rated; 0 if
	// unknown.
	StepTime time.Duration
}

// Kind classifies requests by their likely difficulty. It is a logarithmic bucket of the prompt length.
type Kind uint8

// KindOf returns the kind of a request: the bit length of its number of prompt tokens.
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
	// Version that answered; the entry instance sets it before the answer is rated.
	Version contract.VersionID
	// AwaitRating is set if the answer is held back until it is rated; false for the last step.
	AwaitRating bool
	// Accept is the lowest score, 0 to 1, at which a rated answer is delivered.
	Accept float64
	// DeliverUnrated is set if an answer held for rating is delivered when no rating arrives in time.
	DeliverUnrated bool
	Notes          []Note
}

// exploreShare is the fraction of requests that run a step which would be skipped on cost, so that the
// estimate of its pass probability stays current. Such answers are rated like any other.
const exploreShare = 0.02

// FirstStep chooses the cascade step to start with: the one with the lowest expected cost, which is
// its price plus the probability of failure times the cost of the steps after it. If the deadline
// leaves no time for two steps, it is the last step. For cascades that learn when to skip a step see
// Chen, Zaharia and Zou, "FrugalGPT", 2023.
func FirstStep(snapshot *contract.Snapshot, request *Request, quality Quality, now time.Time, random *rand.Rand) Step {
	last := len(request.Route.Pools) - 1
	if last == 0 || request.Route.QualityTarget <= 0 {
		return stepAt(request, 0, Plan{})
	}
	plan := planOf(snapshot, request, quality)
	if plan.NoRater {
		return stepWithoutRater(request, plan)
	}
	if plan.StepTime > 0 && now.Add(2*plan.StepTime).After(request.Deadline) {
		step := stepAt(request, last, plan)
		return step.withReason("deadline", plan.StepTime.Seconds())
	}
	start, cost := cheapestStart(snapshot, request, quality, plan.Accept)
	if start > 0 && random.Float64() < exploreShare {
		step := stepAt(request, start-1, plan)
		return step.withReason("explore", cost)
	}
	reason := "cascade"
	if start > 0 {
		reason = "skip_cheap"
	}
	step := stepAt(request, start, plan)
	return step.withReason(reason, cost)
}

// NextStep decides whether to deliver an answer that was held for rating or to run the next step. rated
// is false if the rater did not reply in time; score is then ignored.
func NextStep(snapshot *contract.Snapshot, request *Request, step Step, score float64, rated bool, now time.Time) (next Step, deliver bool) {
	if !step.AwaitRating || now.After(request.Deadline) {
		return Step{}, true
	}
	if rated && score >= step.Accept || !rated && step.DeliverUnrated {
		return Step{}, true
	}
	plan := Plan{Accept: step.Accept, DeliverUnrated: step.DeliverUnrated}
	next = stepAt(request, step.Index+1, plan)
	return next.withReason("low_quality", score), false
}

// planOf returns the plan of quality, or one that accepts answers at the route's quality target if
// quality is not a Planner.
func planOf(snapshot *contract.Snapshot, request *Request, quality Quality) Plan {
	planner, ok := quality.(Planner)
	if !ok {
		return Plan{Accept: request.Route.QualityTarget, DeliverUnrated: true}
	}
	return planner.Plan(snapshot, request)
}

// stepWithoutRater returns the only step to run while no rater is available: the first one if its
// unrated answers may be delivered, else the last one.
func stepWithoutRater(request *Request, plan Plan) Step {
	index := len(request.Route.Pools) - 1
	if plan.DeliverUnrated {
		index = 0
	}
	step := stepAt(request, index, plan)
	step.AwaitRating = false
	return step.withReason("no_rater", 0)
}

// cheapestStart returns the step from which the cascade has the lowest expected cost, and that cost in
// micro-units of currency. A failed step is followed by the next one. Running a step only if its
// expected gain exceeds its price is the rule of Weitzman, "Optimal search for the best alternative",
// 1979.
func cheapestStart(snapshot *contract.Snapshot, request *Request, quality Quality, accept float64) (start int, cost float64) {
	pools := request.Route.Pools
	last := len(pools) - 1
	costToGo := Price(snapshot, request, pools[last])
	start, cost = last, costToGo
	for i := last - 1; i >= 0; i-- {
		gain := expectedGain(request, quality, i, accept)
		costToGo = Price(snapshot, request, pools[i]) + (1-gain)*costToGo
		if costToGo <= cost {
			start, cost = i, costToGo
		}
	}
	return start, cost
}

// expectedGain returns the expected gain of a step, see Planner.ExpectedGain: 1 without a Quality, and
// the pass probability if quality is not a Planner.
func expectedGain(request *Request, quality Quality, step int, accept float64) float64 {
	if quality == nil {
		return 1
	}
	if planner, ok := quality.(Planner); ok {
		return planner.ExpectedGain(request, step, accept)
	}
	chance, _ := quality.PassChance(request.Route.Name, KindOf(request), step)
	return chance
}

const (
	tokensPerPriceUnit  = 1000 // prices are per 1,000 tokens
	defaultOutputTokens = 256  // assumed for requests without an output limit
)

// Price returns the expected cost of one attempt in the named pool, in micro-units of currency: the
// weighted mean over the versions that serve new requests. It is 0 if the pool is not configured or no
// version serves it.
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
		sum += *version.Weight * tokens / tokensPerPriceUnit
		weights += *version.Weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

func stepAt(request *Request, index int, plan Plan) Step {
	pools := request.Route.Pools
	awaitRating := index < len(pools)-1 && request.Route.QualityTarget > 0
	return Step{Index: index, Pool: pools[index], AwaitRating: awaitRating, Accept: plan.Accept, DeliverUnrated: plan.DeliverUnrated}
}

func (s Step) withReason(reason string, value float64) Step {
	s.Notes = []Note{{Stage: "cascade", Reason: reason, Value: value}}
	return s
}
