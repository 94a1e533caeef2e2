package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// qualityTolerance is how far the mean score of delivered answers may be below the target.
const qualityTolerance = 0.01

// runCost compares the policies' cost of meeting the quality target.
func runCost(seed uint64) *Report {
	report := &Report{Name: Cost, Seed: seed}
	for _, variant := range []costVariant{{name: "steady"}, {name: "rater out", outage: true}, {name: "cheap model drifts", drift: true}} {
		jobs := costJobs(variant, rand.New(rand.NewPCG(seed, 1)))
		report.addCost(variant.name, jobs, seed)
	}
	return report
}

// addCost runs all policies on the same jobs and adds a variant and its aims.
func (r *Report) addCost(name string, jobs []job, seed uint64) {
	run := func(policy func(a *account)) *account {
		a := &account{snapshot: costSnapshot()}
		policy(a)
		return a
	}
	alwaysBest := run(func(a *account) { singleStep(a, jobs, 1) })
	alwaysCheapest := run(func(a *account) { singleStep(a, jobs, 0) })
	fixed := run(func(a *account) { fixedCascade(a, jobs, qualityTarget) })
	hindsight := run(func(a *account) { fixedCascade(a, jobs, lowestThreshold(jobs)) })
	router := run(func(a *account) { routerCascade(a, jobs, rand.New(rand.NewPCG(seed, 2))) })
	ideal := run(func(a *account) { clairvoyant(a, jobs) })
	row := func(policy string, a *account) Row {
		return Row{policy, []float64{a.scoreSum / float64(a.answers), a.cost / float64(a.answers), a.cost / alwaysBest.cost, a.cost / ideal.cost}}
	}
	r.Variants = append(r.Variants, Variant{
		Name:    name,
		Columns: []string{"mean score", "micros/request", "of always best", "of clairvoyant"},
		Rows: []Row{
			row("always best", alwaysBest), row("always cheapest", alwaysCheapest), row("fixed cascade", fixed),
			row("fixed, hindsight", hindsight), row("plumbarrow", router), row("clairvoyant", ideal),
		},
	})
	baseline := math.Inf(1)
	for _, candidate := range []*account{alwaysBest, alwaysCheapest, fixed} {
		if candidate.scoreSum/float64(candidate.answers) >= qualityTarget-qualityTolerance {
			baseline = min(baseline, candidate.cost)
		}
	}
	shortfall := qualityTarget - router.scoreSum/float64(router.answers)
	r.Aims = append(r.Aims,
		atMost(fmt.Sprintf("%s: mean below the target", name), shortfall, qualityTolerance),
		atMost(fmt.Sprintf("%s: cost of the best baseline that meets the target", name), router.cost/baseline, 0.7),
		atMost(fmt.Sprintf("%s: cost of the clairvoyant choice", name), router.cost/ideal.cost, 1.1),
	)
}

// lowestThreshold returns the lowest threshold, in steps of 0.01, with which a fixed cascade meets the
// target on these jobs. It needs the scores in advance, so it is a baseline in hindsight only.
func lowestThreshold(jobs []job) float64 {
	hundredths := sort.Search(100, func(hundredths int) bool {
		a := &account{snapshot: costSnapshot()}
		fixedCascade(a, jobs, float64(hundredths)/100)
		return a.scoreSum >= qualityTarget*float64(a.answers)
	})
	return float64(hundredths) / 100
}
