package canary

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/internal/logspace"
)

// The judge compares a new version with the old one among requests of one route at equal load. It is a sequential test: the evidence may be
// looked at after every answer. Were the old version's rates known exactly, the evidence against a version that is no worse would ever reach log(1/p) with
// a probability of p at most; TestErrorRates has the rates of both errors.
var (
	// rejectAt is the evidence from which the new version is rejected at any time.
	rejectAt = math.Log(30)
	// doubtAt is the evidence from which it is rejected where its exposure would grow or the old version would go. A bad version then costs
	// callers more than a good one that has to be ordered again.
	doubtAt = math.Log(5)
)

const (
	// failureMargin and slowMargin are differences of rates that do not make a version worse.
	failureMargin = 0.02
	slowMargin    = 0.05
	// unusualSlowMargin takes the place of slowMargin where a sound version may be slower as well: at a load at which fewer than minOldTimed of
	// the old version's attempts were timed, and in later phases alone, which begin with empty caches at the endpoints that get the requests.
	unusualSlowMargin = 0.15
	minOldTimed       = 10
	// minOldAnswers is the number of the old version's answers from which there is a comparison.
	minOldAnswers = 20
	// failureFloor is a lower bound for the old version's failure rate: that of a sound service with a few faulty endpoints. It weighs as
	// much as priorAnswers answers. So does the rate of a larger group of the old version's answers in a smaller one.
	failureFloor = 0.01
	priorAnswers = 10
	// maxRate keeps the likelihood of an answer without a fault above zero.
	maxRate = 0.98
	// maxStrata bounds the strata that an instance counts; the answers of further ones count in otherRoutes.
	maxStrata = 64
)

// failureShares and slowShares are the shares of answers that a fault spoils, the alternatives of the test.
var (
	failureShares = []float64{0.2, 0.45}
	slowShares    = []float64{0.3, 0.6, 0.9}
)

// loadBounds are the upper bounds of the load classes, as requests per slot of the endpoint, the arriving one included. The last class is
// unbounded.
var loadBounds = [...]float64{1. / 16, 1. / 8, 1. / 4, 1. / 2, 3. / 4}

const loadClasses = len(loadBounds) + 1

// loadClass returns the class of a request that arrives at an endpoint beside others.
func loadClass(others, slots int) uint8 {
	load := float64(others+1) / float64(max(slots, 1))
	for class, bound := range loadBounds {
		if load < bound {
			return uint8(class)
		}
	}
	return uint8(loadClasses - 1)
}

// stratum is a group of requests. Their answers are compared with those of the old version to requests of the same route at equal load.
type stratum struct {
	route uint32 // hash of the route's name
	load  uint8  // see loadClass
	phase phase  // in which the attempt at the new version began; canaryPhase for the old one
}

// phase is a part of a roll-out with one kind of traffic for the new version.
type phase uint8

const (
	canaryPhase phase = iota
	stressPhase
	fullPhase
)

func (s Stage) phase() phase {
	switch {
	case s.Share >= 1:
		return fullPhase
	case s.Share >= stressShare:
		return stressPhase
	default:
		return canaryPhase
	}
}

// otherRoutes is the route of all answers that are not counted by route.
const otherRoutes = 0

