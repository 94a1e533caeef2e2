package experiment

import "fmt"

// Names of the experiments, for Run.
const (
	Cost     = "cost"
	Exposure = "exposure"
	Overload = "overload"
	Zones    = "zones"
)

// Run runs an experiment by name. The same seed gives the same report.
func Run(name string, seed uint64) (*Report, error) {
	switch name {
	case Cost:
		return runCost(seed), nil
	case Exposure:
		return runExposure(seed), nil
	case Overload:
		return runOverload(seed), nil
	case Zones:
		return runZones(seed), nil
	}
	return nil, fmt.Errorf("no experiment %q; there are %s, %s, %s and %s", name, Cost, Exposure, Overload, Zones)
}
