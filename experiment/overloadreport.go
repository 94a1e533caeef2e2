package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/decide"
)

// overloadResult is the outcome of a run.
type overloadResult struct {
	offered, important      int
	attempts, retries       int
	refused                 int
	served, importantServed int
	firstByteTimes          []time.Duration // from arrival, of answers in time
}

// recordFirstByte counts a request whose first byte came before its deadline.
func (r *overloadResult) recordFirstByte(req *callerRequest, now time.Duration) {
	if now > req.deadline {
		return
	}
	r.served++
	if req.request.Customer.Priority > 0 {
		r.importantServed++
	}
	r.firstByteTimes = append(r.firstByteTimes, now-req.arrived)
}

// quantile returns a quantile of the times to the first byte, in milliseconds.
func (r *overloadResult) quantile(q float64) float64 {
	if len(r.firstByteTimes) == 0 {
		return 0
	}
	slices.Sort(r.firstByteTimes)
	at := min(int(q*float64(len(r.firstByteTimes))), len(r.firstByteTimes)-1)
	return float64(r.firstByteTimes[at].Milliseconds())
}

// row returns the figures of one policy, in the order of the columns in addOverload.
func (r *overloadResult) row(name string) Row {
	seconds := overloadDuration.Seconds()
	return Row{name, []float64{
		float64(r.served) / seconds / float64(capacity),
		float64(r.served) / float64(r.offered),
		float64(r.importantServed) / float64(r.important),
		r.quantile(0.5),
		r.quantile(0.95),
		r.quantile(0.99),
		float64(r.retries) / float64(r.offered),
	}}
}

// runOverload compares goodput and latency at half, full and twice the capacity. One engine fails fast
// for a quarter of the run, and load reports are delayed.
func runOverload(seed uint64) *Report {
	report := &Report{Name: Overload, Seed: seed}
	for _, load := range []float64{0.5, 1, 2} {
		report.addOverload(load, seed)
	}
	return report
}

// addOverload runs all policies on the same arrivals and adds a variant and its aims.
func (r *Report) addOverload(load float64, seed uint64) {
	run := func(p policy) *overloadResult {
		result := newOverloadSimulation(seed, p).run(load, rand.New(rand.NewPCG(seed, 2)))
		return &result
	}
	random, reported := run(randomChoice{}), run(leastReported{})
	router := run(&routerPolicy{picker: decide.NewPicker(decide.DefaultSettings()), budget: decide.NewRetryBudget()})
	r.Variants = append(r.Variants, Variant{
		Name:    fmt.Sprintf("%g times capacity", load),
		Columns: []string{"goodput/capacity", "served", "important served", "p50 ms", "p95 ms", "p99 ms", "retries"},
		Rows:    []Row{random.row("random"), reported.row("least reported"), router.row("plumbarrow")},
	})
	name := fmt.Sprintf("at %g times capacity", load)
	r.Aims = append(r.Aims,
		atMost(name+": best baseline's goodput of the router's", float64(max(random.served, reported.served))/float64(router.served), 1),
		atMost(name+": p95 of the better baseline's", router.quantile(0.95)/max(min(random.quantile(0.95), reported.quantile(0.95)), 1), 1),
		atMost(name+": retries per request", float64(router.retries)/float64(router.offered), 0.1),
	)
}
