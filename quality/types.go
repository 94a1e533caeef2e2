// Package quality has answers of cascade steps rated by the platform's rater, and learns from the ratings how often
// each step's answers are good enough to deliver. It does not choose steps; package decide does, from what is learned
// here.
package quality

import (
	"context"

	"plumbarrow.example/plumbarrow/decide"
)

// Judged is one rated answer of a cascade step.
type Judged struct {
	Route  string
	Kind   decide.Kind
	Step   int
	Score  float64 // 0 to 1
	Passed bool    // the score reached the threshold
}

// Judge rates answers and learns from the ratings. Safe for concurrent use.
type Judge interface {
	decide.Quality
	// Rate asks the rater for the score, 0 to 1, of an answer and learns from it. rated is false if
	// the answer was not accepted for rating, the rater failed or ctx ended first.
	Rate(ctx context.Context, request *decide.Request, step decide.Step, prompt, answer string) (score float64, rated bool)
	// Sample rates a delivered answer in the background, for a share of the requests. It does not
	// wait for the rating.
	Sample(request *decide.Request, step decide.Step, prompt, answer string)
}