func hashRoute(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// counts are outcomes of attempts at one version: answers and the failures among them, and attempts whose first byte came or is overdue
// (timed) and the slow ones among them. Both are counted at different loads: what spoils an answer is the load while it is made, but a slow
// version raises that load itself.
type counts struct{ answers, failures, timed, slow uint32 }

func (c counts) plus(o counts) counts {
	return counts{c.answers + o.answers, c.failures + o.failures, c.timed + o.timed, c.slow + o.slow}
}

// valid returns the counts, or none if they cannot belong together.
func (c counts) valid() counts {
	if c.failures > c.answers || c.slow > c.timed {
		return counts{}
	}
	return c
}

// sample are the counts of both versions in one stratum.
type sample struct{ old, new counts }

// samples are the counts of both versions by stratum.
type samples map[stratum]sample

// add counts an attempt.
func (s samples) add(at stratum, isNew bool, outcome counts) {
	if _, known := s[at]; !known && len(s) >= maxStrata {
		at.route = otherRoutes
	}
	counted := s[at]
	if isNew {
		counted.new = counted.new.plus(outcome)
	} else {
		counted.old = counted.old.plus(outcome)
	}
	s[at] = counted
}

// merge adds the counts of another source.
func (s samples) merge(other samples) {
	for at, counted := range other {
		s[at] = sample{old: s[at].old.plus(counted.old), new: s[at].new.plus(counted.new)}
	}
}

// evidence returns the logarithm of the evidence that the new version is worse, in failures or in slow answers, by the attempts that began in a
// phase or later.
func (s samples) evidence(since phase) float64 {
	var old oldRates
	next := make(map[stratum]counts) // the new version's, over all phases
	for at, counted := range s {
		old.add(at, counted.old)
		if counted.new != (counts{}) && at.phase >= since {
			at.phase = canaryPhase
			next[at] = next[at].plus(counted.new)
		}
	}
	if old.all.answers < minOldAnswers || len(next) == 0 {
		return 0
	}
	return logspace.MeanExp(old.failureEvidence(next), old.slowEvidence(next, since))
}

// oldRates are the counts of the old version by what its rates may depend on.
type oldRates struct {
	all     counts
	route   map[uint32]counts
	load    [loadClasses]counts
	stratum map[stratum]counts
}

func (o *oldRates) add(at stratum, c counts) {
	if o.route == nil {
		o.route, o.stratum = make(map[uint32]counts), make(map[stratum]counts)
	}
	at.phase = canaryPhase
	o.all = o.all.plus(c)
	o.route[at.route] = o.route[at.route].plus(c)
	o.load[at.load] = o.load[at.load].plus(c)
	o.stratum[at] = o.stratum[at].plus(c)
}

// failureRate returns the rate of failures in a stratum. Where few answers are known, it is near the route's rate, and that near the service's.
func (o *oldRates) failureRate(at stratum) float64 {
	rate := failureFloor
	for _, c := range []counts{o.all, o.route[at.route], o.stratum[at]} {
		rate = (float64(c.failures) + priorAnswers*rate) / (float64(c.answers) + priorAnswers)
	}
	return rate
}

// failureEvidence averages over what a fault may depend on, and over the share of answers that it spoils: it may spoil answers of all
// requests, of those from some load on, or of those of one route.
func (o *oldRates) failureEvidence(next map[stratum]counts) float64 {
	var alternatives []float64
	for _, share := range failureShares {
		var fromLoad [loadClasses]float64
		ofRoute := make(map[uint32]float64)
		for at, c := range next {
			ratio := logRatio(c.failures, c.answers, o.failureRate(at)+failureMargin, share)
			ofRoute[at.route] += ratio
			for class := range int(at.load) + 1 {
				fromLoad[class] += ratio
			}
		}
		alternatives = append(alternatives, fromLoad[:]...)
		for _, ratio := range ofRoute {
			alternatives = append(alternatives, ratio)
		}
	}
	return logspace.MeanExp(alternatives...)
}

// slowEvidence compares the shares of slow answers at equal load, over all routes.
func (o *oldRates) slowEvidence(next map[stratum]counts, since phase) float64 {
	var byLoad [loadClasses]counts
	for at, c := range next {
		byLoad[at.load] = byLoad[at.load].plus(c)
	}
	var alternatives []float64
	for _, share := range slowShares {
		sum := 0.0
		for class, c := range byLoad {
			old, margin := o.load[class], slowMargin
			if since != canaryPhase {
				margin = unusualSlowMargin
			}
			if old.timed < minOldTimed {
				old, margin = o.all, unusualSlowMargin
			}
			usual := float64(old.slow) / float64(max(old.timed, 1))
			sum += logRatio(c.slow, c.timed, usual+margin, share)
		}
		alternatives = append(alternatives, sum)
	}
	return logspace.MeanExp(alternatives...)
}

// logRatio returns the logarithm of the likelihood ratio of events among answers: a fault that spoils a share of the answers, against the
// usual rate.
func logRatio(events, answers uint32, usual, share float64) float64 {
	usual = min(usual, maxRate)
	spoiled := min(usual+share*(1-usual), (1+maxRate)/2)
	return float64(events)*math.Log(spoiled/usual) + float64(answers-events)*math.Log((1-spoiled)/(1-usual))
}
