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
	exposureTrials   = 100
	exposureHealthy  = 10_000
	exposureWorkers  = 4
	healthyAttempts  = 1_000 // of the new version per healthy roll-out
	exposureShare    = 0.1   // of the sessions go to the new version
	exposurePerTick  = 60    // requests a second over all instances
	exposureLimit    = 20_000
	healthyFailing   = 0.02
	healthyRating    = 0.8
	ratingSpread     = 0.15
	ratedShare       = 0.2
	exposureDetected = 0.05 // rise of failures that the fixed sample is sized for
	oneSided         = 3.09 // normal quantile of one false alarm in 1,000
	ninetyPercent    = 1.28 // normal quantile of a power of 90 in 100
)

var (
	oldVersion = contract.VersionID{Model: "small", Name: "v1"}
	newVersion = contract.VersionID{Model: "small", Name: "v2"}
)

// badness is how the new version turns bad, after so many of its attempts.
type badness struct {
	name    string
	failing float64
	rating  float64
	after   int
}

var badnesses = []badness{
	{"fails 10 %, from the start", 0.10, healthyRating, 0},
	{"fails 30 %, from the start", 0.30, healthyRating, 0},
	{"fails 30 %, after 2,000 good attempts", 0.30, healthyRating, 2000},
	{"rated 0.2 lower, from the start", healthyFailing, healthyRating - 0.2, 0},
}

// fleet is six instances in three zones that share evidence once a second.
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
		one := rollout.NewEvidence(f.settings, self)
		one.Apply(snapshot)
		f.members = append(f.members, self)
		f.evidence = append(f.evidence, one)
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

// serve records one request at a random instance, for the fixed-sample test too.
func (f *fleet) serve(version contract.VersionID, failing, rating float64, random *rand.Rand) {
	one := f.evidence[random.IntN(len(f.evidence))]
	failed := random.Float64() < failing
	one.Attempt(rollout.Attempt{Version: version, Failed: failed, FirstByte: time.Second})
	score := math.NaN()
	if random.Float64() < ratedShare {
		score = clamp(rating + ratingSpread*random.NormFloat64())
		one.Rating(version, score)
	}
	f.fixed.see(version, failed, score)
}

// gossip lets each instance tell the one of its zone and one of another zone, in turns.
func (f *fleet) gossip(second int) {
	n := len(f.members)
	for i, from := range f.members {
		mate := i ^ 1
		far := (i + 2 + second%(n-2)) % n
		for _, to := range []int{mate, far} {
			f.evidence[to].Receive(from, f.evidence[i].Message(f.members[to]))
		}
	}
}

// alarmed says whether any instance finds the new version bad.
func (f *fleet) alarmed() bool {
	alarm := math.Log(1 / f.settings.FalseAlarm)
	for _, one := range f.evidence {
		if one.Findings()[0].LogEvidence >= alarm {
			return true
		}
	}
	return false
}

// exposed runs one roll-out until both tests have found the version bad, and returns how many
// requests it had served badly by then under each.
func exposed(bad badness, random *rand.Rand) (sequential, fixed int) {
	f := newFleet()
	if bad.after > 0 {
		// The version turns bad at any point of the fixed sample.
		bad.after += random.IntN(f.fixed.size)
	}
	served, sequential, fixed := 0, -1, -1
	for second := 0; sequential < 0 || fixed < 0; second++ {
		for range exposurePerTick {
			if random.Float64() >= exposureShare {
				f.serve(oldVersion, healthyFailing, healthyRating, random)
				continue
			}
			served++
			if served > bad.after {
				f.serve(newVersion, bad.failing, bad.rating, random)
				continue
			}
			f.serve(newVersion, healthyFailing, healthyRating, random)
		}
		f.gossip(second)
		badly := max(served-bad.after, 0)
		if sequential < 0 && (f.alarmed() || badly > exposureLimit) {
			sequential = badly
		}
		if fixed < 0 && (f.fixed.alarmed || badly > exposureLimit) {
			fixed = badly
		}
	}
	return sequential, fixed
}

// runExposure measures requests served by a bad version, and false alarms in healthy roll-outs.
func runExposure(seed uint64) *Report {
	report := &Report{Name: Exposure, Seed: seed}
	for i, bad := range badnesses {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		var sequential, fixed float64
		for range exposureTrials {
			s, f := exposed(bad, random)
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
		Name:    fmt.Sprintf("%d healthy roll-outs of %d attempts", exposureHealthy, healthyAttempts),
		Columns: []string{"false alarms"},
		Rows:    []Row{{"fixed sample", []float64{float64(fixedAlarms)}}, {"plumbarrow", []float64{float64(alarms)}}},
	})
	report.Aims = append(report.Aims, atMost("false alarms in healthy roll-outs", float64(alarms), exposureHealthy/1000))
	return report
}

// healthyRollouts counts false alarms of one instance that looks once a second, by both tests.
func healthyRollouts(seed uint64) (alarms, fixedAlarms int64) {
	var sequential, fixed atomic.Int64
	var group errgroup.Group
	group.SetLimit(exposureWorkers)
	for trial := range exposureHealthy {
		group.Go(func() error {
			s, f := healthyRollout(rand.New(rand.NewPCG(seed, exposureHealthy+uint64(trial))))
			sequential.Add(s)
			fixed.Add(f)
			return nil
		})
	}
	_ = group.Wait()
	return sequential.Load(), fixed.Load()
}

// healthyRollout returns 1 for each test that alarmed.
func healthyRollout(random *rand.Rand) (sequential, fixed int64) {
	f := &fleet{settings: rollout.DefaultSettings(), fixed: newFixedSample()}
	one := rollout.NewEvidence(f.settings, machine.Member{Incarnation: "a", Zone: "zone-0"})
	one.Apply(exposureSnapshot())
	f.evidence = []*rollout.Evidence{one}
	for served := 0; served < healthyAttempts; {
		for range exposurePerTick {
			version := oldVersion
			if random.Float64() < exposureShare {
				version = newVersion
				served++
			}
			f.serve(version, healthyFailing, healthyRating, random)
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
