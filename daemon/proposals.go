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

// Propose implements rollout.Proposer. Entries that the edit leaves alone keep their text.
func (p proposals) Propose(ctx context.Context, changeID string, edit func(*contract.Document) error) error {
	result := p.proposer.Edit(ctx, replica.Edit{
		ChangeID:    changeID,
		Author:      p.author,
		Restrictive: p.restrictive,
		Apply:       func(present []byte) ([]byte, error) { return editText(present, edit) },
	})
	if result.Outcome != replica.Accepted {
		return fmt.Errorf("%s: %s", result.Outcome, result.Detail)
	}
	return nil
}

// editText applies an edit of the parsed document to its text.
func editText(present []byte, edit func(*contract.Document) error) ([]byte, error) {
	document, err := contract.Parse("present", present)
	if err != nil {
		return nil, err
	}
	if err := edit(document); err != nil {
		return nil, err
	}
	edited, err := contract.Canonical(document)
	if err != nil {
		return nil, err
	}
	merged, conflicts, err := contract.Merge(present, edited, present)
	if err != nil {
		return nil, err
	}
	if len(conflicts) > 0 {
		return nil, fmt.Errorf("the edit conflicts at %v", conflicts)
	}
	return merged, nil
}
