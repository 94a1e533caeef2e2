package rollout

import "plumbarrow.example/plumbarrow/rollout/rolloutpb"

// ratingLevels is the number of equal parts into which scores from 0 to 1 are sorted.
const ratingLevels = 10

// Tally counts what was seen of a version. All fields only grow.
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

// Rate enters one score from 0 to 1.
func (t *Tally) Rate(score float64) {
	t.Ratings[min(int(score*ratingLevels), ratingLevels-1)]++
}

// Rated is the number of ratings.
func (t *Tally) Rated() uint64 {
	var n uint64
	for _, level := range t.Ratings {
		n += level
	}
	return n
}

// size orders the tallies of one source by age.
func (t *Tally) size() uint64 { return t.Attempts + t.FirstBytes + t.Rated() }

func (t *Tally) failures() arm { return arm{float64(t.Attempts), float64(t.Failures)} }
func (t *Tally) slow() arm     { return arm{float64(t.FirstBytes), float64(t.Slow)} }

// Worse is the logarithm of an e-process against a version that is no worse than its predecessor by
// more than the margins, in failures, time to the first byte and ratings together. Ratings are
// compared by the share below each of the levels, which shows a shift of closely spaced scores much
// sooner than their mean does.
func Worse(settings Settings, previous, next Tally) float64 {
	failures := worse(previous.failures(), next.failures(), settings.ErrorMargin)
	slow := worse(previous.slow(), next.slow(), settings.SlowMargin)
	return meanExp(failures, slow, worseRated(previous, next, settings.RatingMargin))
}

// worseRated is the logarithm of the mean of the e-processes of all levels.
func worseRated(previous, next Tally, margin float64) float64 {
	before, after := arm{n: float64(previous.Rated())}, arm{n: float64(next.Rated())}
	if before.n == 0 || after.n == 0 {
		return 0
	}
	var levels [ratingLevels - 1]float64
	for i := range levels {
		before.sum += float64(previous.Ratings[i])
		after.sum += float64(next.Ratings[i])
		levels[i] = worse(before, after, margin)
	}
	return meanExp(levels[:]...)
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

// plausible says whether a received tally can have been counted at all.
func (t *Tally) plausible() bool {
	return t.Failures <= t.Attempts && t.Slow <= t.FirstBytes
}
