package rollout_test

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/rollout"
)

var (
	oldVersion = contract.VersionID{Model: "small", Name: "v1"}
	newVersion = contract.VersionID{Model: "small", Name: "v2"}
)

func document() *contract.Document {
	weight := func(w float64) *float64 { return &w }
	return &contract.Document{
		Zones:     []contract.Zone{{Name: "nbo-a", Region: "nairobi"}, {Name: "nbo-b", Region: "nairobi"}},
		Customers: []contract.Customer{{Name: "acme", KeyHashes: []string{contract.HashKey("k")}, Models: []string{"small"}}},
		Models: []contract.Model{{Name: "small", Versions: []contract.ModelVersion{
			{Name: "v1", State: contract.VersionActive, Weight: weight(9)},
			{Name: "v2", State: contract.VersionActive, Weight: weight(1)},
		}}},
		Pools:  []contract.Pool{{Name: "engines", Kind: contract.PoolEngine, Model: "small", Routes: []string{"assistant"}}},
		Routes: []contract.Route{{Name: "assistant", Customers: []string{"acme"}, Model: "assistant", Pools: []string{"engines"}}},
	}
}

// fakeConfiguration is a configuration document that proposals edit. While down is set it refuses
// proposals and counts them.
type fakeConfiguration struct {
	mu       sync.Mutex
	document *contract.Document
	revision contract.Revision
	changes  map[string]bool
	failures int
	down     bool
}

func newFakeConfiguration() *fakeConfiguration {
	return &fakeConfiguration{document: document(), revision: 1, changes: make(map[string]bool)}
}

func (h *fakeConfiguration) Current() *contract.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	clone := *h.document
	clone.Models = []contract.Model{{Name: "small", Versions: append([]contract.ModelVersion(nil), h.document.Models[0].Versions...)}}
	snapshot, err := contract.BuildAccepted(&clone, h.revision)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func (h *fakeConfiguration) Propose(_ context.Context, changeID string, edit func(*contract.Document) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		h.failures++
		return errors.New("store down")
	}
	if h.changes[changeID] {
		return nil
	}
	if err := edit(h.document); err != nil {
		return err
	}
	h.changes[changeID] = true
	h.revision++
	return nil
}

// soleMember is a Members of one instance.
type soleMember struct{ self machine.Member }

func (a soleMember) Self() machine.Member   { return a.self }
func (a soleMember) Live() []machine.Member { return []machine.Member{a.self} }

func member(id, zone string) machine.Member {
	return machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation(id + "-1"), Zone: zone}
}

// serve records n attempts, of which the share failing fails on average.
func serve(e *rollout.Evidence, version contract.VersionID, n int, failing float64, random *rand.Rand) {
	for range n {
		e.RecordAttempt(rollout.Attempt{Version: version, Failed: random.Float64() < failing, FirstByte: time.Second})
	}
}

// TestEvidenceMerges exchanges evidence among four instances in two zones. Each has too little of
// its own; together they find the bad version, and repeated, late and reordered messages change
// nothing.
func TestEvidenceMerges(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	settings := rollout.DefaultSettings()
	members := []machine.Member{member("a1", "nbo-a"), member("a2", "nbo-a"), member("b1", "nbo-b"), member("b2", "nbo-b")}
	evidence := make([]*rollout.Evidence, len(members))
	var stale [][]byte
	for i, self := range members {
		evidence[i] = rollout.NewEvidence(settings, self)
		evidence[i].Apply(newFakeConfiguration().Current())
		serve(evidence[i], oldVersion, 20, 0.01, random)
		stale = append(stale, evidence[i].Message(members[0]))
		serve(evidence[i], oldVersion, 100, 0.01, random)
		serve(evidence[i], newVersion, 20, 0.3, random)
		c.Assert(evidence[i].Findings()[0].LogEvidence < math.Log(10_000), qt.IsTrue)
	}
	for range 3 {
		for i, from := range members {
			for j, to := range members {
				if i != j {
					evidence[j].Receive(from, evidence[i].Message(to))
					evidence[j].Receive(from, stale[i])
				}
			}
		}
	}
	for _, one := range evidence {
		finding := one.Findings()[0]
		c.Assert(finding.PredecessorTally.Attempts, qt.Equals, uint64(480))
		c.Assert(finding.VersionTally.Attempts, qt.Equals, uint64(80))
		c.Assert(finding.LogEvidence > math.Log(10_000), qt.IsTrue, qt.Commentf("log evidence %g", finding.LogEvidence))
	}
	evidence[0].Receive(members[1], []byte("not a message"))
}

