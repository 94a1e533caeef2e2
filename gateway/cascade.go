package gateway

import (
	"context"
	"log/slog"
	"time"
)

const (
	// trust is the confidence, 0 to 100, from which a smaller model's answer is passed on.
	trust = 55
	// trustBusy is the same where the larger model's answer would just be in time: only the worst
	// answers are worth the wait of the requests behind.
	trustBusy = 40
	// easyPart is the part of the time left to the goal within which the larger model's first event
	// must be expected for the full trust to be asked.
	easyPart = 0.8
)

// chooseModel sets the model of the next attempt. A request begins with the smallest model and goes to
// a larger one if the answer is not trusted. Where only one attempt is allowed, nothing could correct a
// small model's answer.
func (f *flow) chooseModel() {
	if last := len(f.route.Models) - 1; last >= 0 && f.route.MaxAttempts == 1 {
		f.model = last
	}
}

// escalate says whether an answer is dropped, unseen by the caller, for one of a larger model.
func (f *flow) escalate(reply Reply) bool {
	last := len(f.route.Models) - 1
	begun := f.stream != nil && f.stream.begun
	if !f.call.OpenModel || f.model >= last || begun || !reply.HasConfidence || f.runs >= f.route.MaxAttempts {
		return false
	}
	if f.model > 0 {
		f.server.Ladder.Learn(f.service, f.route.Models[f.model], f.doubted, reply.Confidence >= trust)
	}
	need := f.need()
	need.Model = f.route.Models[last]
	expected, ok := f.server.Upstreams.Expect(need)
	left := time.Until(f.arrived.Add(f.route.Goal))
	required := requiredTrust(expected, left)
	if !ok || reply.Confidence >= required || !f.server.Retries.Take(f.service) {
		return false
	}
	f.model = f.larger(reply.Confidence)
	f.doubted = reply.Confidence
	f.server.Log.LogAttrs(context.Background(), slog.LevelInfo, "answer not trusted",
		slog.String("request_id", f.id()), slog.Float64("confidence", reply.Confidence), slog.Float64("required", required),
		slog.Int64("expected_ms", expected.Milliseconds()), slog.Int64("left_ms", left.Milliseconds()), slog.String("next_model", f.modelName()))
	return true
}

// larger is the index of the model to ask after an answer with the confidence. The largest model is
// asked at once if no attempt would be left for it otherwise.
func (f *flow) larger(confidence float64) int {
	last := len(f.route.Models) - 1
	service := f.snapshot.Services[f.service]
	if service == nil || f.runs+2 > f.route.MaxAttempts {
		return last
	}
	return f.server.Ladder.Next(f.service, f.route.Models, service.ModelCosts, f.model, confidence)
}

// requiredTrust is the confidence that an answer needs to be passed on, by the time that the larger
// model is expected to take and the time left until the goal. 0 lets every answer pass.
func requiredTrust(expected, left time.Duration) float64 {
	switch {
	case expected <= time.Duration(easyPart*float64(left)):
		return trust
	case expected <= left:
		return trustBusy
	default:
		return 0
	}
}
