package daemon

import (
	"context"
	"errors"

	"plumbarrow.example/plumbarrow/platform"
)

var errNoRater = errors.New("no rater is configured")

// noRater stands where the platform has no rating service.
type noRater struct{}

var _ platform.Rater = noRater{}

// Rate implements platform.Rater.
func (noRater) Rate(context.Context, string, string, string) (platform.Rating, error) {
	return platform.Rating{}, errNoRater
}
