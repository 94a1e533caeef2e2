package upstream

import (
	"sync"
	"time"
)

const (
	// firstPace and firstBase are the prefill time of one token and the time of an empty prompt at a
	// model of which nothing is known: those of a middling model on current hardware.
	firstPace = 10 * time.Microsecond
	firstBase = 20 * time.Millisecond
	// fitDecay is the weight that earlier observations keep with each new one: the last hundred count.
	fitDecay = 0.99
	// fitMin is the weight of observations from which a line is trusted.
	fitMin = 8
	// aloneLimit is the largest delay by other requests beside which a prompt's own time is learnt.
	aloneLimit = 20 * time.Millisecond
)

// paces are the learnt times to the first event of models, by service and model. Safe for concurrent
// use.
type paces struct {
	mu      sync.Mutex
	byModel map[paceKey]*fit
}

type paceKey struct{ service, model string }

// fit is an exponentially weighted least-squares line of seconds over tokens.
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(tokens, seconds float64) {
	f.n = f.n*fitDecay + 1
	f.x = f.x*fitDecay + tokens
	f.y = f.y*fitDecay + seconds
	f.xx = f.xx*fitDecay + tokens*tokens
	f.xy = f.xy*fitDecay + tokens*seconds
}

// line returns the time of an empty prompt and of one token. Prompts that are all of one length tell
// nothing of the difference.
func (f *fit) line() (base, pace time.Duration, ok bool) {
	spread := f.n*f.xx - f.x*f.x
	if f.n < fitMin || spread <= 0 {
		return 0, 0, false
	}
	slope := max((f.n*f.xy-f.x*f.y)/spread, 0)
	intercept := max((f.y-slope*f.x)/f.n, 0)
	return time.Duration(intercept * float64(time.Second)), time.Duration(slope * float64(time.Second)), true
}

// get returns the time of an empty prompt and of one token.
func (p *paces) get(service, model string) (base, pace time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byModel[paceKey{service, model}]; known != nil {
		if base, pace, ok := known.line(); ok {
			return base, pace
		}
	}
	return firstBase, firstPace
}

// learn takes the time that a prompt with next to nothing before it took to its first event.
func (p *paces) learn(service, model string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byModel == nil {
		p.byModel = make(map[paceKey]*fit)
	}
	key := paceKey{service, model}
	if p.byModel[key] == nil {
		p.byModel[key] = &fit{}
	}
	p.byModel[key].add(float64(tokens), took.Seconds())
}
