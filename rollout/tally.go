package rollout

import "plumbarrow.example/plumbarrow/rollout/rolloutpb"

// Tally counts what was seen of a version. All fields only grow.
type Tally struct {
	Attempts, Failures uint64
	FirstBytes, Slow   uint64
	Ratings            uint64
	RatingSum          float64
}

func (t *Tally) add(other Tally) {
	t.Attempts += other.Attempts
	t.Failures += other.Failures
	t.FirstBytes += other.FirstBytes
	t.Slow += other.Slow
	t.Ratings += other.Ratings
	t.RatingSum += other.RatingSum
}

// size orders the tallies of one source by age.
func (t *Tally) size() uint64 { return t.Attempts + t.FirstBytes + t.Ratings }

func (t *Tally) failures() arm { return arm{float64(t.Attempts), float64(t.Failures)} }
func (t *Tally) slow() arm     { return arm{float64(t.FirstBytes), float64(t.Slow)} }

// dissatisfaction is one minus each rating.
func (t *Tally) dissatisfaction() arm {
	return arm{float64(t.Ratings), max(float64(t.Ratings)-t.RatingSum, 0)}
}

// Worse is the logarithm of an e-process against a version that is no worse than its predecessor by
// more than the margins, in failures, ratings and time to the first byte together.
func Worse(settings Settings, previous, next Tally) float64 {
	return meanExp(
		worse(previous.failures(), next.failures(), settings.ErrorMargin),
		worse(previous.dissatisfaction(), next.dissatisfaction(), settings.RatingMargin),
		worse(previous.slow(), next.slow(), settings.SlowMargin),
	)
}

func toProto(id uint64, t Tally) *rolloutpb.Source {
	return &rolloutpb.Source{
		Id:         id,
		Attempts:   t.Attempts,
		Failures:   t.Failures,
		FirstBytes: t.FirstBytes,
		Slow:       t.Slow,
		Ratings:    t.Ratings,
		RatingSum:  t.RatingSum,
	}
}

func fromProto(source *rolloutpb.Source) Tally {
	return Tally{
		Attempts:   source.Attempts,
		Failures:   source.Failures,
		FirstBytes: source.FirstBytes,
		Slow:       source.Slow,
		Ratings:    source.Ratings,
		RatingSum:  source.RatingSum,
	}
}

// plausible says whether a received tally can have been counted at all.
func (t *Tally) plausible() bool {
	return t.Failures <= t.Attempts && t.Slow <= t.FirstBytes && t.RatingSum >= 0 && t.RatingSum <= float64(t.Ratings)
}
