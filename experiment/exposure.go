package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/rollout"
)

const (
	exposureTrials     = 100
	healthyTrials      = 10_000
	exposureWorkers    = 4
	healthyAttempts    = 1_000 // attempts of the new version per healthy roll-out
	exposureShare      = 0.1   // share of requests that go to the new version
	exposureRate       = 60    // requests per second over all instances
	maxExposure        = 20_000
	healthyFailureRate = 0.02
	healthyRating      = 0.8
	ratingSpread       = 0.15
	ratedShare         = 0.2
	detectableRise     = 0.05 // rise of the failure rate that the fixed sample is sized to detect
	falseAlarmQuantile = 3.09 // normal quantile at 1 - 1/1000: one-sided, one false alarm in 1,000 tests
	powerQuantile      = 1.28 // normal quantile at 0.9: power 90 %
)

var (
	oldVersion = contract.VersionID{Model: "small", Name: "v1"}
	newVersion = contract.VersionID{Model: "small", Name: "v2"}
)

// regression is the failure rate and mean rating of the new version after its first goodAttempts
// attempts, which are healthy.
type regression struct {
	name         string
	failureRate  float64
	meanRating   float64
	goodAttempts int
}

var regressions = []regression{
	{"fails 10 %, from the start", 0.10, healthyRating, 0},
	{"fails 30 %, from the start", 0.30, healthyRating, 0},
	{"fails 30 %, after 2,000 good attempts", 0.30, healthyRating, 2000},
	{"rated 0.2 lower, from the start", healthyFailureRate, healthyRating - 0.2, 0},
}

// fleet is six instances in three zones that exchange evidence once a second.
type fleet struct {
	members  []machine.Member
	evidence []*rollout.Evidence
	fixed    *fixedSample
	settings rollout.Settings
}

func newFleet() *fleet {
	f := &fleet{settings: rollout.DefaultSettings(), fixed: newFixedSample()}
	snapshot := exposureSnapshot()
	for i := range 6 {
		id := strconv.Itoa(i)
		self := machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation(id), Zone: "zone-" + strconv.Itoa(i/2)}
		e := rollout.NewEvidence(f.settings, self)
		e.Apply(snapshot)
		f.members = append(f.members, self)
		f.evidence = append(f.evidence, e)
	}
	return f
}

func exposureSnapshot() *contract.Snapshot {
	previous, next := 1-exposureShare, exposureShare
	return mustBuild(&contract.Document{
		Zones:     []contract.Zone{{Name: "zone-0", Region: "nairobi"}},
		Customers: []contract.Customer{{Name: "acme", KeyHashes: []string{contract.HashKey("k")}, Models: []string{"small"}}},
		Models: []contract.Model{{Name: "small", Versions: []contract.ModelVersion{
			{Name: "v1", State: contract.VersionActive, Weight: &previous},
			{Name: "v2", State: contract.VersionActive, Weight: &next},
		}}},
		Pools:  []contract.Pool{{Name: "engines", Kind: contract.PoolEngine, Model: "small", Routes: []string{"assistant"}}},
		Routes: []contract.Route{{Name: "assistant", Customers: []string{"acme"}, Model: "assistant", Pools: []string{"engines"}}},
	})
}

// recordRequest records one request's outcome at a random instance and in the fixed-sample test.
func (f *fleet) recordRequest(version contract.VersionID, failureRate, meanRating float64, random *rand.Rand) {
	e := f.evidence[random.IntN(len(f.evidence))]
	failed := random.Float64() < failureRate
	e.RecordAttempt(rollout.Attempt{Version: version, Failed: failed, FirstByte: time.Second})
	score := math.NaN()
	if random.Float64() < ratedShare {
		score = clamp(meanRating + ratingSpread*random.NormFloat64())
		e.RecordRating(version, score)
	}
	f.fixed.add(version, failed, score)
}

// exchangeEvidence sends each instance's evidence to the other instance of its zone and, in rotation, to one
// instance of another zone.
func (f *fleet) exchangeEvidence(second int) {
	n := len(f.members)
	for i, from := range f.members {
		zonePeer := i ^ 1
		remotePeer := (i + 2 + second%(n-2)) % n
		for _, to := range []int{zonePeer, remotePeer} {
			f.evidence[to].Receive(from, f.evidence[i].Message(f.members[to]))
		}
	}
}

// alarmed reports whether the evidence of any instance against the new version reaches the alarm
// threshold.
func (f *fleet) alarmed() bool {
	alarm := math.Log(1 / f.settings.FalseAlarm)
	for _, e := range f.evidence {
		if e.Findings()[0].LogEvidence >= alarm {
			return true
		}
	}
	return false
}