// TestQuarantineThenWithdrawal finds a version bad while the store is down: it is quarantined at
// this instance at once, and withdrawn from the fleet when the store is back. After operators make
// it active again, it leaves quarantine and can be withdrawn again.
func TestQuarantineThenWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		self := member("a1", "nbo-a")
		configuration := newFakeConfiguration()
		configuration.down = true
		evidence := rollout.NewEvidence(rollout.DefaultSettings(), self)
		evidence.Apply(configuration.Current())
		guard := rollout.NewGuard(rollout.DefaultSettings(), evidence, configuration, soleMember{self}, configuration, telemetry.New(), slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- guard.Run(ctx) }()

		random := rand.New(rand.NewPCG(1, 1))
		serve(evidence, oldVersion, 500, 0.01, random)
		serve(evidence, newVersion, 100, 0.4, random)
		time.Sleep(2 * time.Second)
		restricted := configuration.Current().Restrict(guard.Restrictions())
		c.Assert(restricted.Versions[newVersion].State, qt.Equals, contract.VersionWithdrawn)
		c.Assert(restricted.Versions[oldVersion].State, qt.Equals, contract.VersionActive)

		configuration.mu.Lock()
		c.Assert(configuration.failures > 0, qt.IsTrue)
		configuration.down = false
		configuration.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.Assert(configuration.Current().Versions[newVersion].State, qt.Equals, contract.VersionWithdrawn)
		c.Assert(configuration.Current().Revision, qt.Equals, contract.Revision(2))

		configuration.mu.Lock()
		configuration.document.Models[0].Versions[1].State = contract.VersionActive
		configuration.revision++
		configuration.mu.Unlock()
		time.Sleep(2 * time.Second)
		c.Assert(guard.Quarantined(), qt.HasLen, 0)
		serve(evidence, oldVersion, 500, 0.01, random)
		serve(evidence, newVersion, 100, 0.4, random)
		time.Sleep(3 * time.Second)
		c.Assert(configuration.Current().Versions[newVersion].State, qt.Equals, contract.VersionWithdrawn)
		cancel()
		<-done
	})
}

// TestTurnsBadWhileServing guards against a long healthy past that hides a version turned bad.
func TestTurnsBadWhileServing(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	evidence := rollout.NewEvidence(rollout.DefaultSettings(), member("a1", "nbo-a"))
	evidence.Apply(newFakeConfiguration().Current())
	alarm := func() bool { return evidence.Findings()[0].LogEvidence >= math.Log(10_000) }
	for range 2000 {
		serve(evidence, oldVersion, 9, 0.02, random)
		serve(evidence, newVersion, 1, 0.02, random)
		c.Assert(alarm(), qt.IsFalse)
	}
	bad := 0
	for ; !alarm(); bad++ {
		serve(evidence, oldVersion, 9, 0.02, random)
		serve(evidence, newVersion, 1, 0.3, random)
		c.Assert(bad < 200, qt.IsTrue, qt.Commentf("not found after 200 attempts"))
	}
	t.Logf("found after %d attempts", bad)
}

