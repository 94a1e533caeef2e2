//go:build !race

package upstream

// The race detector needs minutes for the largest fleet.
func init() { unevenSizes = append(unevenSizes, struct{ instances, engines int }{300, 200}) }
