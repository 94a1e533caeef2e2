package quality

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
)

// Evidence takes in the scores of versions.
type Evidence interface {
	Rating(version contract.VersionID, score float64)
}

// RaterJudge is a Judge over the platform's rater. At most QueueLength answers wait and Workers are
// rated at a time; what does not fit is not rated. Safe for concurrent use.
type RaterJudge struct {
	*Learner
	settings Settings
	rater    infra.Rater
	evidence Evidence
	counters *telemetry.Counters
	log      *slog.Logger
	breaker  breaker
	queue    chan job
}

var (
	_ Judge          = (*RaterJudge)(nil)
	_ decide.Planner = (*RaterJudge)(nil)
)

// job is one answer to rate. A judged one has done set, which receives the score, or is closed
// without one.
type job struct {
	request        *decide.Request
	step           decide.Step
	prompt, answer string
	done           chan float64
}

// NewJudge returns a judge; it rates once Run is running. evidence may be nil.
func NewJudge(settings Settings, source contract.Source, rater infra.Rater, evidence Evidence, counters *telemetry.Counters, log *slog.Logger) *RaterJudge {
	return &RaterJudge{
		Learner:  NewLearner(settings, source),
		settings: settings,
		rater:    rater,
		evidence: evidence,
		counters: counters,
		log:      log,
		breaker:  breaker{failures: settings.BreakerFailures, pause: settings.breakerPause()},
		queue:    make(chan job, settings.QueueLength),
	}
}

// Run rates waiting answers until ctx ends.
func (j *RaterJudge) Run(ctx context.Context) error {
	var group errgroup.Group
	for range j.settings.Workers {
		group.Go(func() error {
			j.work(ctx)
			return nil
		})
	}
	return group.Wait()
}

func (j *RaterJudge) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-j.queue:
			j.rate(ctx, one)
		}
	}
}

// rate asks the rater and learns from its answer, also when nobody waits for it any more.
func (j *RaterJudge) rate(ctx context.Context, one job) {
	limited, cancel := context.WithTimeout(ctx, j.settings.timeout())
	defer cancel()
	rating, err := j.rater.Rate(limited, one.request.ID, one.prompt, one.answer)
	if ctx.Err() == nil && j.breaker.record(err == nil, time.Now()) {
		j.log.Warn("rater stopped answering", "error", err)
	}
	if err != nil || rating.Score < 0 || rating.Score > 1 {
		j.count("failed")
		j.finish(one)
		return
	}
	j.count("rated")
	j.Learn(one.request.Route.Name, decide.KindOf(one.request), one.step.Index, rating.Score)
	if j.evidence != nil && one.step.Version != (contract.VersionID{}) {
		j.evidence.Rating(one.step.Version, rating.Score)
	}
	if one.done != nil {
		one.done <- rating.Score
	}
}

func (j *RaterJudge) finish(one job) {
	if one.done != nil {
		close(one.done)
	}
}

// Rate implements Judge.
func (j *RaterJudge) Rate(ctx context.Context, request *decide.Request, step decide.Step, prompt, answer string) (score float64, rated bool) {
	one := job{request: request, step: step, prompt: prompt, answer: answer, done: make(chan float64, 1)}
	if !j.enqueue(one) {
		return 0, false
	}
	select {
	case score, rated = <-one.done:
	case <-ctx.Done():
		j.count("late")
		return 0, false
	}
	if !rated {
		return 0, false
	}
	j.Took(request.Route.Name, time.Since(request.Arrived))
	if score >= step.Accept {
		j.Delivered(request.Route, score)
	}
	return score, true
}

// Sample implements Judge. It is called for each delivered answer that was not judged.
func (j *RaterJudge) Sample(request *decide.Request, step decide.Step, prompt, answer string) {
	if request.Route.QualityTarget > 0 {
		j.delivered(request, step)
	}
	if !j.breaker.open() && rand.Float64() >= j.settings.SampleShare {
		return
	}
	j.enqueue(job{request: request, step: step, prompt: prompt, answer: answer})
}

// delivered steers by what was learned of the step, since the answer itself was not rated.
func (j *RaterJudge) delivered(request *decide.Request, step decide.Step) {
	score := j.Mean(request.Route.Name, decide.KindOf(request), step.Index)
	if j.breaker.open() {
		j.DeliveredBlind(request.Route, score)
		return
	}
	j.Delivered(request.Route, score)
}

func (j *RaterJudge) enqueue(one job) bool {
	if !j.breaker.allow(time.Now()) {
		j.count("breaker_open")
		return false
	}
	select {
	case j.queue <- one:
		return true
	default:
		j.count("queue_full")
		return false
	}
}

// Plan implements decide.Planner.
func (j *RaterJudge) Plan(snapshot *contract.Snapshot, request *decide.Request) decide.Plan {
	plan := j.Learner.Plan(snapshot, request)
	plan.Blind = j.breaker.open()
	return plan
}

func (j *RaterJudge) count(outcome string) {
	j.counters.Add("plumbarrow_ratings_total", "outcome", outcome)
}