// TestFalseAlarms checks healthy roll-outs after every batch of answers and counts how many ever
// raise an alarm. A fixed-sample test of the same level, checked as often, must exceed the bound;
// else the trial would prove nothing.
func TestFalseAlarms(t *testing.T) {
	const rollouts, checks = 1000, 100
	settings := rollout.DefaultSettings()
	settings.ErrorMargin, settings.RatingMargin, settings.SlowMargin = 0, 0, 0
	settings.FalseAlarm = 0.01
	random := rand.New(rand.NewPCG(1, 1))
	sequential, fixed := 0, 0
	for range rollouts {
		var previous, next rollout.Tally
		alarmed, fixedAlarmed := false, false
		for range checks {
			addHealthyAnswers(&previous, 18, random)
			addHealthyAnswers(&next, 2, random)
			alarmed = alarmed || rollout.CombinedLogEValue(settings, previous, next) >= math.Log(1/settings.FalseAlarm)
			fixedAlarmed = fixedAlarmed || zTest(previous, next)
		}
		if alarmed {
			sequential++
		}
		if fixedAlarmed {
			fixed++
		}
	}
	qt.Assert(t, sequential <= 10, qt.IsTrue, qt.Commentf("%d of %d healthy roll-outs at a level of 1 in 100", sequential, rollouts))
	qt.Assert(t, fixed > 10, qt.IsTrue, qt.Commentf("the fixed-sample test alarms %d times: the trial is too easy", fixed))
	t.Logf("false alarms of %d: sequential %d, fixed-sample %d", rollouts, sequential, fixed)
}

// zTest compares the failures of two versions by the usual test of two proportions, at a level of 1
// in 100.
func zTest(previous, next rollout.Tally) bool {
	n, m := float64(previous.Attempts), float64(next.Attempts)
	p, q := float64(previous.Failures)/n, float64(next.Failures)/m
	pooled := (p*n + q*m) / (n + m)
	return q-p > 2.326*math.Sqrt(pooled*(1-pooled)*(1/n+1/m))
}

// addHealthyAnswers adds n healthy answers.
func addHealthyAnswers(tally *rollout.Tally, n int, random *rand.Rand) {
	for range n {
		tally.Attempts++
		tally.FirstBytes++
		if random.Float64() < 0.02 {
			tally.Failures++
		}
		if random.Float64() < 0.05 {
			tally.Slow++
		}
		tally.AddRating(min(max(0.8+0.15*random.NormFloat64(), 0), 1))
	}
}

// BenchmarkMessage encodes one comparison's evidence at the target size: 24 instances in the zone, 17
// zones. It reports the size of a message within the zone.
func BenchmarkMessage(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	configuration := newFakeConfiguration().Current()
	self := member("a", "nbo-a")
	evidence := rollout.NewEvidence(rollout.DefaultSettings(), self)
	evidence.Apply(configuration)
	for i := range 24 + 16 {
		from := member("m"+strconv.Itoa(i), "nbo-a")
		if i >= 24 {
			from.Zone = "zone-" + strconv.Itoa(i)
		}
		other := rollout.NewEvidence(rollout.DefaultSettings(), from)
		other.Apply(configuration)
		serve(other, oldVersion, 5000, 0.02, random)
		serve(other, newVersion, 500, 0.02, random)
		for range 500 {
			other.RecordRating(oldVersion, random.Float64())
			other.RecordRating(newVersion, random.Float64())
		}
		evidence.Receive(from, other.Message(self))
	}
	var size int
	for b.Loop() {
		size = len(evidence.Message(self))
	}
	b.ReportMetric(float64(size), "B/message")
}

// BenchmarkFindings tests one comparison after a long stage, as the guard does once a second.
func BenchmarkFindings(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	evidence := rollout.NewEvidence(rollout.DefaultSettings(), member("a", "nbo-a"))
	evidence.Apply(newFakeConfiguration().Current())
	for range 400 {
		serve(evidence, oldVersion, 450, 0.02, random)
		serve(evidence, newVersion, 50, 0.02, random)
		evidence.RecordRating(oldVersion, random.Float64())
		evidence.RecordRating(newVersion, random.Float64())
		evidence.Findings()
	}
	for b.Loop() {
		evidence.Findings()
	}
}
