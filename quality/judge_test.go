package quality_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/quality"
)

type fixedSource struct{ snapshot *contract.Snapshot }

func (f fixedSource) Current() *contract.Snapshot { return f.snapshot }

func cascade(target float64) *contract.Snapshot {
	weight := 1.0
	snapshot, err := contract.Build(&contract.Document{
		Zones:     []contract.Zone{{Name: "nbo-a", Region: "nairobi"}},
		Customers: []contract.Customer{{Name: "acme", KeyHashes: []string{contract.HashKey("k")}, Models: []string{"small", "large"}}},
		Models: []contract.Model{
			{Name: "small", Versions: []contract.ModelVersion{{Name: "v1", State: contract.VersionActive, Weight: &weight, Quality: 0.6, OutputPrice: 100}}},
			{Name: "large", Versions: []contract.ModelVersion{{Name: "v1", State: contract.VersionActive, Weight: &weight, Quality: 0.9, OutputPrice: 1000}}},
		},
		Pools:  []contract.Pool{{Name: "cheap", Kind: contract.PoolEngine, Model: "small", Routes: []string{"assistant"}}, {Name: "good", Kind: contract.PoolEngine, Model: "large", Routes: []string{"assistant"}}},
		Routes: []contract.Route{{Name: "assistant", Customers: []string{"acme"}, Model: "assistant", Pools: []string{"cheap", "good"}, QualityTarget: target}},
	}, 1)
	if err != nil {
		panic(err)
	}
	return snapshot
}

// rater returns a score after a delay, fails while down, or, if silent, does not answer until the call is cancelled.
type rater struct {
	delay  time.Duration
	down   atomic.Bool
	silent bool
	calls  atomic.Int64
}

func (r *rater) Rate(ctx context.Context, id, _, _ string) (infra.Rating, error) {
	r.calls.Add(1)
	if r.silent {
		<-ctx.Done()
		return infra.Rating{}, ctx.Err()
	}
	select {
	case <-time.After(r.delay):
	case <-ctx.Done():
		return infra.Rating{}, ctx.Err()
	}
	if r.down.Load() {
		return infra.Rating{}, errors.New("down")
	}
	return infra.Rating{RequestID: id, Score: 0.9}, nil
}

// withJudge runs f in virtual time with a judge that uses the rater.
func withJudge(t *testing.T, r *rater, f func(c *qt.C, judge *quality.RaterJudge, request *decide.Request, step decide.Step)) {
	synctest.Test(t, func(t *testing.T) {
		snapshot := cascade(0.8)
		judge := quality.NewJudge(quality.DefaultSettings(), fixedSource{snapshot}, r, nil, telemetry.New(), slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- judge.Run(ctx) }()
		request := &decide.Request{ID: "r1", Route: snapshot.Routes["assistant"], PromptTokens: 100, Arrived: time.Now()}
		f(qt.New(t), judge, request, decide.Step{Pool: "cheap", AwaitRating: true, Accept: 0.8})
		cancel()
		<-done
	})
}

// rateWithin reports whether the answer was rated within the limit.
func rateWithin(limit time.Duration, judge *quality.RaterJudge, request *decide.Request, step decide.Step) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, rated := judge.Rate(ctx, request, step, "prompt", "answer")
	return rated
}

// TestLateRatingIsLearned checks that a rating that arrives after its request stopped waiting is still learned.
func TestLateRatingIsLearned(t *testing.T) {
	withJudge(t, &rater{delay: 2 * time.Second}, func(c *qt.C, judge *quality.RaterJudge, request *decide.Request, step decide.Step) {
		c.Assert(rateWithin(time.Second, judge, request, step), qt.IsFalse)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		_, ratings := judge.PassChance("assistant", decide.KindOf(request), 0)
		c.Assert(ratings, qt.Equals, 1)
	})
}

