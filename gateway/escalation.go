package gateway

import "sync"

const (
	// priorSpan is in points of confidence. The prior probability that the next larger model's answer is accepted
	// falls linearly from 1, for a rejected answer at acceptConfidence, to 0 at priorSpan below it. Fixed limits of
	// 10 and 15 points did best on the users' platform (docs/design/0014-platform.md).
	priorSpan = 30
	// priorWeight is the number of answers that the prior counts as, about a few seconds of traffic.
	priorWeight = 10
	// bucketWidth is the width of a confidence bucket in points. Within a bucket the prior changes by one sixth.
	bucketWidth = 5
	// maxObservations is the number of answers above which the counts are halved, so that the estimate follows a
	// new version of a model.
	maxObservations = 200
)

// EscalationPolicy chooses the next model of a cascade. For each model it learns how often its answer is accepted
// after a smaller model's answer was rejected, by the confidence of the rejected answer. As in the cascades of FrugalGPT
// (Chen, Zaharia and Zou, 2023) the next model is the one with the lowest expected cost. Safe for concurrent use.
type EscalationPolicy struct {
	mu       sync.Mutex
	outcomes map[bucketKey]*answerCounts
}

// bucketKey identifies a service's model and the confidence bucket of the rejected answer.
type bucketKey struct {
	service, model string
	bucket         int
}

// answerCounts counts a model's answers; older ones count for less than one.
type answerCounts struct{ total, accepted float64 }

// NewEscalationPolicy returns a policy without observations, which relies on the prior alone.
func NewEscalationPolicy() *EscalationPolicy {
	return &EscalationPolicy{outcomes: make(map[bucketKey]*answerCounts)}
}

func keyOf(service, model string, confidence float64) bucketKey {
	return bucketKey{service: service, model: model, bucket: int(confidence / bucketWidth)}
}

// Learn records whether a model's answer was accepted after a smaller model's answer with the given confidence was
// rejected.
func (p *EscalationPolicy) Learn(service, model string, confidence float64, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOf(service, model, confidence)
	seen := p.outcomes[key]
	if seen == nil {
		seen = &answerCounts{}
		p.outcomes[key] = seen
	}
	seen.total++
	if accepted {
		seen.accepted++
	}
	if seen.total > maxObservations {
		seen.total /= 2
		seen.accepted /= 2
	}
}

// acceptProbability estimates the probability that the model's answer is accepted after a rejected one with the
// given confidence.
func (p *EscalationPolicy) acceptProbability(service, model string, confidence float64) float64 {
	prior := min(max(1-(acceptConfidence-confidence)/priorSpan, 0), 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.outcomes[keyOf(service, model, confidence)]
	if seen == nil {
		return prior
	}
	return (prior*priorWeight + seen.accepted) / (priorWeight + seen.total)
}

// Next returns the index of the model to ask after the answer of the model at index current was rejected with the
// given confidence. It is the next larger model if asking it, and the largest one where its answer is rejected
// too, has a lower expected cost than asking the largest at once. Without known costs it is the largest.
func (p *EscalationPolicy) Next(service string, models []string, costs map[string]float64, current int, confidence float64) int {
	last := len(models) - 1
	next := current + 1
	if next >= last || costs[models[next]] <= 0 {
		return last
	}
	expectedCost := costs[models[next]] + (1-p.acceptProbability(service, models[next], confidence))*costs[models[last]]
	if expectedCost < costs[models[last]] {
		return next
	}
	return last
}
