package rollout

import (
	"plumbarrow.example/plumbarrow/internal/logspace"
	"plumbarrow.example/plumbarrow/rollout/rolloutpb"
)

// ratingLevels is the number of equal parts into which scores from 0 to 1 are sorted.
const ratingLevels = 10

// Tally counts the outcomes of a version. All fields only grow.
type Tally struct {
	Attempts, Failures uint64
	FirstBytes, Slow   uint64
	Ratings            [ratingLevels]uint64 // the lowest scores first
}

func (t *Tally) add(other Tally) {
	t.Attempts += other.Attempts
	t.Failures += other.Failures
	t.FirstBytes += other.FirstBytes
	t.Slow += other.Slow
	for i := range t.Ratings {
		t.Ratings[i] += other.Ratings[i]
	}
}

// AddRating adds one score from 0 to 1.
func (t *Tally) AddRating(score float64) {
	t.Ratings[min(int(score*ratingLevels), ratingLevels-1)]++
}

// RatingCount returns the number of ratings.
func (t *Tally) RatingCount() uint64 {
	var n uint64
	for _, level := range t.Ratings {
		n += level
	}
	return n
}

// observations returns the number of observations, which orders the tallies of one source by age.
func (t *Tally) observations() uint64 { return t.Attempts + t.FirstBytes + t.RatingCount() }

func (t *Tally) failures() arm { return arm{float64(t.Attempts), float64(t.Failures)} }
func (t *Tally) slow() arm     { return arm{float64(t.FirstBytes), float64(t.Slow)} }

// CombinedLogEValue returns the logarithm of an e-process against the hypothesis that next is worse
// than previous by no more than the margins, in failures, time to first byte and ratings together.
// Ratings are compared by the share below each of the levels, which shows a shift of closely spaced
// scores much sooner than their mean does. The mean of e-processes is an e-process itself.
func CombinedLogEValue(settings Settings, previous, next Tally) float64 {
	failures := logEValue(previous.failures(), next.failures(), settings.ErrorMargin)
	slow := logEValue(previous.slow(), next.slow(), settings.SlowMargin)
	return logspace.MeanExp(failures, slow, ratingsLogEValue(previous, next, settings.RatingMargin))
}

// ratingsLogEValue returns the logarithm of the mean of the e-processes of all rating levels.
func ratingsLogEValue(previous, next Tally, margin float64) float64 {
	previousArm, nextArm := arm{n: float64(previous.RatingCount())}, arm{n: float64(next.RatingCount())}
	if previousArm.n == 0 || nextArm.n == 0 {
		return 0
	}
	var levels [ratingLevels - 1]float64
	for i := range levels {
		previousArm.sum += float64(previous.Ratings[i])
		nextArm.sum += float64(next.Ratings[i])
		levels[i] = logEValue(previousArm, nextArm, margin)
	}
	return logspace.MeanExp(levels[:]...)
}

func toProto(id uint64, t Tally) *rolloutpb.Source {
	return &rolloutpb.Source{
		Id:         id,
		Attempts:   t.Attempts,
		Failures:   t.Failures,
		FirstBytes: t.FirstBytes,
		Slow:       t.Slow,
		Ratings:    t.Ratings[:],
	}
}

func fromProto(source *rolloutpb.Source) Tally {
	tally := Tally{
		Attempts:   source.Attempts,
		Failures:   source.Failures,
		FirstBytes: source.FirstBytes,
		Slow:       source.Slow,
	}
	copy(tally.Ratings[:], source.Ratings)
	return tally
}

// plausible reports whether the counts can belong together.
func (t *Tally) plausible() bool {
	return t.Failures <= t.Attempts && t.Slow <= t.FirstBytes
}
