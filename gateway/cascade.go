package gateway

// trust is the confidence, 0 to 100, from which a smaller model's answer is passed on.
const trust = 55

// chooseModel sets the model of the next attempt. A request begins with the smallest model and goes to
// the largest if the answer is not trusted; a stream that was passed on in part keeps its model.
func (f *flow) chooseModel() {
	last := len(f.route.Models) - 1
	f.model = min(f.model, last)
	if f.runs+1 >= f.route.MaxAttempts && f.tries == 0 {
		f.model = last // no attempt is left to correct a small model's answer
	}
}

// escalate says whether the answer is dropped, unseen by the caller, for one of a larger model.
func (f *flow) escalate(reply Reply) bool {
	last := len(f.route.Models) - 1
	begun := f.stream != nil && f.stream.begun
	switch {
	case !f.call.OpenModel || f.model >= last || begun:
		return false
	case !reply.HasConfidence || reply.Confidence >= trust:
		return false
	case f.runs >= f.route.MaxAttempts || !f.server.Retries.Take(f.service):
		return false
	}
	f.model = last
	return true
}
