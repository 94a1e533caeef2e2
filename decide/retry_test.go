package decide_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestRetryNeverRepeats: over any run of failures, work that is not idempotent is repeated only if
// it has not run, a delivered answer is at most resumed, and retries and hedges stay within a tenth
// of the first attempts plus the burst.
func TestRetryNeverRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := build(document())
		budget := decide.NewRetryBudget()
		requests := rapid.IntRange(1, 300).Draw(t, "requests")
		retries := 0
		for range requests {
			ask := request(snapshot)
			ask.Idempotent = rapid.Bool().Draw(t, "idempotent")
			budget.Paid("acme", "cheap")
			for attempt := 1; ; attempt++ {
				failed := decide.Failed{
					Pool:      "cheap",
					Verdict:   rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict"),
					Reason:    verdict.RetryConnection,
					Attempts:  attempt,
					Delivered: rapid.Bool().Draw(t, "delivered"),
					Resumable: rapid.Bool().Draw(t, "resumable"),
				}
				if decide.Hedge(ask, "cheap", attempt, time.Second, time.Second, budget, epoch) {
					if !ask.Idempotent {
						t.Fatalf("hedged work that is not idempotent")
					}
					retries++
				}
				next := decide.Retry(ask, failed, budget, epoch)
				if next.Action == decide.Stop {
					if next.Refusal.Verdict != failed.Verdict {
						t.Fatalf("refused as %s, was %s", next.Refusal.Verdict, failed.Verdict)
					}
					break
				}
				retries++
				if !ask.Idempotent && failed.Verdict != verdict.NotRun {
					t.Fatalf("repeated work that %s", failed.Verdict)
				}
				if failed.Delivered && (next.Action != decide.Resume || !failed.Resumable) {
					t.Fatalf("%s after a part was delivered", next.Action)
				}
			}
		}
		if limit := float64(requests)/10 + 10; float64(retries) > limit {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// TestRetryBudgetByRoute: a caller that counts requests by route finds what they paid.
func TestRetryBudgetByRoute(t *testing.T) {
	ask := request(build(document()))
	budget := decide.NewRetryBudget()
	for i := range 1000 {
		budget.Paid("acme", "assistant")
		if i%20 == 0 {
			after := decide.Retry(ask, decide.Failed{Attempts: 1}, budget, epoch)
			qt.Assert(t, after.Action, qt.Equals, decide.Elsewhere, qt.Commentf("request %d", i))
		}
	}
}

// TestShedByPriorityAndDeadline checks who waits in a queue that fills up.
func TestShedByPriorityAndDeadline(t *testing.T) {
	snapshot := build(document())
	for _, one := range []struct {
		name     string
		priority int
		waiting  int
		left     time.Duration
		want     verdict.Reason
	}{
		{"low priority, half full", -9, 50, time.Minute, verdict.QueueFull},
		{"high priority, half full", 18, 50, time.Minute, ""},
		{"high priority, full", 18, 100, time.Minute, verdict.QueueFull},
		{"deadline would pass", 18, 50, time.Second, verdict.ShedOverload},
	} {
		t.Run(one.name, func(t *testing.T) {
			ask := request(snapshot)
			ask.Customer = &contract.Customer{Name: "acme", Priority: one.priority}
			ask.Deadline = epoch.Add(one.left)
			refusal := decide.Shed(ask, decide.Pressure{Waiting: one.waiting, MaxWaiting: 100, Concurrent: 10, Service: time.Second}, epoch)
			var reason verdict.Reason
			if refusal != nil {
				reason = refusal.Reason
			}
			qt.Assert(t, reason, qt.Equals, one.want)
		})
	}
}

// learned is a fixed state of learning.
type learned struct {
	chance float64
	plan   decide.Plan
}

func (l learned) PassChance(string, decide.Kind, int) (float64, int)   { return l.chance, 100 }
func (l learned) Plan(*contract.Snapshot, *decide.Request) decide.Plan { return l.plan }
func (l learned) Worth(*decide.Request, int, float64) float64          { return l.chance }

// TestCascadeSteps checks the start and the continuation of a cascade whose second step costs ten
// times the first.
func TestCascadeSteps(t *testing.T) {
	snapshot := build(document())
	judged := decide.Plan{Accept: 0.7}
	for _, one := range []struct {
		name    string
		quality learned
		score   float64
		rated   bool
		first   int
		deliver bool
	}{
		{"cheap passes", learned{0.5, judged}, 0.75, true, 0, true},
		{"cheap fails", learned{0.5, judged}, 0.65, true, 0, false},
		{"unrated goes on", learned{0.5, judged}, 0, false, 0, false},
		{"unrated is delivered", learned{0.5, decide.Plan{Accept: 0.7, Unrated: true}}, 0, false, 0, true},
		{"cheap is skipped", learned{0.05, judged}, 0, false, 1, true},
		{"deadline skips cheap", learned{0.9, decide.Plan{Accept: 0.7, StepTime: 6 * time.Second}}, 0, false, 1, true},
		{"no rater, cheap suffices", learned{0.9, decide.Plan{Blind: true, Unrated: true}}, 0, false, 0, true},
		{"no rater, cheap does not", learned{0.9, decide.Plan{Blind: true}}, 0, false, 1, true},
	} {
		t.Run(one.name, func(t *testing.T) {
			ask := request(snapshot)
			step := decide.FirstStep(snapshot, ask, one.quality, epoch, seeded(1))
			qt.Assert(t, step.Index, qt.Equals, one.first)
			next, deliver := decide.NextStep(snapshot, ask, step, one.score, one.rated, epoch)
			qt.Assert(t, deliver, qt.Equals, one.deliver)
			if !deliver {
				qt.Assert(t, next.Pool, qt.Equals, "good")
				qt.Assert(t, next.Judge, qt.IsFalse)
			}
		})
	}
}
