// Package logspace computes with values that are given by their logarithms.
package logspace

import "math"

// MeanExp returns the logarithm of the mean of values given by their logarithms, at least one.
func MeanExp(logs ...float64) float64 {
	top := math.Inf(-1)
	for _, value := range logs {
		top = max(top, value)
	}
	var sum float64
	for _, value := range logs {
		sum += math.Exp(value - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}
