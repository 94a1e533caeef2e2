//go:build !race

package gateway

// The race detector needs most of a minute for the largest fleet.
func init() { fleetSizes = append(fleetSizes, 300) }
