package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// tolerance is how far below the target the mean of delivered answers may lie.
const tolerance = 0.01

// runCost compares cost at the quality target.
func runCost(seed uint64) *Report {
	report := &Report{Name: Cost, Seed: seed}
	for _, variant := range []costVariant{{name: "steady"}, {name: "rater out", outage: true}, {name: "cheap model drifts", drift: true}} {
		jobs := costJobs(variant, rand.New(rand.NewPCG(seed, 1)))
		report.addCost(variant.name, jobs, seed)
	}
	return report
}

// addCost runs all policies on the same jobs.
func (r *Report) addCost(name string, jobs []job, seed uint64) {
	run := func(policy func(a *account)) *account {
		a := &account{snapshot: costSnapshot()}
		policy(a)
		return a
	}
	best := run(func(a *account) { only(a, jobs, 1) })
	cheap := run(func(a *account) { only(a, jobs, 0) })
	fixed := run(func(a *account) { fixedCascade(a, jobs, costTarget) })
	hindsight := run(func(a *account) { fixedCascade(a, jobs, lowestThreshold(jobs)) })
	own := run(func(a *account) { learned(a, jobs, rand.New(rand.NewPCG(seed, 2))) })
	ideal := run(func(a *account) { clairvoyant(a, jobs) })
	row := func(policy string, a *account) Row {
		return Row{policy, []float64{a.score / float64(a.n), a.cost / float64(a.n), a.cost / best.cost, a.cost / ideal.cost}}
	}
	r.Variants = append(r.Variants, Variant{
		Name:    name,
		Columns: []string{"mean score", "micros/request", "of always best", "of clairvoyant"},
		Rows: []Row{
			row("always best", best), row("always cheapest", cheap), row("fixed cascade", fixed),
			row("fixed, hindsight", hindsight), row("plumbarrow", own), row("clairvoyant", ideal),
		},
	})
	baseline := math.Inf(1)
	for _, one := range []*account{best, cheap, fixed} {
		if one.score/float64(one.n) >= costTarget-tolerance {
			baseline = min(baseline, one.cost)
		}
	}
	miss := costTarget - own.score/float64(own.n)
	r.Aims = append(r.Aims,
		atMost(fmt.Sprintf("%s: mean below the target", name), miss, tolerance),
		atMost(fmt.Sprintf("%s: cost of the best baseline that meets the target", name), own.cost/baseline, 0.7),
		atMost(fmt.Sprintf("%s: cost of the clairvoyant choice", name), own.cost/ideal.cost, 1.1),
	)
}

// lowestThreshold is the lowest threshold with which a fixed cascade meets the target on these very
// jobs, to a hundredth.
func lowestThreshold(jobs []job) float64 {
	hundredths := sort.Search(100, func(hundredths int) bool {
		a := &account{snapshot: costSnapshot()}
		fixedCascade(a, jobs, float64(hundredths)/100)
		return a.score >= costTarget*float64(a.n)
	})
	return float64(hundredths) / 100
}
