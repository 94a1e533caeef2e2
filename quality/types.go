// Package quality learns from ratings how often a cascade step's answers pass, and asks the
// platform's rater for them.
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
	Passed bool
}

// Judge rates answers and remembers what it learned. Safe for concurrent use.
type Judge interface {
	decide.Quality
	// Rate asks the rater for the score of an answer and learns from it. rated is false if no
	// rating came before ctx ended.
	Rate(ctx context.Context, request *decide.Request, step decide.Step, prompt, answer string) (score float64, rated bool)
	// Sample rates a delivered answer in the background, for a share of the requests.
	Sample(request *decide.Request, step decide.Step, prompt, answer string)
}
