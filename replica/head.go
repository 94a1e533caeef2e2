package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// Keys in the platform's store.
const (
	// HeadKey holds the last accepted changes. The compare-and-swap of this key accepts a change.
	HeadKey       = "plumbarrow/configuration/head"
	partPrefix    = "plumbarrow/configuration/parts/"
	historyPrefix = "plumbarrow/configuration/history/"
)

const (
	// maxRecords bounds the changes in the head; at the bound the older half moves to history.
	maxRecords = 32
	// maxEntryNames bounds the names of changed entries kept with a change.
	maxEntryNames  = 4
	maxAuthorBytes = 64
)

// Record is one accepted change.
type Record struct {
	Revision contract.Revision `json:"revision"`
	ChangeID string            `json:"change_id"`
	Author   string            `json:"author"` // at most 64 bytes; a longer one is cut
	At       time.Time         `json:"at"`     // UTC, by the clock of the proposing instance
	// Digest is the hex SHA-256 of the document.
	Digest string `json:"digest"`
	// Size of the document in bytes.
	Size int `json:"size"`
	// Entries names a few of the changed entries; Changed counts all of them.
	Entries []string `json:"entries,omitempty"`
	Changed int      `json:"changed"`
	// Parts of the document in the store. Empty for a change that has left the head, whose document
	// is no longer kept.
	Parts []Part `json:"parts,omitempty"`
}

// Part is one piece of a compressed document in the store. Its key is the hash of its content.
type Part struct {
	// Digest is the hex SHA-256 of the part and the end of its key.
	Digest string `json:"digest"`
	// Version of the part's key when it was written. The part is deleted only at this version.
	Version infra.StoreVersion `json:"version"`
}

// Head is the value of HeadKey: the last changes, oldest first. The instances put the last one into
// force.
type Head struct {
	Records []Record `json:"records"`
	// Delta is the newest document, compressed against the one before it. It saves the instances
	// reading the whole document at each change. Empty if it would exceed maxDeltaBytes.
	Delta []byte `json:"delta,omitempty"`
}

// Revision of the newest change; 0 for an empty head.
func (h *Head) Revision() contract.Revision {
	if len(h.Records) == 0 {
		return 0
	}
	return h.Records[len(h.Records)-1].Revision
}

func (h *Head) newest() *Record { return &h.Records[len(h.Records)-1] }

// payload returns the delta in the head; it is empty if there is none.
func (h *Head) payload() payload {
	if len(h.Delta) == 0 || len(h.Records) < 2 {
		return payload{}
	}
	return payload{delta: h.Delta, deltaFrom: h.Records[len(h.Records)-2].Digest}
}

func (h *Head) byChange(id string) *Record {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.ChangeID == id })
	if i < 0 {
		return nil
	}
	return &h.Records[i]
}

func (h *Head) byRevision(revision contract.Revision) *Record {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.Revision == revision })
	if i < 0 {
		return nil
	}
	return &h.Records[i]
}

// parts returns the parts of a document that the head already refers to, or nil.
func (h *Head) parts(digest string) []Part {
	for i := range h.Records {
		if h.Records[i].Digest == digest {
			return h.Records[i].Parts
		}
	}
	return nil
}

// DecodeHead reads the value of HeadKey.
func DecodeHead(value []byte) (*Head, error) {
	head := &Head{}
	if err := json.Unmarshal(value, head); err != nil {
		return nil, fmt.Errorf("configuration head: %w", err)
	}
	for i := 1; i < len(head.Records); i++ {
		if head.Records[i].Revision <= head.Records[i-1].Revision {
			return nil, fmt.Errorf("configuration head: revision %d follows %d", head.Records[i].Revision, head.Records[i-1].Revision)
		}
	}
	return head, nil
}

// readHead returns the head and its version in the store; an empty head and version 0 if there is
// none yet.
func readHead(ctx context.Context, store infra.Store) (*Head, infra.StoreVersion, error) {
	entry, err := store.Get(ctx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		return &Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read head: %w", err)
	}
	head, err := DecodeHead(entry.Value)
	return head, entry.Version, err
}
