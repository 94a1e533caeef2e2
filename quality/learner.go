package quality

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
)

const (
	learnerShards = 16
	// timeGain and priceGain smooth the time until an answer is rated and the last step's price.
	timeGain  = 0.05
	priceGain = 0.01
	// Ends of the leniency, in points of score at the usual price.
	minLeniency, maxLeniency = -1, 4
)

// Learner learns from ratings how well each step of each route answers each kind of request, and
// steers the route's leniency. Its size grows with routes times kinds times steps. Safe for
// concurrent use.
//
// An answer is delivered if it falls short of what the last step would be expected to score by no
// more than the leniency times the last step's price for this request, relative to the usual price:
// the condition for the least cost at a given mean score, with the leniency as its multiplier. The
// leniency follows the answers delivered: each one below the target lowers it and each one above
// raises it, in proportion. The mean of n delivered answers then differs from the target by at most
// range/(gain*n), whatever the scores do, as long as the leniency stays off its ends; the argument
// is that of adaptive conformal inference (Gibbs and Candès, 2021). While no ratings can be had a
// second leniency does the same with the scores that were learned before.
type Learner struct {
	settings Settings
	source   contract.Source
	fade     float64
	shards   [learnerShards]learnerShard
}

type learnerShard struct {
	mu     sync.Mutex
	routes map[string]*routeState
}

type routeState struct {
	target   float64 // for which the leniencies were learned
	leniency float64
	blind    float64 // the leniency while no ratings can be had
	price    float64 // usual price of the last step, in micro-units of currency
	steps    map[stepKey]*scores
	byStep   map[int]*scores
	stepTime time.Duration
}

type stepKey struct {
	kind decide.Kind
	step int
}

var _ decide.Planner = (*Learner)(nil)

// NewLearner returns a learner that knows the configured qualities only.
func NewLearner(settings Settings, source contract.Source) *Learner {
	l := &Learner{
		settings: settings,
		source:   source,
		fade:     math.Exp2(-1 / float64(settings.HalfLife)),
	}
	for i := range l.shards {
		l.shards[i].routes = make(map[string]*routeState)
	}
	return l
}

// with runs f on the state of a route under its shard's lock.
func (l *Learner) with(route string, f func(state *routeState)) {
	shard := &l.shards[xxhash.Sum64String(route)%learnerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state := shard.routes[route]
	if state == nil {
		state = &routeState{steps: make(map[stepKey]*scores), byStep: make(map[int]*scores)}
		shard.routes[route] = state
	}
	f(state)
}

// steer starts anew when the route's target has changed: at the usual price an answer must then
// reach the target.
func (s *routeState) steer(target, best float64) {
	if s.target == target {
		return
	}
	s.target = target
	s.leniency = max(best-target, 0)
	s.blind = s.leniency
}

// Learn enters a rating of a step's answer. Late ratings are as good as others.
func (l *Learner) Learn(route string, kind decide.Kind, step int, score float64) {
	l.with(route, func(state *routeState) {
		key := stepKey{kind, step}
		if state.steps[key] == nil {
			state.steps[key] = &scores{}
		}
		if state.byStep[step] == nil {
			state.byStep[step] = &scores{}
		}
		state.steps[key].add(score, l.fade)
		state.byStep[step].add(score, l.fade)
	})
}

// Delivered moves the route's leniency by what an answer that reached a caller scored.
func (l *Learner) Delivered(route *contract.Route, score float64) {
	l.with(route.Name, func(state *routeState) {
		state.leniency = l.moved(state.leniency, score-route.QualityTarget)
	})
}

// DeliveredBlind does the same while no ratings can be had; score is what was learned before.
func (l *Learner) DeliveredBlind(route *contract.Route, score float64) {
	l.with(route.Name, func(state *routeState) {
		state.blind = l.moved(state.blind, score-route.QualityTarget)
	})
}

func (l *Learner) moved(leniency, surplus float64) float64 {
	return min(max(leniency+l.settings.Gain*surplus, minLeniency), maxLeniency)
}

// Took enters the time from a request's arrival until its first answer was rated.
func (l *Learner) Took(route string, elapsed time.Duration) {
	l.with(route, func(state *routeState) {
		if state.stepTime == 0 {
			state.stepTime = elapsed
			return
		}
		state.stepTime += time.Duration(timeGain * float64(elapsed-state.stepTime))
	})
}

// PassChance implements decide.Quality, at the usual price.
func (l *Learner) PassChance(route string, kind decide.Kind, step int) (chance float64, ratings int) {
	prior := l.prior(route, step)
	accept := l.target(route)
	l.with(route, func(state *routeState) {
		pass := func(s *scores) float64 { return s.above(accept) }
		chance, ratings = l.estimate(state, stepKey{kind, step}, priorPass(prior, accept), pass)
	})
	return chance, ratings
}

// Worth implements decide.Planner. A passing answer saves the last step's price and costs what it
// falls short of the last step's score, which is worth that price at the threshold and nothing at
// the last step's score.
func (l *Learner) Worth(request *decide.Request, step int, accept float64) (worth float64) {
	route := request.Route
	kind := decide.KindOf(request)
	span := l.Mean(route.Name, kind, len(route.Pools)-1) - accept
	prior := l.prior(route.Name, step)
	l.with(route.Name, func(state *routeState) {
		if span <= 0 {
			pass := func(s *scores) float64 { return s.above(accept) }
			worth, _ = l.estimate(state, stepKey{kind, step}, priorPass(prior, accept), pass)
			return
		}
		excess := func(s *scores) float64 { return s.excess(accept) }
		worth, _ = l.estimate(state, stepKey{kind, step}, priorExcess(prior, accept), excess)
		worth /= span
	})
	return worth
}

// Mean is the expected score of a step's answers.
func (l *Learner) Mean(route string, kind decide.Kind, step int) (mean float64) {
	prior := l.prior(route, step)
	l.with(route, func(state *routeState) {
		mean, _ = l.estimate(state, stepKey{kind, step}, prior, func(s *scores) float64 { return s.sum })
	})
	return mean
}

// estimate shrinks what is known of a kind towards what is known of the step, and that towards the
// prior.
func (l *Learner) estimate(state *routeState, key stepKey, prior float64, sum func(*scores) float64) (value float64, ratings int) {
	value = prior
	n := float64(l.settings.PriorRatings)
	if all := state.byStep[key.step]; all != nil {
		value = shrink(sum(all), all.total, value, n)
	}
	own := state.steps[key]
	if own == nil {
		return value, 0
	}
	return shrink(sum(own), own.total, value, n), int(own.total)
}

// Plan implements decide.Planner.
func (l *Learner) Plan(snapshot *contract.Snapshot, request *decide.Request) (plan decide.Plan) {
	route := request.Route
	kind := decide.KindOf(request)
	last := len(route.Pools) - 1
	cheap := l.Mean(route.Name, kind, 0)
	best := l.Mean(route.Name, kind, last)
	price := decide.Price(snapshot, request, route.Pools[last])
	l.with(route.Name, func(state *routeState) {
		state.steer(route.QualityTarget, best)
		relative := state.relative(price)
		plan.Accept = best - state.leniency*relative
		plan.Unrated = cheap >= best-state.blind*relative
		plan.StepTime = state.stepTime
	})
	return plan
}

// relative is a price as a multiple of the usual one, which it enters into.
func (s *routeState) relative(price float64) float64 {
	if s.price == 0 {
		s.price = price
	}
	s.price += priceGain * (price - s.price)
	if s.price == 0 {
		return 1
	}
	return price / s.price
}
