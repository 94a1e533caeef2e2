//go:build !race

package gateway

// The race detector needs most of a minute for the largest fleets.
func init() {
	fleetSizes = append(fleetSizes, 300)
	failingFleetSizes = append(failingFleetSizes, 60, 300)
}
