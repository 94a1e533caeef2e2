package experiment

import (
	"math"

	"plumbarrow.example/plumbarrow/contract"
)

// fixedSample is the baseline: it collects a sample of the new version that suffices to see a rise
// of failures by exposureDetected with a power of 90 in 100, tests it once at a level of 1 in 1,000
// for failures and for ratings, and starts the next sample.
type fixedSample struct {
	size          int
	previous, new sample
	alarmed       bool
}

type sample struct {
	n, failed       float64
	rated, sum, sq2 float64
}

func newFixedSample() *fixedSample {
	p, q := healthyFailing, healthyFailing+exposureDetected
	ratio := exposureShare / (1 - exposureShare)
	quantiles := oneSided + ninetyPercent
	size := quantiles * quantiles * (q*(1-q) + p*(1-p)*ratio) / (exposureDetected * exposureDetected)
	return &fixedSample{size: int(math.Ceil(size))}
}

// see enters one attempt; score is NaN for one that was not rated.
func (f *fixedSample) see(version contract.VersionID, failed bool, score float64) {
	side := &f.previous
	if version == newVersion {
		side = &f.new
	}
	side.n++
	if failed {
		side.failed++
	}
	if !math.IsNaN(score) {
		side.rated++
		side.sum += score
		side.sq2 += score * score
	}
	if int(f.new.n) >= f.size {
		f.alarmed = f.alarmed || f.test()
		f.previous, f.new = sample{}, sample{}
	}
}

// test compares both sides once.
func (f *fixedSample) test() bool {
	a, b := &f.previous, &f.new
	pooled := (a.failed + b.failed) / (a.n + b.n)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/a.n + 1/b.n))
	failing := b.failed/b.n-a.failed/a.n > oneSided*spread
	meanA, meanB := a.sum/a.rated, b.sum/b.rated
	spread = math.Sqrt((a.sq2/a.rated-meanA*meanA)/a.rated + (b.sq2/b.rated-meanB*meanB)/b.rated)
	return failing || meanA-meanB > oneSided*spread
}
