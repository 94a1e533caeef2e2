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

// RatingRecorder records the scores of versions' answers.
type RatingRecorder interface {
	// RecordRating records the score, 0 to 1, of an answer by the version.
	RecordRating(version contract.VersionID, score float64)
}

// RaterJudge is a Judge that uses the platform's rater. At most Settings.QueueLength answers wait and
// Settings.Workers are rated at a time; an answer that finds the queue full is not rated. Safe for concurrent use.
type RaterJudge struct {
	*Learner
	settings Settings
	rater    infra.Rater
	recorder RatingRecorder
	counters *telemetry.Counters
	log      *slog.Logger
	breaker  breaker
	queue    chan job
}

var (
	_ Judge          = (*RaterJudge)(nil)
	_ decide.Planner = (*RaterJudge)(nil)
)

// job is one answer to rate. score is nil for sampled answers. For answers held for rating it receives the score,
// or is closed if the rating failed.
type job struct {
	request        *decide.Request
	step           decide.Step
	prompt, answer string
	score          chan float64
}

// NewJudge returns a judge, which rates answers while Run is running. recorder may be nil.
func NewJudge(settings Settings, source contract.Source, rater infra.Rater, recorder RatingRecorder, counters *telemetry.Counters, log *slog.Logger) *RaterJudge {
	return &RaterJudge{
		Learner:  NewLearner(settings, source),
		settings: settings,
		rater:    rater,
		recorder: recorder,
		counters: counters,
		log:      log,
		breaker:  breaker{threshold: settings.BreakerFailures, pause: settings.breakerPause()},
		queue:    make(chan job, settings.QueueLength),
	}
}

// Run rates queued answers until ctx ends.
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
		case item := <-j.queue:
			j.rate(ctx, item)
		}
	}
}

// rate asks the rater for a score and learns from it, even if the request no longer waits for it.
func (j *RaterJudge) rate(ctx context.Context, item job) {
	rateCtx, cancel := context.WithTimeout(ctx, j.settings.timeout())
	defer cancel()
	rating, err := j.rater.Rate(rateCtx, item.request.ID, item.prompt, item.answer)
	if ctx.Err() == nil && j.breaker.record(err == nil, time.Now()) {
		j.log.Warn("circuit breaker opened: the rater keeps failing", "error", err)
	}
	if err != nil || rating.Score < 0 || rating.Score > 1 {
		j.count("failed")
		j.finishUnrated(item)
		return
	}
	j.count("rated")
	j.Learn(item.request.Route.Name, decide.KindOf(item.request), item.step.Index, rating.Score)
	if j.recorder != nil && item.step.Version != (contract.VersionID{}) {
		j.recorder.RecordRating(item.step.Version, rating.Score)
	}
	if item.score != nil {
		item.score <- rating.Score
	}
}

// finishUnrated ends the wait for a rating that failed.
func (j *RaterJudge) finishUnrated(item job) {
	if item.score != nil {
		close(item.score)
	}
}

// Rate implements Judge.
func (j *RaterJudge) Rate(ctx context.Context, request *decide.Request, step decide.Step, prompt, answer string) (score float64, rated bool) {
	item := job{request: request, step: step, prompt: prompt, answer: answer, score: make(chan float64, 1)}
	if !j.enqueue(item) {
		return 0, false
	}
	select {
	case score, rated = <-item.score:
	case <-ctx.Done():
		j.count("late")
		return 0, false
	}
	if !rated {
		return 0, false
	}
	j.ObserveRatingTime(request.Route.Name, time.Since(request.Arrived))
	if score >= step.Accept {
		j.Delivered(request.Route, score)
	}
	return score, true
}

// Sample implements Judge. It is called for each delivered answer that was not held for rating.
func (j *RaterJudge) Sample(request *decide.Request, step decide.Step, prompt, answer string) {
	if request.Route.QualityTarget > 0 {
		j.recordDelivered(request, step)
	}
	if !j.breaker.open() && rand.Float64() >= j.settings.SampleShare {
		return
	}
	j.enqueue(job{request: request, step: step, prompt: prompt, answer: answer})
}

// recordDelivered adjusts the leniency by the expected score of the step, because the answer itself was not rated.
func (j *RaterJudge) recordDelivered(request *decide.Request, step decide.Step) {
	score := j.Mean(request.Route.Name, decide.KindOf(request), step.Index)
	if j.breaker.open() {
		j.DeliveredUnrated(request.Route, score)
		return
	}
	j.Delivered(request.Route, score)
}

// enqueue queues an answer for rating. It returns false if the breaker is open or the queue is full.
func (j *RaterJudge) enqueue(item job) bool {
	if !j.breaker.allow(time.Now()) {
		j.count("breaker_open")
		return false
	}
	select {
	case j.queue <- item:
		return true
	default:
		j.count("queue_full")
		return false
	}
}

// Plan implements decide.Planner.
func (j *RaterJudge) Plan(snapshot *contract.Snapshot, request *decide.Request) decide.Plan {
	plan := j.Learner.Plan(snapshot, request)
	plan.NoRater = j.breaker.open()
	return plan
}

func (j *RaterJudge) count(outcome string) {
	j.counters.Add("plumbarrow_ratings_total", "outcome", outcome)
}
