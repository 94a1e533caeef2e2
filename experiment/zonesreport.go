package experiment

import "math/rand/v2"

// runZones compares ways to spill while a zone is out and after its return.
func runZones(seed uint64) *Report {
	report := &Report{Name: Zones, Seed: seed}
	variant := Variant{
		Name:    "one of three zones out for two minutes",
		Columns: []string{"served while out", "p95 ms", "served after return", "started in the zone"},
	}
	var results []*zonesResult
	for _, one := range []struct {
		name  string
		spill spillTo
	}{{"no spill", spillNowhere}, {"next zone", spillNext}, {"random zone", spillRandom}, {"spare now", spillSpare}, {"spare smoothed", spillSmooth}} {
		result := newZonesWorld(seed, one.spill).run(rand.New(rand.NewPCG(seed, 6)))
		waits := overloadResult{waits: result.waits}
		variant.Rows = append(variant.Rows, Row{one.name, []float64{
			float64(result.served) / float64(result.offered), waits.quantile(0.95),
			float64(result.backGood) / float64(result.back), float64(result.started),
		}})
		results = append(results, result)
	}
	baselines, own := results[:3], results[4]
	best := 0
	for _, result := range baselines {
		best = max(best, result.served)
	}
	report.Variants = []Variant{variant}
	report.Aims = []Aim{
		atMost("smoothed spare, served while out: best baseline's of it", float64(best)/float64(own.served), 1),
		atMost("requests started in the zone once the order is known", float64(own.started), 0),
	}
	return report
}
