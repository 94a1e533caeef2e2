package gateway

import (
	"context"
	"log/slog"
	"time"
)

const (
	// acceptConfidence is the least confidence, 0 to 100, at which a smaller model's answer is delivered.
	acceptConfidence = 55
	// acceptConfidenceBusy applies instead where the largest model's answer would only just meet the goal. Under
	// such load only the worst answers justify the delay that escalation causes for the requests queued behind.
	acceptConfidenceBusy = 40
	// fastShare is the share of the time left until the goal within which the largest model's first event must be
	// expected for acceptConfidence to apply.
	fastShare = 0.8
)

// chooseModel sets the model of the next attempt. A request begins with the smallest model and escalates to a
// larger one if the confidence of its answer is too low. Where only one run is allowed, escalation is
// impossible, so the request goes to the largest model at once.
func (f *requestState) chooseModel() {
	if last := len(f.route.Models) - 1; last >= 0 && (f.route.MaxAttempts == 1 || !f.route.Repeatable()) {
		f.model = last
	}
}

// escalate reports whether the answer is discarded in favour of a larger model's, before any of it reaches the
// caller. If so, it has set the next model and charged the retry budget.
func (f *requestState) escalate(reply Reply) bool {
	last := len(f.route.Models) - 1
	headerSent := f.stream != nil && f.stream.headerSent
	if !f.call.OpenModel || !f.route.Repeatable() || f.model >= last || headerSent || !reply.HasConfidence || f.runs >= f.route.MaxAttempts {
		return false
	}
	if f.model > 0 {
		f.server.EscalationPolicy.Learn(f.service, f.route.Models[f.model], f.rejectedConfidence, reply.Confidence >= acceptConfidence)
	}
	need := f.need()
	need.Model = f.route.Models[last]
	expected, ok := f.server.Upstreams.Expect(need)
	left := time.Until(f.arrived.Add(f.route.Goal))
	required := requiredConfidence(expected, left)
	if !ok || reply.Confidence >= required || f.outOfTime(expected) != nil || !f.server.RetryBudget.Take(f.service) {
		return false
	}
	f.model = f.escalationTarget(reply.Confidence)
	f.rejectedConfidence = reply.Confidence
	f.server.Log.LogAttrs(context.Background(), slog.LevelInfo, "answer below the required confidence, escalating",
		slog.String("request_id", f.id()), slog.Float64("confidence", reply.Confidence), slog.Float64("required", required),
		slog.Int64("expected_ms", expected.Milliseconds()), slog.Int64("left_ms", left.Milliseconds()), slog.String("next_model", f.modelName()))
	return true
}

// escalationTarget returns the index of the model to ask after an answer with the confidence. It is the largest
// model if no attempt would be left for that one otherwise.
func (f *requestState) escalationTarget(confidence float64) int {
	last := len(f.route.Models) - 1
	service := f.snapshot.Services[f.service]
	if service == nil || f.runs+2 > f.route.MaxAttempts {
		return last
	}
	return f.server.EscalationPolicy.Next(f.service, f.route.Models, service.ModelCosts, f.model, confidence)
}

// requiredConfidence returns the least confidence at which an answer is delivered. expected is the time that the
// largest model is expected to take to its first event, left the time until the goal. It returns 0, which accepts
// every answer, if the largest model would miss the goal.
func requiredConfidence(expected, left time.Duration) float64 {
	switch {
	case expected <= time.Duration(fastShare*float64(left)):
		return acceptConfidence
	case expected <= left:
		return acceptConfidenceBusy
	default:
		return 0
	}
}
