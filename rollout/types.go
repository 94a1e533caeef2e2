// Package rollout controls how much traffic versions get: it gathers evidence against bad versions,
// quarantines and withdraws them, and moves roll-outs along from a record in the platform's store.
package rollout

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// Attempt is the evidence of one finished attempt.
type Attempt struct {
	Version   contract.VersionID
	Failed    bool
	FirstByte time.Duration
}

// Recorder takes in evidence. Safe for concurrent use; never blocks.
type Recorder interface {
	Attempt(attempt Attempt)
	// Rating reports the score of one answer, 0 to 1.
	Rating(version contract.VersionID, score float64)
}
