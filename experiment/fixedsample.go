package experiment

import (
	"math"

	"plumbarrow.example/plumbarrow/contract"
)

// fixedSample is the baseline: a fixed-sample test, repeated. The sample size gives a power of 90 %
// for a rise of the failure rate by detectableRise. When a sample of the new version is complete,
// failures and ratings are each tested once at a level of 1 in 1,000, and the next sample starts.
type fixedSample struct {
	size          int
	previous, new sample
	alarmed       bool
}

type sample struct {
	n, failed              float64
	rated, sum, sumSquares float64
}

func newFixedSample() *fixedSample {
	p, q := healthyFailureRate, healthyFailureRate+detectableRise
	ratio := exposureShare / (1 - exposureShare)
	quantiles := falseAlarmQuantile + powerQuantile
	size := quantiles * quantiles * (q*(1-q) + p*(1-p)*ratio) / (detectableRise * detectableRise)
	return &fixedSample{size: int(math.Ceil(size))}
}

// add records one attempt; score is NaN if it was not rated.
func (f *fixedSample) add(version contract.VersionID, failed bool, score float64) {
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
		side.sumSquares += score * score
	}
	if int(f.new.n) >= f.size {
		f.alarmed = f.alarmed || f.test()
		f.previous, f.new = sample{}, sample{}
	}
}

// test reports whether the new version is significantly worse than the previous one.
func (f *fixedSample) test() bool {
	a, b := &f.previous, &f.new
	pooled := (a.failed + b.failed) / (a.n + b.n)
	stdErr := math.Sqrt(pooled * (1 - pooled) * (1/a.n + 1/b.n))
	failing := b.failed/b.n-a.failed/a.n > falseAlarmQuantile*stdErr
	meanA, meanB := a.sum/a.rated, b.sum/b.rated
	stdErr = math.Sqrt((a.sumSquares/a.rated-meanA*meanA)/a.rated + (b.sumSquares/b.rated-meanB*meanB)/b.rated)
	return failing || meanA-meanB > falseAlarmQuantile*stdErr
}
