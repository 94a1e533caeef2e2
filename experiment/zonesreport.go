package experiment

import "math/rand/v2"

// runZones compares spill policies while one zone is out of service and after its return.
func runZones(seed uint64) *Report {
	report := &Report{Name: Zones, Seed: seed}
	variant := Variant{
		Name:    "one of three zones out for two minutes",
		Columns: []string{"served while out", "p95 ms", "served after return", "started in the zone"},
	}
	var results []*zonesResult
	for _, policy := range []struct {
		name  string
		spill spillPolicy
	}{{"no spill", spillNone}, {"next zone", spillNext}, {"random zone", spillRandom}, {"spare now", spillSpare}, {"spare smoothed", spillSmooth}} {
		result := newZonesSimulation(seed, policy.spill).run(rand.New(rand.NewPCG(seed, 6)))
		firstByteTimes := overloadResult{firstByteTimes: result.firstByteTimes}
		variant.Rows = append(variant.Rows, Row{policy.name, []float64{
			float64(result.served) / float64(result.offered), firstByteTimes.quantile(0.95),
			float64(result.servedAfterReturn) / float64(result.offeredAfterReturn), float64(result.startedWhileOut),
		}})
		results = append(results, result)
	}
	baselines, router := results[:3], results[4]
	best := 0
	for _, result := range baselines {
		best = max(best, result.served)
	}
	report.Variants = []Variant{variant}
	report.Aims = []Aim{
		atMost("smoothed spare, served while out: best baseline's of it", float64(best)/float64(router.served), 1),
		atMost("requests started in the zone once the order is known", float64(router.startedWhileOut), 0),
	}
	return report
}
