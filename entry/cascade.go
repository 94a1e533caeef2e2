package entry

import (
	"context"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/verdict"
)

// stepAnswer is the whole answer of one cascade step.
type stepAnswer struct {
	step  decide.Step
	whole *chatAnswer
	held  *heldSink // the events of a judged stream
}

func (a *stepAnswer) text() string {
	if a.held != nil {
		return a.held.text()
	}
	return a.whole.text()
}

// cascade runs steps until an answer is good enough. If a later step fails, the answer of an earlier
// one is delivered.
func (f *chatFlow) cascade(ctx context.Context) error {
	step := f.reachableStep(decide.FirstStep(f.snapshot, f.request, f.server.quality(), time.Now(), f.random))
	var earlier *stepAnswer
	for {
		step.Judge = step.Judge && f.server.Judge != nil
		f.note(step.Notes...)
		answer, err := f.runStep(ctx, step)
		if err != nil && (earlier == nil || ctx.Err() != nil || f.live != nil && f.live.begun) {
			f.billPartial(ctx)
			return err
		}
		if err != nil {
			f.note(decide.Note{Stage: "cascade", Reason: "earlier_answer"})
			return f.deliver(ctx, earlier)
		}
		if !step.Judge {
			return f.finishUnjudged(ctx, answer)
		}
		score, rated := f.server.Judge.Rate(ctx, f.request, step, f.chat.Prompt(), answer.text())
		f.note(decide.Note{Stage: "rate", Reason: strconv.FormatBool(rated), Value: score})
		if rated && f.server.Recorder != nil {
			f.server.Recorder.Rating(answer.whole.trial.placed.choice.Version, score)
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

func (f *chatFlow) finishUnjudged(ctx context.Context, answer *stepAnswer) error {
	if err := f.deliver(ctx, answer); err != nil {
		return err
	}
	if f.server.Judge != nil && answer.whole.body != nil {
		answer.step.Version = answer.whole.trial.placed.choice.Version
		f.server.Judge.Sample(f.request, answer.step, f.chat.Prompt(), answer.text())
	}
	return nil
}

// billPartial bills a stream up to the part that its caller received before it left. A request that
// failed for other reasons costs nothing.
func (f *chatFlow) billPartial(ctx context.Context) {
	if !f.abandoned {
		return
	}
	if err := f.bill(ctx); err != nil {
		f.server.Log.Warn("bill of an abandoned stream", "request_id", f.request.ID, "error", err)
	}
}
