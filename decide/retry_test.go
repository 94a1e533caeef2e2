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

// TestRetryNeverRepeats runs random sequences of failures. A request that is not idempotent may be
// repeated only if it has not run, an answer delivered in part may only be resumed, and retries and
// hedges must stay within a tenth of the first attempts plus the burst.
func TestRetryNeverRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := buildSnapshot(document())
		budget := decide.NewRetryBudget()
		requests := rapid.IntRange(1, 300).Draw(t, "requests")
		retries := 0
		for range requests {
			req := request(snapshot)
			req.Idempotent = rapid.Bool().Draw(t, "idempotent")
			budget.Deposit("acme", "cheap")
			for attempt := 1; ; attempt++ {
				failed := decide.FailedAttempt{
					Pool:      "cheap",
					Verdict:   rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran}).Draw(t, "verdict"),
					Reason:    verdict.RetryConnection,
					Attempts:  attempt,
					Delivered: rapid.Bool().Draw(t, "delivered"),
					Resumable: rapid.Bool().Draw(t, "resumable"),
				}
				if decide.Hedge(req, "cheap", attempt, time.Second, time.Second, budget, epoch) {
					if !req.Idempotent {
						t.Fatalf("hedged work that is not idempotent")
					}
					retries++
				}
				decision := decide.Retry(req, failed, budget, epoch)
				if decision.Action == decide.Stop {
					if decision.Refusal.Verdict != failed.Verdict {
						t.Fatalf("refused as %s, was %s", decision.Refusal.Verdict, failed.Verdict)
					}
					break
				}
				retries++
				if !req.Idempotent && failed.Verdict != verdict.NotRun {
					t.Fatalf("repeated work that %s", failed.Verdict)
				}
				if failed.Delivered && (decision.Action != decide.Resume || !failed.Resumable) {
					t.Fatalf("%s after a part was delivered", decision.Action)
				}
			}
		}
		if limit := float64(requests)/10 + 10; float64(retries) > limit {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// TestRetryBudgetByRoute guards against Retry and Deposit using different budget keys when
// FailedAttempt.Pool is empty: retries of a twentieth of the requests must then all be allowed.
func TestRetryBudgetByRoute(t *testing.T) {
	req := request(buildSnapshot(document()))
	budget := decide.NewRetryBudget()
	for i := range 1000 {
		budget.Deposit("acme", "assistant")
		if i%20 == 0 {
			decision := decide.Retry(req, decide.FailedAttempt{Attempts: 1}, budget, epoch)
			qt.Assert(t, decision.Action, qt.Equals, decide.RetryOtherEndpoint, qt.Commentf("request %d", i))
		}
	}
}

// TestShedByPriorityAndDeadline checks which requests are shed as the queue fills up.
func TestShedByPriorityAndDeadline(t *testing.T) {
	snapshot := buildSnapshot(document())
	for _, tc := range []struct {
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
		t.Run(tc.name, func(t *testing.T) {
			req := request(snapshot)
			req.Customer = &contract.Customer{Name: "acme", Priority: tc.priority}
			req.Deadline = epoch.Add(tc.left)
			refusal := decide.Shed(req, decide.QueueState{Waiting: tc.waiting, MaxWaiting: 100, Concurrent: 10, ServiceTime: time.Second}, epoch)
			var reason verdict.Reason
			if refusal != nil {
				reason = refusal.Reason
			}
			qt.Assert(t, reason, qt.Equals, tc.want)
		})
	}
}

// fixedPlanner is a decide.Planner with a constant pass probability and plan.
type fixedPlanner struct {
	chance float64
	plan   decide.Plan
}

func (l fixedPlanner) PassChance(string, decide.Kind, int) (float64, int)   { return l.chance, 100 }
func (l fixedPlanner) Plan(*contract.Snapshot, *decide.Request) decide.Plan { return l.plan }
func (l fixedPlanner) ExpectedGain(*decide.Request, int, float64) float64   { return l.chance }

// TestCascadeSteps checks the first step and the decision after it, in a cascade whose second step
// costs ten times the first.
func TestCascadeSteps(t *testing.T) {
	snapshot := buildSnapshot(document())
	ratedPlan := decide.Plan{Accept: 0.7}
	for _, tc := range []struct {
		name    string
		quality fixedPlanner
		score   float64
		rated   bool
		first   int
		deliver bool
	}{
		{"cheap passes", fixedPlanner{0.5, ratedPlan}, 0.75, true, 0, true},
		{"cheap fails", fixedPlanner{0.5, ratedPlan}, 0.65, true, 0, false},
		{"unrated goes on", fixedPlanner{0.5, ratedPlan}, 0, false, 0, false},
		{"unrated is delivered", fixedPlanner{0.5, decide.Plan{Accept: 0.7, DeliverUnrated: true}}, 0, false, 0, true},
		{"cheap is skipped", fixedPlanner{0.05, ratedPlan}, 0, false, 1, true},
		{"deadline skips cheap", fixedPlanner{0.9, decide.Plan{Accept: 0.7, StepTime: 6 * time.Second}}, 0, false, 1, true},
		{"no rater, cheap suffices", fixedPlanner{0.9, decide.Plan{NoRater: true, DeliverUnrated: true}}, 0, false, 0, true},
		{"no rater, cheap does not", fixedPlanner{0.9, decide.Plan{NoRater: true}}, 0, false, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := request(snapshot)
			step := decide.FirstStep(snapshot, req, tc.quality, epoch, seededRand(1))
			qt.Assert(t, step.Index, qt.Equals, tc.first)
			next, deliver := decide.NextStep(snapshot, req, step, tc.score, tc.rated, epoch)
			qt.Assert(t, deliver, qt.Equals, tc.deliver)
			if !deliver {
				qt.Assert(t, next.Pool, qt.Equals, "good")
				qt.Assert(t, next.AwaitRating, qt.IsFalse)
			}
		})
	}
}
