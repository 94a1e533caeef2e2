package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// runStep dispatches until one attempt ends in a whole answer or the retry policy stops.
func (f *chatFlow) runStep(ctx context.Context, step decide.Step) (*stepAnswer, error) {
	for attempts := 1; ; attempts++ {
		f.bound = len(f.lines) > 0 || f.live != nil && f.live.begun
		placed, err := f.place(ctx, step.Pool)
		if !f.bound {
			err = f.moved(err)
		}
		if _, elsewhere := elsewhereOf(err); elsewhere {
			return nil, err
		}
		if err != nil {
			return nil, f.fail(err)
		}
		if placed.choice.Zone != "" {
			return nil, errElsewhere{placed.choice.Zone}
		}
		answer, failed, err := f.try(ctx, step, placed)
		if err != nil || failed == nil {
			return answer, err
		}
		failed.attempts = attempts
		if err := f.decideRetry(ctx, placed, failed); err != nil {
			return nil, err
		}
	}
}

// try makes one attempt. A failed attempt may be repeated; an error may not.
func (f *chatFlow) try(ctx context.Context, step decide.Step, placed *placement) (*stepAnswer, *failedTrial, error) {
	out, err := f.outgoing(placed)
	if err != nil {
		placed.permit.Done(machine.Result{})
		return nil, nil, err
	}
	t, answer, failure := f.dispatch(ctx, placed, out)
	if failure != nil {
		f.settle(t, failure, ctx.Err() != nil)
		return nil, &failedTrial{failure: failure, delivered: f.begun(), resumable: f.resume != nil}, nil
	}
	defer answer.Release()
	result := &stepAnswer{step: step}
	failure, err = f.take(result, t, answer)
	switch {
	case err != nil:
		f.settle(t, &link.Failure{Verdict: verdict.MayHaveRun, Reason: asRefusal(err).Reason, Err: err}, true)
		f.lineOfPart(t, err)
		return nil, nil, f.fail(err)
	case failure != nil:
		f.settle(t, failure, ctx.Err() != nil)
		if ctx.Err() != nil {
			f.lineOfPart(t, writeRefusal(ctx.Err()))
		}
		return nil, f.brokenOff(t, answer, failure), nil
	}
	f.settle(t, nil, false)
	f.lines = append(f.lines, chatLine(f.snapshot, &placed.choice, result.whole.usage))
	return result, nil, nil
}

func (f *chatFlow) begun() bool { return f.live != nil && f.live.begun }

// take reads the answer; failure and err are as in streamCopy.run.
func (f *chatFlow) take(result *stepAnswer, t *trial, answer *link.Answer) (*link.Failure, error) {
	if failure, err := checkStatus(answer); failure != nil || err != nil {
		return failure, err
	}
	if f.live == nil {
		whole, failure := f.readWhole(t, answer)
		result.whole = whole
		return failure, nil
	}
	var into sink = f.live
	if result.step.Judge {
		result.held = &heldSink{limit: f.server.Settings.MaxAnswerBytes}
		into = result.held
	}
	stream := &streamCopy{work: f.work, trial: t, answer: answer, sink: into, asked: f.chat.AskedUsage}
	failure, err := stream.run()
	if failure != nil || err != nil {
		return failure, err
	}
	result.whole = &chatAnswer{trial: t, usage: f.usage(t, stream.usage)}
	return nil, nil
}

// usageMissing counts streams without usage; they are billed by their events.
const usageMissing = "plumbarrow_usage_missing_total"

func (f *chatFlow) usage(t *trial, reported *openai.Usage) openai.Usage {
	if reported != nil {
		return *reported
	}
	f.server.Counters.Inc(usageMissing)
	return f.estimate(t)
}

// estimate counts an event as one token.
func (f *chatFlow) estimate(t *trial) openai.Usage {
	events := t.events
	if f.resume != nil {
		events += f.resume.events
	}
	return openai.Usage{PromptTokens: int64(f.request.PromptTokens), CompletionTokens: int64(events)}
}

// lineOfPart bills what a caller that left had received.
func (f *chatFlow) lineOfPart(t *trial, err error) {
	reason := asRefusal(err).Reason
	if (reason == verdict.CallerGone || reason == verdict.CallerTooSlow) && f.begun() {
		f.lines = append(f.lines, chatLine(f.snapshot, &t.placed.choice, f.estimate(t)))
		f.abandoned = true
	}
}

// brokenOff describes a broken answer and, if the engine can resume its stream, prepares that.
func (f *chatFlow) brokenOff(t *trial, answer *link.Answer, failure *link.Failure) *failedTrial {
	failed := &failedTrial{failure: failure, delivered: f.begun()}
	if !failed.delivered {
		return failed
	}
	wrong := failure.Reason == verdict.RetryWrongVersion
	failed.resumable = !wrong && answer.Header.Get(link.HeaderResume) == "1"
	if !failed.resumable {
		return failed
	}
	next := &resumption{attemptID: t.id, events: t.events, version: t.placed.choice.Version}
	if f.resume != nil {
		next.attemptID = f.resume.attemptID
		next.events += f.resume.events
	}
	f.resume = next
	return failed
}

// outgoing builds the engine's request.
func (f *chatFlow) outgoing(placed *placement) (*outgoing, error) {
	version := placed.choice.Version
	body, err := f.chat.For(version.Model)
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "the body can't be forwarded: %v", err)
	}
	header := http.Header{
		echo.HeaderContentType: {echo.MIMEApplicationJSON},
		link.HeaderVersion:     {version.String()},
	}
	if f.resume != nil {
		header.Set(link.HeaderResumeFrom, strconv.Itoa(f.resume.events))
		header.Set(link.HeaderResumeAttempt, f.resume.attemptID)
	}
	return &outgoing{method: http.MethodPost, path: chatPath, header: header, body: body}, nil
}
