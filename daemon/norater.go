package daemon

import (
	"context"
	"errors"

	"plumbarrow.example/plumbarrow/infra"
)

var errNoRater = errors.New("no rater is configured")

// noRater is the Rater of a platform without a rating service. Every call fails with errNoRater.
type noRater struct{}

var _ infra.Rater = noRater{}

// Rate implements infra.Rater.
func (noRater) Rate(context.Context, string, string, string) (infra.Rating, error) {
	return infra.Rating{}, errNoRater
}
