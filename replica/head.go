package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/platform"
)

// HeadKey holds the newest accepted configuration.
const HeadKey = "plumbarrow/configuration/head"

// Head is the value of HeadKey.
type Head struct {
	Revision contract.Revision `json:"revision"`
	ChangeID string            `json:"change_id"`
	Document []byte            `json:"document"` // TOML
}

// DecodeHead reads the value of HeadKey.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, fmt.Errorf("configuration head: %w", err)
	}
	return head, nil
}

// Propose swaps the head for a new document, one revision above the present head.
func Propose(ctx context.Context, store platform.Store, changeID string, document []byte) (contract.Revision, error) {
	parsed, err := contract.Parse("configuration", document)
	if err != nil {
		return 0, err
	}
	entry, err := store.Get(ctx, HeadKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, fmt.Errorf("read head: %w", err)
	}
	var present Head
	if err == nil {
		if present, err = DecodeHead(entry.Value); err != nil {
			return 0, err
		}
	}
	head := Head{Revision: present.Revision + 1, ChangeID: changeID, Document: document}
	if _, err := contract.Build(parsed, head.Revision); err != nil {
		return 0, err
	}
	value, err := json.Marshal(head)
	if err != nil {
		return 0, fmt.Errorf("encode head: %w", err)
	}
	if _, err := store.Swap(ctx, HeadKey, entry.Version, value); err != nil {
		return 0, fmt.Errorf("swap head: %w", err)
	}
	return head.Revision, nil
}
