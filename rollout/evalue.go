package rollout

import "math"

// arm is the sample of one version for one measure: n outcomes of 0 or 1 and their sum. Lower is
// better.
type arm struct{ n, sum float64 }

// logEValue measures the evidence that the mean of next exceeds that of previous by more than
// margin. It returns the logarithm of an e-process: under the hypothesis that it does not, the
// probability that the value ever reaches log(1/a) is at most a, however often it is checked. The
// value depends on the counts alone, so it can be computed from merged counts that lag.
//
// Each arm contributes a mixture likelihood ratio against its hypothetical mean (Robbins, 1970;
// Howard et al., 2021). Their product is an e-process for a pair of means (Turner, Ly and Grünwald,
// 2021), and the least product over all pairs of the hypothesis is one for the hypothesis as a
// whole.
func logEValue(previous, next arm, margin float64) float64 {
	if previous.n == 0 || next.n == 0 {
		return 0
	}
	mixture := logMixture(previous) + logMixture(next)
	low, high := previous.sum/previous.n, next.sum/next.n-margin
	if high <= low {
		// The observed means satisfy the hypothesis and maximize the likelihood of each arm.
		return mixture - logLikelihood(previous, low) - logLikelihood(next, next.sum/next.n)
	}
	product := func(mean float64) float64 {
		return mixture - logLikelihood(previous, mean) - logLikelihood(next, mean+margin)
	}
	return product(minimize(product, low, high))
}

// logMixture returns the logarithm of the likelihood averaged over Jeffreys' prior for the mean.
func logMixture(a arm) float64 {
	const half = 0.5
	return logBeta(a.sum+half, a.n-a.sum+half) - logBeta(half, half)
}

func logBeta(a, b float64) float64 {
	la, _ := math.Lgamma(a)
	lb, _ := math.Lgamma(b)
	lab, _ := math.Lgamma(a + b)
	return la + lb - lab
}

func logLikelihood(a arm, mean float64) float64 {
	return xlogy(a.sum, mean) + xlogy(a.n-a.sum, 1-mean)
}

func xlogy(x, y float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(y)
}

// minimize returns the argument between low and high that minimizes a convex function, by
// golden-section search.
func minimize(f func(float64) float64, low, high float64) float64 {
	const (
		ratio = 0.6180339887498949
		steps = 30 // to a millionth of the interval
	)
	a, b := high-ratio*(high-low), low+ratio*(high-low)
	fa, fb := f(a), f(b)
	for range steps {
		if fa < fb {
			high, b, fb = b, a, fa
			a = high - ratio*(high-low)
			fa = f(a)
			continue
		}
		low, a, fa = a, b, fb
		b = low + ratio*(high-low)
		fb = f(b)
	}
	return (low + high) / 2
}