// TestRaterOutAndBack checks that the breaker stops calls to a failing rater, that cascades then use the learned
// scores, and that sampled answers close the breaker once the rater is back.
func TestRaterOutAndBack(t *testing.T) {
	r := &rater{}
	withJudge(t, r, func(c *qt.C, judge *quality.RaterJudge, request *decide.Request, step decide.Step) {
		r.down.Store(true)
		for range 100 {
			rateWithin(time.Second, judge, request, step)
		}
		c.Assert(r.calls.Load(), qt.Equals, int64(5))
		cheap := 0
		for range 3000 {
			plan := judge.Plan(cascade(0.8), request)
			c.Assert(plan.NoRater, qt.IsTrue)
			delivered := decide.Step{Index: 1}
			if plan.DeliverUnrated {
				delivered.Index = 0
				cheap++
			}
			judge.Sample(request, delivered, "prompt", "answer")
		}
		c.Assert(cheap > 900 && cheap < 1200, qt.IsTrue, qt.Commentf("(0.9-0.8)/(0.9-0.6) of 3000, got %d", cheap))
		r.down.Store(false)
		time.Sleep(6 * time.Second)
		judge.Sample(request, step, "prompt", "answer")
		synctest.Wait()
		c.Assert(judge.Plan(cascade(0.8), request).NoRater, qt.IsFalse)
	})
}

// TestSilentRaterIsBounded checks that a rater that never answers causes a bounded number of calls and does not delay
// a request beyond its own time limit.
func TestSilentRaterIsBounded(t *testing.T) {
	r := &rater{silent: true}
	withJudge(t, r, func(c *qt.C, judge *quality.RaterJudge, request *decide.Request, step decide.Step) {
		for range 1000 {
			judge.Sample(request, step, "prompt", "answer")
			rateWithin(time.Millisecond, judge, request, step)
		}
		c.Assert(r.calls.Load() <= 8, qt.IsTrue, qt.Commentf("%d calls", r.calls.Load()))
	})
}

// TestTargetIsHeld runs cascades whose cheap step becomes worse half-way. In both halves the mean score of the
// delivered answers must stay within 0.01 of the target, while less than nine tenths of the requests pay for the
// good step.
func TestTargetIsHeld(t *testing.T) {
	const target, n = 0.8, 20_000
	c := qt.New(t)
	snapshot := cascade(target)
	learner := quality.NewLearner(quality.DefaultSettings(), fixedSource{snapshot})
	route := snapshot.Routes["assistant"]
	random := rand.New(rand.NewPCG(1, 1))
	clamp := func(x float64) float64 { return min(max(x, 0), 1) }
	for _, cheapMean := range []float64{0.75, 0.55} {
		var sum float64
		good := 0
		for range n {
			request := &decide.Request{Route: route, PromptTokens: 100, Deadline: time.Unix(10, 0)}
			step := decide.FirstStep(snapshot, request, learner, time.Unix(0, 0), random)
			score := clamp(0.9 + 0.05*random.NormFloat64())
			if step.AwaitRating {
				cheap := clamp(cheapMean + 0.15*random.NormFloat64())
				learner.Learn("assistant", decide.KindOf(request), 0, cheap)
				if _, deliver := decide.NextStep(snapshot, request, step, cheap, true, time.Unix(1, 0)); deliver {
					learner.Delivered(route, cheap)
					sum += cheap
					continue
				}
			}
			good++
			sum += score
			if random.Float64() < 0.05 {
				learner.Learn("assistant", decide.KindOf(request), 1, score)
			}
			learner.Delivered(route, learner.Mean("assistant", decide.KindOf(request), 1))
		}
		mean := sum / n
		c.Assert(mean > target-0.01 && mean < target+0.01, qt.IsTrue, qt.Commentf("cheap mean %g: delivered mean %.4f", cheapMean, mean))
		c.Assert(good < n*9/10, qt.IsTrue, qt.Commentf("%d of %d paid for the good step", good, n))
		c.Logf("cheap mean %g: delivered mean %.4f, good step %.1f%%", cheapMean, mean, 100*float64(good)/n)
	}
}

// BenchmarkFirstStep measures the choice of a cascade's first step from learned scores.
func BenchmarkFirstStep(b *testing.B) {
	snapshot := cascade(0.8)
	learner := quality.NewLearner(quality.DefaultSettings(), fixedSource{snapshot})
	random := rand.New(rand.NewPCG(1, 1))
	request := &decide.Request{Route: snapshot.Routes["assistant"], PromptTokens: 100, Deadline: time.Unix(10, 0)}
	for range 1000 {
		learner.Learn("assistant", decide.KindOf(request), 0, random.Float64())
	}
	b.ReportAllocs()
	for b.Loop() {
		decide.FirstStep(snapshot, request, learner, time.Unix(0, 0), random)
	}
}
