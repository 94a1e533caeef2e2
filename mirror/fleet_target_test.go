//go:build !race

package mirror

// The runtime of the race detector stops with an internal check at this size.
func init() { fleetSizes = append(fleetSizes, 300) }
