package daemon

import (
	"context"
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
)

// proposals writes the router's own changes of the configuration.
type proposals struct {
	proposer *replica.Proposer
	author   string
	// restrictive changes only take away and may leave routes that nothing can serve.
	restrictive bool
}

var _ rollout.Proposer = proposals{}

// Propose implements rollout.Proposer.
func (p proposals) Propose(ctx context.Context, changeID string, edit func(*contract.Document) error) error {
	result := p.proposer.Edit(ctx, replica.Edit{
		ChangeID:    changeID,
		Author:      p.author,
		Restrictive: p.restrictive,
		Apply:       edit,
	})
	if result.Outcome != replica.Accepted {
		return fmt.Errorf("%s: %s", result.Outcome, result.Detail)
	}
	return nil
}
