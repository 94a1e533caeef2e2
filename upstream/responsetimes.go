package upstream

import (
	"math"
	"sync"
	"time"
)

const (
	// responseDecay multiplies the weight of earlier observations with each new one, so that about the last two hundred count.
	responseDecay = 0.995
	// tokensUnit scales prompt tokens, so that all terms of the fit are of similar size.
	tokensUnit = 1000.0
	terms      = 4
)

// conditions are what the time to a request's first event depends on, besides the endpoint's pace.
type conditions struct {
	tokens   int           // of the prompt, that the endpoint has to read
	requests int           // others at the endpoint
	prefill  time.Duration // expected reading time of the prompts before this one
}

func (c conditions) vector() [terms]float64 {
	return [terms]float64{1, float64(c.tokens) / tokensUnit, float64(c.requests), c.prefill.Seconds()}
}

// coefficients are seconds for each unit of conditions.vector.
type coefficients [terms]float64

func (c coefficients) expected(conditions conditions) time.Duration {
	seconds := 0.0
	for i, x := range conditions.vector() {
		seconds += c[i] * x
	}
	return time.Duration(seconds * float64(time.Second))
}

func (c coefficients) perToken() time.Duration {
	return time.Duration(c[1] / tokensUnit * float64(time.Second))
}

// priorWeights are the weights of the prior coefficients, as sums of squares of each term: some ten observations of a usual size.
var priorWeights = [terms]float64{8, 50, 100, 1}

// priorCoefficients are those of requests with and without a prompt before anything has been observed.
func priorCoefficients(model string) coefficients {
	prior := coefficients{0, defaultPerToken.Seconds() * tokensUnit, perRequestDelay.Seconds(), 1}
	if model != "" {
		prior[0] = defaultBase.Seconds()
	}
	return prior
}

// responseTimes estimates the time to the first event by service and model: a weighted least squares fit over the conditions. Safe for
// concurrent use.
type responseTimes struct {
	mu      sync.RWMutex
	byModel map[modelKey]*responseFit
}

type responseFit struct {
	xx      [terms][terms]float64
	xy      [terms]float64
	current coefficients
}

// of returns the coefficients for a service and model.
func (r *responseTimes) of(service, model string) coefficients {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if f := r.byModel[modelKey{service, model}]; f != nil {
		return f.current
	}
	return priorCoefficients(model)
}

// observe adds the time to a request's first event at pace 1.
func (r *responseTimes) observe(service, model string, conditions conditions, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byModel == nil {
		r.byModel = make(map[modelKey]*responseFit)
	}
	key := modelKey{service, model}
	f := r.byModel[key]
	if f == nil {
		f = &responseFit{}
		r.byModel[key] = f
	}
	f.add(conditions.vector(), elapsed.Seconds(), priorCoefficients(model))
}

func (f *responseFit) add(x [terms]float64, y float64, prior coefficients) {
	a, b := f.xx, f.xy
	for i := range terms {
		f.xy[i] = f.xy[i]*responseDecay + x[i]*y
		b[i] = f.xy[i] + priorWeights[i]*prior[i]
		for j := range terms {
			f.xx[i][j] = f.xx[i][j]*responseDecay + x[i]*x[j]
			a[i][j] = f.xx[i][j]
		}
		a[i][i] += priorWeights[i]
	}
	f.current = solve(a, b)
}

// solve solves a x = b for a positive definite matrix by Gaussian elimination. Terms below 0 are set to 0: none of the conditions makes
// an endpoint faster.
func solve(a [terms][terms]float64, b [terms]float64) coefficients {
	for i := range terms {
		for j := i + 1; j < terms; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < terms; k++ {
				a[j][k] -= factor * a[i][k]
			}
			b[j] -= factor * b[i]
		}
	}
	var x coefficients
	for i := terms - 1; i >= 0; i-- {
		sum := b[i]
		for k := i + 1; k < terms; k++ {
			sum -= a[i][k] * x[k]
		}
		x[i] = sum / a[i][i]
	}
	for i := range x {
		x[i] = math.Max(x[i], 0)
	}
	return x
}
