// Package rollout controls how much traffic versions of models get: it gathers evidence against bad
// versions, quarantines and withdraws them, and advances roll-outs by records in the platform's
// store. It changes the configuration through a Proposer only. Versions of services are rolled out by
// package canary.
package rollout

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// Attempt is the outcome of one finished attempt.
type Attempt struct {
	Version   contract.VersionID
	Failed    bool
	FirstByte time.Duration // time to first byte; 0 if none came
}

// Recorder records evidence. Safe for concurrent use; never blocks.
type Recorder interface {
	// RecordAttempt records the outcome of one attempt.
	RecordAttempt(attempt Attempt)
	// RecordRating records the score of one answer, 0 to 1.
	RecordRating(version contract.VersionID, score float64)
}
