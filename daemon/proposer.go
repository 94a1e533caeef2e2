package daemon

import (
	"context"
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
)

// automatedProposer proposes changes of the configuration that the router makes itself, under a fixed author.
type automatedProposer struct {
	proposer *replica.Proposer
	author   string
	// restrictive marks changes that only withdraw; they are accepted even if they leave a route without a
	// usable version.
	restrictive bool
}

var _ rollout.Proposer = automatedProposer{}

// Propose implements rollout.Proposer.
func (p automatedProposer) Propose(ctx context.Context, changeID string, edit func(*contract.Document) error) error {
	result := p.proposer.Edit(ctx, replica.Edit{
		ChangeID:    changeID,
		Author:      p.author,
		Restrictive: p.restrictive,
		Apply:       edit,
	})
	if result.Outcome != replica.OutcomeAccepted {
		return fmt.Errorf("change %s: %s: %s", changeID, result.Outcome, result.Detail)
	}
	return nil
}
