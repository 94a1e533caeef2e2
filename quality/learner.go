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
	// timeGain smooths the time until an answer is rated.
	timeGain = 0.05
)

// Learner learns from ratings how well each step of each route answers each kind of request, and
// steers the route's threshold. Its size grows with routes times kinds times steps. Safe for
// concurrent use.
//
// The threshold of a route follows the answers delivered: each one that scores below the target
// raises it and each one above lowers it, in proportion. The mean of n delivered answers then
// differs from the target by at most range/(gain*n), whatever the scores do, as long as the
// threshold stays off its ends; the argument is that of adaptive conformal inference (Gibbs and
// Candès, 2021).
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
	threshold float64
	target    float64 // for which the threshold was learned
	steps     map[stepKey]*scores
	byStep    map[int]*scores
	stepTime  time.Duration
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

// steer sets a new threshold when the route's target has changed.
func (s *routeState) steer(target float64) {
	if s.target != target {
		s.target, s.threshold = target, target
	}
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

// Delivered moves the route's threshold by what an answer that reached a caller scored.
func (l *Learner) Delivered(route *contract.Route, score float64) {
	l.with(route.Name, func(state *routeState) {
		state.steer(route.QualityTarget)
		moved := state.threshold + l.settings.Gain*(route.QualityTarget-score)
		state.threshold = min(max(moved, 0), 1)
	})
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

// PassChance implements decide.Quality.
func (l *Learner) PassChance(route string, kind decide.Kind, step int) (chance float64, ratings int) {
	prior := l.prior(route, step)
	l.with(route, func(state *routeState) {
		threshold := state.threshold
		if state.target == 0 {
			threshold = l.target(route)
		}
		chance = priorPass(prior, threshold)
		chance, ratings = l.estimate(state, stepKey{kind, step}, chance, func(s *scores) float64 { return s.above(threshold) })
	})
	return chance, ratings
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
func (l *Learner) Plan(_ *contract.Snapshot, route *contract.Route, kind decide.Kind) decide.Plan {
	last := len(route.Pools) - 1
	cheap := l.Mean(route.Name, kind, 0)
	best := l.Mean(route.Name, kind, last)
	plan := decide.Plan{Unrated: unratedShare(cheap, best, route.QualityTarget)}
	l.with(route.Name, func(state *routeState) {
		state.steer(route.QualityTarget)
		plan.Accept = state.threshold
		plan.StepTime = state.stepTime
	})
	return plan
}

// unratedShare is the share of unrated cheap answers with which the mean just holds the target.
func unratedShare(cheap, best, target float64) float64 {
	switch {
	case cheap >= target:
		return 1
	case best <= target:
		return 0
	}
	return (best - target) / (best - cheap)
}

// target is the configured target of a route.
func (l *Learner) target(name string) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[name] == nil {
		return 0
	}
	return snapshot.Routes[name].QualityTarget
}

// unknownQuality stands in for a version whose quality is not configured.
const unknownQuality = 0.5

// prior is the mean configured quality of the versions that the step's pool serves to new sessions.
func (l *Learner) prior(name string, step int) float64 {
	snapshot := l.source.Current()
	if snapshot == nil || snapshot.Routes[name] == nil || step >= len(snapshot.Routes[name].Pools) {
		return unknownQuality
	}
	pool := snapshot.Pools[snapshot.Routes[name].Pools[step]]
	model := snapshot.Models[pool.Model]
	if model == nil {
		return unknownQuality
	}
	var sum, weights float64
	for i := range model.Versions {
		version := &model.Versions[i]
		id := contract.VersionID{Model: model.Name, Name: version.Name}
		if version.State == contract.VersionActive && version.Quality > 0 && pool.Serves(id) {
			sum += version.Quality * *version.Weight
			weights += *version.Weight
		}
	}
	if weights == 0 {
		return unknownQuality
	}
	return sum / weights
}
