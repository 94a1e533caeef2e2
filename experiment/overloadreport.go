package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/decide"
)

// overloadResult counts what came of a run.
type overloadResult struct {
	offered, important  int
	attempts, retries   int
	refused             int
	good, importantGood int
	waits               []time.Duration // from arrival to the first byte
}

// served counts a request whose answer has begun in time.
func (r *overloadResult) served(one *ask, now time.Duration) {
	if now > one.deadline {
		return
	}
	r.good++
	if one.request.Customer.Priority > 0 {
		r.importantGood++
	}
	r.waits = append(r.waits, now-one.arrived)
}

// quantile of the waits, in milliseconds.
func (r *overloadResult) quantile(q float64) float64 {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	at := min(int(q*float64(len(r.waits))), len(r.waits)-1)
	return float64(r.waits[at].Milliseconds())
}

// row is the figures of one policy.
func (r *overloadResult) row(name string) Row {
	seconds := overloadLength.Seconds()
	return Row{name, []float64{
		float64(r.good) / seconds / float64(capacity),
		float64(r.good) / float64(r.offered),
		float64(r.importantGood) / float64(r.important),
		r.quantile(0.5),
		r.quantile(0.95),
		r.quantile(0.99),
		float64(r.retries) / float64(r.offered),
	}}
}

// runOverload compares goodput and latency at half, full and double load, with one engine that fails
// fast for a quarter of the time and reports that lag.
func runOverload(seed uint64) *Report {
	report := &Report{Name: Overload, Seed: seed}
	for _, load := range []float64{0.5, 1, 2} {
		report.addOverload(load, seed)
	}
	return report
}

// addOverload runs all policies on the same arrivals.
func (r *Report) addOverload(load float64, seed uint64) {
	run := func(chosen policy) *overloadResult {
		result := newOverloadWorld(seed, chosen).run(load, rand.New(rand.NewPCG(seed, 2)))
		return &result
	}
	random, reported := run(randomChoice{}), run(leastReported{})
	router := run(&own{picker: decide.NewPicker(decide.DefaultSettings()), budget: decide.NewRetryBudget()})
	r.Variants = append(r.Variants, Variant{
		Name:    fmt.Sprintf("%g times capacity", load),
		Columns: []string{"goodput/capacity", "served", "important served", "p50 ms", "p95 ms", "p99 ms", "retries"},
		Rows:    []Row{random.row("random"), reported.row("least reported"), router.row("plumbarrow")},
	})
	name := fmt.Sprintf("at %g times capacity", load)
	r.Aims = append(r.Aims,
		atMost(name+": best baseline's goodput of the router's", float64(max(random.good, reported.good))/float64(router.good), 1),
		atMost(name+": p95 of the better baseline's", router.quantile(0.95)/max(min(random.quantile(0.95), reported.quantile(0.95)), 1), 1),
		atMost(name+": retries per request", float64(router.retries)/float64(router.offered), 0.1),
	)
}
