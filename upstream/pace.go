package upstream

import (
	"sync"
	"time"
)

const (
	// firstPace is the prefill time of one token at a model of which nothing is known: that of a
	// middling model on current hardware.
	firstPace = 10 * time.Microsecond
	// paceWeight is the weight of the newest observation in a model's pace.
	paceWeight = 0.1
	// paceTokens is the shortest prompt from which a pace is learnt; below it other costs prevail.
	paceTokens = 800
	// paceBacklog is the largest backlog, as a part of the request's own prefill, beside which a pace
	// is learnt.
	paceBacklog = 0.2
)

// paces are the learnt prefill times of models, by service and model. Safe for concurrent use.
type paces struct {
	mu      sync.Mutex
	byModel map[paceKey]time.Duration
}

type paceKey struct{ service, model string }

// get returns the prefill time of one token.
func (p *paces) get(service, model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pace, ok := p.byModel[paceKey{service, model}]; ok {
		return pace
	}
	return firstPace
}

// learn takes the time that a prompt without others before it took to its first event.
func (p *paces) learn(service, model string, tokens int, took time.Duration) {
	if tokens < paceTokens {
		return
	}
	seen := took / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byModel == nil {
		p.byModel = make(map[paceKey]time.Duration)
	}
	key := paceKey{service, model}
	known, ok := p.byModel[key]
	if !ok {
		p.byModel[key] = seen
		return
	}
	p.byModel[key] = known + time.Duration(paceWeight*float64(seen-known))
}
