package gateway

import "sync"

const (
	// doubtSpan is the distance below trust, in points of confidence, at which the next model up is
	// taken to have no chance before anything is known; half of it is an even chance. Fixed limits of 10
	// and 15 points did best on the users' platform (docs/design/0014-platform.md).
	doubtSpan = 30
	// priorWeight is the number of answers that this first guess counts as: a few seconds of them.
	priorWeight = 10
	// doubtStep is the width in points within which answers count as alike: the guess changes by a sixth.
	doubtStep = 5
	// learnedMax is the number of answers after which older ones lose weight, so that a new version
	// of a model is learnt.
	learnedMax = 200
)

// Ladder learns how often a model is trusted with a request whose answer by a smaller model was not, by
// the confidence of that answer. It follows the cascades of FrugalGPT (Chen, Zaharia and Zou, 2023),
// where the next model is the one that is cheapest in expectation. Safe for concurrent use.
type Ladder struct {
	mu    sync.Mutex
	known map[rung]*trials
}

// rung is a model of a service after an answer of about one confidence.
type rung struct {
	service, model string
	doubt          int
}

type trials struct{ all, trusted float64 }

// NewLadder returns a ladder that knows nothing.
func NewLadder() *Ladder { return &Ladder{known: make(map[rung]*trials)} }

func rungOf(service, model string, confidence float64) rung {
	return rung{service: service, model: model, doubt: int(confidence / doubtStep)}
}

// Learn takes whether a model's answer was trusted where one with the confidence was not.
func (l *Ladder) Learn(service, model string, confidence float64, trusted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := rungOf(service, model, confidence)
	seen := l.known[key]
	if seen == nil {
		seen = &trials{}
		l.known[key] = seen
	}
	seen.all++
	if trusted {
		seen.trusted++
	}
	if seen.all > learnedMax {
		seen.all /= 2
		seen.trusted /= 2
	}
}

// chance is the probability that the model will be trusted.
func (l *Ladder) chance(service, model string, confidence float64) float64 {
	guess := min(max(1-(trust-confidence)/doubtSpan, 0), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.known[rungOf(service, model, confidence)]
	if seen == nil {
		return guess
	}
	return (guess*priorWeight + seen.trusted) / (priorWeight + seen.all)
}

// Next returns the index of the model to ask after the one at an index gave an answer with the
// confidence: the next one up if its chance makes up for asking the largest as well where it fails. Without
// known costs it is the largest.
func (l *Ladder) Next(service string, models []string, costs map[string]float64, at int, confidence float64) int {
	last := len(models) - 1
	next := at + 1
	if next >= last || costs[models[next]] <= 0 {
		return last
	}
	by := costs[models[next]] + (1-l.chance(service, models[next], confidence))*costs[models[last]]
	if by < costs[models[last]] {
		return next
	}
	return last
}
