package gateway

import "time"

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
// the largest if the answer is not trusted. Where only one attempt is allowed, nothing could correct a
// small model's answer.
func (f *flow) chooseModel() {
	if last := len(f.route.Models) - 1; last >= 0 && f.route.MaxAttempts == 1 {
		f.model = last
	}
}

// escalate says whether an answer is dropped, unseen by the caller, for one of the largest model.
func (f *flow) escalate(reply Reply) bool {
	last := len(f.route.Models) - 1
	begun := f.stream != nil && f.stream.begun
	if !f.call.OpenModel || f.model >= last || begun || !reply.HasConfidence || f.runs >= f.route.MaxAttempts {
		return false
	}
	need := f.need()
	need.Model = f.route.Models[last]
	expected, ok := f.server.Upstreams.Expect(need)
	left := time.Until(f.arrived.Add(f.route.Goal))
	if !ok || reply.Confidence >= requiredTrust(expected, left) || !f.server.Retries.Take(f.service) {
		return false
	}
	f.model = last
	return true
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
