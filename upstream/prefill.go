package upstream

import (
	"sync"
	"time"
)

const (
	// defaultPerToken and defaultBase are the prefill time of one token and of an empty prompt for
	// models without enough observations. They are typical of a mid-sized model on current hardware.
	defaultPerToken = 10 * time.Microsecond
	defaultBase     = 20 * time.Millisecond
	// fitDecay multiplies the weight of earlier observations with each new one, so that about the last
	// hundred count.
	fitDecay = 0.99
	// minFitWeight is the total weight of observations below which the fitted line is not used.
	minFitWeight = 8
	// minLengthSpread is the standard deviation of the prompts' lengths, as a share of their mean, below which the slope is not
	// determined. With equal lengths the variance is only the rounding of the sums, of either sign.
	minLengthSpread = 0.01
	// maxLearningDelay is the largest expected delay by other requests at which a request's time to
	// the first event is still attributed to its own prompt.
	maxLearningDelay = 20 * time.Millisecond
)

// prefillTimes estimates the time to the first event from the length of the prompt, by service and
// model. Safe for concurrent use.
type prefillTimes struct {
	mu      sync.Mutex
	byModel map[modelKey]*fit
}

type modelKey struct{ service, model string }

// fit is an exponentially weighted least-squares fit of seconds (y) over tokens (x). Its fields are the
// weighted sums.
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

// line returns the time of an empty prompt and of each token. ok is false with too few observations, or
// if all prompts had about the same length and so do not determine the slope.
func (f *fit) line() (base, perToken time.Duration, ok bool) {
	variance := f.n*f.xx - f.x*f.x
	if f.n < minFitWeight || variance <= minLengthSpread*minLengthSpread*f.x*f.x {
		return 0, 0, false
	}
	slope := max((f.n*f.xy-f.x*f.y)/variance, 0)
	intercept := max((f.y-slope*f.x)/f.n, 0)
	return time.Duration(intercept * float64(time.Second)), time.Duration(slope * float64(time.Second)), true
}

// estimate returns the time of an empty prompt and of each token, or the defaults while they can't be
// estimated.
func (p *prefillTimes) estimate(service, model string) (base, perToken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.byModel[modelKey{service, model}]; f != nil {
		if base, perToken, ok := f.line(); ok {
			return base, perToken
		}
	}
	return defaultBase, defaultPerToken
}

// observe adds the time to the first event of a request that was hardly delayed by others. tokens is the
// number of prompt tokens that were not cached.
func (p *prefillTimes) observe(service, model string, tokens int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byModel == nil {
		p.byModel = make(map[modelKey]*fit)
	}
	key := modelKey{service, model}
	if p.byModel[key] == nil {
		p.byModel[key] = &fit{}
	}
	p.byModel[key].add(float64(tokens), elapsed.Seconds())
}
