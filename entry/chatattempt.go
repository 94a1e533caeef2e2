package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// runStep dispatches attempts until one returns a complete answer or the retry policy stops.
func (f *chatFlow) runStep(ctx context.Context, step decide.Step) (*stepAnswer, error) {
	for attempts := 1; ; attempts++ {
		f.zoneBound = len(f.lines) > 0 || f.live != nil && f.live.begun
		placed, err := f.place(ctx, step.Pool)
		if !f.zoneBound {
			err = f.forwardIfOutOfService(err)
			if err != nil {
				err = f.forwardIfUnreachable(err)
			}
		}
		if _, otherZone := otherZoneOf(err); otherZone {
			return nil, err
		}
		if err != nil {
			return nil, f.fail(err)
		}
		if placed.choice.Zone != "" {
			return nil, errOtherZone{placed.choice.Zone}
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

// try makes one attempt. A failed attempt is left to the retry policy; after an error the request
// ends.
func (f *chatFlow) try(ctx context.Context, step decide.Step, placed *placement) (*stepAnswer, *failedAttempt, error) {
	out, err := f.outgoingRequest(placed)
	if err != nil {
		placed.permit.Done(machine.Result{})
		return nil, nil, err
	}
	a, answer, failure := f.dispatch(ctx, placed, out)
	if failure != nil {
		f.finishAttempt(a, failure, ctx.Err() != nil)
		return nil, &failedAttempt{failure: failure, delivered: f.begun(), resumable: f.resume != nil}, nil
	}
	defer answer.Release()
	result := &stepAnswer{step: step}
	failure, err = f.readAnswer(result, a, answer)
	switch {
	case err != nil:
		f.finishAttempt(a, &link.Failure{Verdict: verdict.MayHaveRun, Reason: asRefusal(err).Reason, Err: err}, true)
		f.addPartialLine(a, err)
		return nil, nil, f.fail(err)
	case failure != nil:
		f.finishAttempt(a, failure, ctx.Err() != nil)
		if ctx.Err() != nil {
			f.addPartialLine(a, writeRefusal(ctx.Err()))
		}
		return nil, f.prepareResume(a, answer, failure), nil
	}
	f.finishAttempt(a, nil, false)
	f.lines = append(f.lines, chatBillLine(f.snapshot, &placed.choice, result.chatAnswer.usage))
	return result, nil, nil
}

func (f *chatFlow) begun() bool { return f.live != nil && f.live.begun }

// readAnswer reads the answer into result. Its results are those of streamCopy.run.
func (f *chatFlow) readAnswer(result *stepAnswer, a *attempt, answer *link.Answer) (*link.Failure, error) {
	if failure, err := checkStatus(answer); failure != nil || err != nil {
		return failure, err
	}
	account := intake.FromContext(f.context.Request().Context())
	if f.live == nil {
		complete, failure, err := f.readUnstreamed(account, a, answer)
		result.chatAnswer = complete
		return failure, err
	}
	var target sink = f.live
	if result.step.AwaitRating {
		result.buffered = &bufferSink{limit: f.server.Settings.MaxAnswerBytes, account: account}
		target = result.buffered
	}
	stream := &streamCopy{
		requestState: f.requestState, attempt: a, account: account, answer: answer, sink: target, usageRequested: f.chat.UsageRequested,
	}
	failure, err := stream.run()
	if failure != nil || err != nil {
		return failure, err
	}
	result.chatAnswer = &chatAnswer{attempt: a, usage: f.usage(a, stream.usage)}
	return nil, nil
}

// usageMissingMetric counts streams without usage, which are billed by their number of events.
const usageMissingMetric = "plumbarrow_usage_missing_total"

func (f *chatFlow) usage(a *attempt, reported *openai.Usage) openai.Usage {
	if reported != nil {
		return *reported
	}
	f.server.Counters.Inc(usageMissingMetric)
	return f.estimateUsage(a)
}

// estimateUsage counts each event of the stream, including those before a resumption, as one output
// token.
func (f *chatFlow) estimateUsage(a *attempt) openai.Usage {
	events := a.events
	if f.resume != nil {
		events += f.resume.events
	}
	return openai.Usage{PromptTokens: int64(f.request.PromptTokens), CompletionTokens: int64(events)}
}

// addPartialLine adds a bill line for the events sent to a caller that has disconnected or reads too
// slowly.
func (f *chatFlow) addPartialLine(a *attempt, err error) {
	reason := asRefusal(err).Reason
	if (reason == verdict.CallerGone || reason == verdict.CallerTooSlow) && f.begun() {
		f.lines = append(f.lines, chatBillLine(f.snapshot, &a.placed.choice, f.estimateUsage(a)))
		f.abandoned = true
	}
}

// prepareResume describes an incomplete answer for the retry policy. If part of it was delivered and
// the engine can resume its stream, it also sets the point to resume from.
func (f *chatFlow) prepareResume(a *attempt, answer *link.Answer, failure *link.Failure) *failedAttempt {
	failed := &failedAttempt{failure: failure, delivered: f.begun()}
	if !failed.delivered {
		return failed
	}
	wrongVersion := failure.Reason == verdict.RetryWrongVersion
	failed.resumable = !wrongVersion && answer.Header.Get(link.HeaderResume) == "1"
	if !failed.resumable {
		return failed
	}
	next := &resumePoint{attemptID: a.id, events: a.events, version: a.placed.choice.Version}
	if f.resume != nil {
		next.attemptID = f.resume.attemptID
		next.events += f.resume.events
	}
	f.resume = next
	return failed
}

// outgoingRequest returns the HTTP request for the chosen version.
func (f *chatFlow) outgoingRequest(placed *placement) (*outgoingRequest, error) {
	version := placed.choice.Version
	body, err := f.chat.EncodeForModel(version.Model)
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
	return &outgoingRequest{method: http.MethodPost, path: chatPath, header: header, body: body}, nil
}