// exposureUntilDetection runs one roll-out until both tests have detected the regression, and returns
// how many requests the regressed version had served until each detection. A test that has detected
// nothing once that number is above maxExposure counts as detecting then.
func exposureUntilDetection(bad regression, random *rand.Rand) (sequential, fixed int) {
	f := newFleet()
	if bad.goodAttempts > 0 {
		// The regression starts at a random point within a fixed sample.
		bad.goodAttempts += random.IntN(f.fixed.size)
	}
	served, sequential, fixed := 0, -1, -1
	for second := 0; sequential < 0 || fixed < 0; second++ {
		for range exposureRate {
			if random.Float64() >= exposureShare {
				f.recordRequest(oldVersion, healthyFailureRate, healthyRating, random)
				continue
			}
			served++
			if served > bad.goodAttempts {
				f.recordRequest(newVersion, bad.failureRate, bad.meanRating, random)
				continue
			}
			f.recordRequest(newVersion, healthyFailureRate, healthyRating, random)
		}
		f.exchangeEvidence(second)
		exposure := max(served-bad.goodAttempts, 0)
		if sequential < 0 && (f.alarmed() || exposure > maxExposure) {
			sequential = exposure
		}
		if fixed < 0 && (f.fixed.alarmed || exposure > maxExposure) {
			fixed = exposure
		}
	}
	return sequential, fixed
}

// runExposure measures the requests that a regressed version serves until detection, and the false
// alarms in healthy roll-outs.
func runExposure(seed uint64) *Report {
	report := &Report{Name: Exposure, Seed: seed}
	for i, bad := range regressions {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		var sequential, fixed float64
		for range exposureTrials {
			s, f := exposureUntilDetection(bad, random)
			sequential += float64(s) / exposureTrials
			fixed += float64(f) / exposureTrials
		}
		report.Variants = append(report.Variants, Variant{
			Name:    bad.name,
			Columns: []string{"requests served badly", "of fixed sample"},
			Rows: []Row{
				{"fixed sample", []float64{fixed, 1}},
				{"plumbarrow", []float64{sequential, sequential / fixed}},
			},
		})
		report.Aims = append(report.Aims, atMost(bad.name+": exposure of the fixed sample's", sequential/fixed, 0.25))
	}
	alarms, fixedAlarms := healthyRollouts(seed)
	report.Variants = append(report.Variants, Variant{
		Name:    fmt.Sprintf("%d healthy roll-outs of %d attempts", healthyTrials, healthyAttempts),
		Columns: []string{"false alarms"},
		Rows:    []Row{{"fixed sample", []float64{float64(fixedAlarms)}}, {"plumbarrow", []float64{float64(alarms)}}},
	})
	report.Aims = append(report.Aims, atMost("false alarms in healthy roll-outs", float64(alarms), healthyTrials/1000))
	return report
}

// healthyRollouts returns the number of roll-outs with a false alarm for the sequential test, checked
// once a second on one instance, and for the fixed-sample test.
func healthyRollouts(seed uint64) (alarms, fixedAlarms int64) {
	var sequential, fixed atomic.Int64
	var group errgroup.Group
	group.SetLimit(exposureWorkers)
	for trial := range healthyTrials {
		group.Go(func() error {
			s, f := healthyRollout(rand.New(rand.NewPCG(seed, healthyTrials+uint64(trial))))
			sequential.Add(s)
			fixed.Add(f)
			return nil
		})
	}
	_ = group.Wait()
	return sequential.Load(), fixed.Load()
}

// healthyRollout runs one roll-out and returns 1 for each test that raised an alarm.
func healthyRollout(random *rand.Rand) (sequential, fixed int64) {
	f := &fleet{settings: rollout.DefaultSettings(), fixed: newFixedSample()}
	e := rollout.NewEvidence(f.settings, machine.Member{Incarnation: "a", Zone: "zone-0"})
	e.Apply(exposureSnapshot())
	f.evidence = []*rollout.Evidence{e}
	for served := 0; served < healthyAttempts; {
		for range exposureRate {
			version := oldVersion
			if random.Float64() < exposureShare {
				version = newVersion
				served++
			}
			f.recordRequest(version, healthyFailureRate, healthyRating, random)
		}
		if f.alarmed() {
			sequential = 1
		}
	}
	if f.fixed.alarmed {
		fixed = 1
	}
	return sequential, fixed
}
