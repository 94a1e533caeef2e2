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
	learnerShards = 16 // locks that the routes are spread over
	// timeWeight and priceWeight are the weights of the newest value in the exponentially weighted means of the time
	// until an answer is rated and of the last step's price.
	timeWeight  = 0.05
	priceWeight = 0.01
	// Bounds of the leniency, in units of score at the usual price.
	minLeniency, maxLeniency = -1, 4
)

// Learner learns from ratings how each step of a route scores for each kind of request, and controls the route's
// leniency. Its memory grows with routes times kinds times steps. Safe for concurrent use.
//
// An answer is delivered if its score is at most leniency*price below the expected score of the last step, where
// price is the last step's price for this request relative to the usual price. This is the condition for the least
// cost at a given mean score, with the leniency as its Lagrange multiplier. The leniency is an integral controller:
// each delivered answer below the route's target lowers it and each one above raises it, in proportion to the
// difference. The mean of n delivered answers then differs from the target by at most range/(gain*n), whatever the
// scores do, as long as the leniency stays off its bounds; the argument is that of adaptive conformal inference
// (Gibbs and Candès, 2021). While no ratings are available, a second leniency is controlled in the same way by the
// scores that were learned before.
type Learner struct {
	settings Settings
	source   contract.Source
	decay    float64 // factor on the weight of older ratings at each new one
	shards   [learnerShards]learnerShard
}

type learnerShard struct {
	mu     sync.Mutex
	routes map[string]*routeState
}

type routeState struct {
	target          float64 // the quality target that the leniencies are for
	leniency        float64
	unratedLeniency float64 // the leniency while no ratings are available
	usualPrice      float64 // mean price of the last step, in micro-units of currency; 0 before the first request
	steps           map[stepKey]*scores
	byStep          map[int]*scores // over all kinds
	stepTime        time.Duration   // mean time until a first answer is rated; 0 if unknown
}

type stepKey struct {
	kind decide.Kind
	step int
}

var _ decide.Planner = (*Learner)(nil)

// NewLearner returns a learner without ratings, which relies on the configured qualities.
func NewLearner(settings Settings, source contract.Source) *Learner {
	l := &Learner{
		settings: settings,
		source:   source,
		decay:    math.Exp2(-1 / float64(settings.HalfLife)),
	}
	for i := range l.shards {
		l.shards[i].routes = make(map[string]*routeState)
	}
	return l
}

