package entry

import (
	"context"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/inflight"
	"plumbarrow.example/plumbarrow/verdict"
)

// stepAnswer is the complete answer of one cascade step.
type stepAnswer struct {
	step       decide.Step
	chatAnswer *chatAnswer
	buffered   *bufferSink // the events of a stream that is rated before delivery
}

func (a *stepAnswer) text() string {
	if a.buffered != nil {
		return a.buffered.text()
	}
	return a.chatAnswer.text()
}

// cascade runs the route's steps until an answer reaches the required score. If a later step fails,
// it delivers the answer of the step before, unless the caller has disconnected or delivery has
// begun.
func (f *chatFlow) cascade(ctx context.Context) error {
	step := f.reachableStep(decide.FirstStep(f.snapshot, f.request, f.server.quality(), time.Now(), f.random))
	var earlier *stepAnswer
	for {
		step.AwaitRating = step.AwaitRating && f.server.Judge != nil
		f.note(step.Notes...)
		answer, err := f.runStep(ctx, step)
		callerLeft := ctx.Err() != nil && !inflight.EndedWithStop(ctx)
		if err != nil && (earlier == nil || callerLeft || f.live != nil && f.live.begun) {
			f.billPartial(ctx)
			return err
		}
		if err != nil {
			f.note(decide.Note{Stage: "cascade", Reason: "earlier_answer"})
			return f.deliver(ctx, earlier)
		}
		if !step.AwaitRating {
			return f.deliverUnrated(ctx, answer)
		}
		score, rated := f.server.Judge.Rate(ctx, f.request, step, f.chat.Prompt(), answer.text())
		f.note(decide.Note{Stage: "rate", Reason: strconv.FormatBool(rated), Value: score})
		if rated && f.server.Recorder != nil {
			f.server.Recorder.RecordRating(answer.chatAnswer.attempt.placed.choice.Version, score)
		}
		next, deliver := decide.NextStep(f.snapshot, f.request, step, score, rated, time.Now())
		if deliver || !f.reachable(next.Pool) {
			return f.deliver(ctx, answer)
		}
		f.server.Counters.Retried(verdict.RetryLowQuality)
		earlier, step = answer, next
		f.excluded = nil
	}
}

// deliverUnrated delivers an answer that needs no rating first. Unless it was streamed, it then
// samples the answer for rating in the background.
func (f *chatFlow) deliverUnrated(ctx context.Context, answer *stepAnswer) error {
	if err := f.deliver(ctx, answer); err != nil {
		return err
	}
	if f.server.Judge != nil && answer.chatAnswer.body != nil {
		answer.step.Version = answer.chatAnswer.attempt.placed.choice.Version
		f.server.Judge.Sample(f.request, answer.step, f.chat.Prompt(), answer.text())
	}
	return nil
}

// billPartial bills the part of a stream that was sent before the caller disconnected or read too
// slowly. A request that failed for another reason costs nothing.
func (f *chatFlow) billPartial(ctx context.Context) {
	if !f.abandoned {
		return
	}
	if err := f.bill(ctx); err != nil {
		f.server.Log.Warn("recording the bill of an abandoned stream failed", "request_id", f.request.ID, "customer", f.request.Customer.Name, "error", err)
	}
}