// withRoute runs f on the state of a route while it holds the lock of the route's shard.
func (l *Learner) withRoute(route string, f func(state *routeState)) {
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

// setTarget resets both leniencies if the route's target has changed, so that at the usual price an answer must
// reach the target. best is the expected score of the last step.
func (s *routeState) setTarget(target, best float64) {
	if s.target == target {
		return
	}
	s.target = target
	s.leniency = max(best-target, 0)
	s.unratedLeniency = s.leniency
}

// Learn records a rating of a step's answer. It may come after the answer was delivered.
func (l *Learner) Learn(route string, kind decide.Kind, step int, score float64) {
	l.withRoute(route, func(state *routeState) {
		key := stepKey{kind, step}
		if state.steps[key] == nil {
			state.steps[key] = &scores{}
		}
		if state.byStep[step] == nil {
			state.byStep[step] = &scores{}
		}
		state.steps[key].add(score, l.decay)
		state.byStep[step].add(score, l.decay)
	})
}

// Delivered adjusts the route's leniency by the score of an answer that was delivered to a caller.
func (l *Learner) Delivered(route *contract.Route, score float64) {
	l.withRoute(route.Name, func(state *routeState) {
		state.leniency = l.adjust(state.leniency, score-route.QualityTarget)
	})
}

// DeliveredUnrated adjusts the leniency that applies while no ratings are available by the expected score of an answer
// that was delivered, see Mean.
func (l *Learner) DeliveredUnrated(route *contract.Route, score float64) {
	l.withRoute(route.Name, func(state *routeState) {
		state.unratedLeniency = l.adjust(state.unratedLeniency, score-route.QualityTarget)
	})
}

// adjust returns the leniency after a delivered answer; surplus is the answer's score minus the target.
func (l *Learner) adjust(leniency, surplus float64) float64 {
	return min(max(leniency+l.settings.Gain*surplus, minLeniency), maxLeniency)
}

// ObserveRatingTime records the time from a request's arrival until its first answer was rated.
func (l *Learner) ObserveRatingTime(route string, elapsed time.Duration) {
	l.withRoute(route, func(state *routeState) {
		if state.stepTime == 0 {
			state.stepTime = elapsed
			return
		}
		state.stepTime += time.Duration(timeWeight * float64(elapsed-state.stepTime))
	})
}

// PassChance implements decide.Quality. An answer passes if it reaches the route's target, which is the threshold at
// the usual price.
func (l *Learner) PassChance(route string, kind decide.Kind, step int) (chance float64, ratings int) {
	prior := l.prior(route, step)
	accept := l.target(route)
	l.withRoute(route, func(state *routeState) {
		pass := func(s *scores) float64 { return s.weightAbove(accept) }
		chance, ratings = l.estimate(state, stepKey{kind, step}, priorPass(prior, accept), pass)
	})
	return chance, ratings
}

// ExpectedGain implements decide.Planner. A passing answer saves the last step's price, at the cost of its shortfall from
// the last step's expected score. The shortfall is valued linearly: at that price for a score at the threshold, at
// nothing for the last step's expected score.
func (l *Learner) ExpectedGain(request *decide.Request, step int, accept float64) (gain float64) {
	route := request.Route
	kind := decide.KindOf(request)
	span := l.Mean(route.Name, kind, len(route.Pools)-1) - accept
	prior := l.prior(route.Name, step)
	l.withRoute(route.Name, func(state *routeState) {
		if span <= 0 {
			pass := func(s *scores) float64 { return s.weightAbove(accept) }
			gain, _ = l.estimate(state, stepKey{kind, step}, priorPass(prior, accept), pass)
			return
		}
		excess := func(s *scores) float64 { return s.excess(accept) }
		gain, _ = l.estimate(state, stepKey{kind, step}, priorExcess(prior, accept), excess)
		gain /= span
	})
	return gain
}

// Mean returns the expected score, 0 to 1, of a step's answers to requests of a kind.
func (l *Learner) Mean(route string, kind decide.Kind, step int) (mean float64) {
	prior := l.prior(route, step)
	l.withRoute(route, func(state *routeState) {
		mean, _ = l.estimate(state, stepKey{kind, step}, prior, func(s *scores) float64 { return s.sum })
	})
	return mean
}

// estimate returns the mean of a statistic per rating, for one kind of request at one step, and the number of
// ratings of that kind. sum returns the statistic's sum over a histogram. The estimate for the kind is shrunk towards
// that for the step over all kinds, and that one towards the prior.
func (l *Learner) estimate(state *routeState, key stepKey, prior float64, sum func(*scores) float64) (value float64, ratings int) {
	value = prior
	n := float64(l.settings.PriorRatings)
	if stepScores := state.byStep[key.step]; stepScores != nil {
		value = shrink(sum(stepScores), stepScores.total, value, n)
	}
	kindScores := state.steps[key]
	if kindScores == nil {
		return value, 0
	}
	return shrink(sum(kindScores), kindScores.total, value, n), int(kindScores.total)
}

// Plan implements decide.Planner.
func (l *Learner) Plan(snapshot *contract.Snapshot, request *decide.Request) (plan decide.Plan) {
	route := request.Route
	kind := decide.KindOf(request)
	last := len(route.Pools) - 1
	cheap := l.Mean(route.Name, kind, 0)
	best := l.Mean(route.Name, kind, last)
	price := decide.Price(snapshot, request, route.Pools[last])
	l.withRoute(route.Name, func(state *routeState) {
		state.setTarget(route.QualityTarget, best)
		relativePrice := state.relativePrice(price)
		plan.Accept = best - state.leniency*relativePrice
		plan.DeliverUnrated = cheap >= best-state.unratedLeniency*relativePrice
		plan.StepTime = state.stepTime
	})
	return plan
}

// relativePrice returns the price as a multiple of the usual one, after it has updated the usual one.
func (s *routeState) relativePrice(price float64) float64 {
	if s.usualPrice == 0 {
		s.usualPrice = price
	}
	s.usualPrice += priceWeight * (price - s.usualPrice)
	if s.usualPrice == 0 {
		return 1
	}
	return price / s.usualPrice
}
