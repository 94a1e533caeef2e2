package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// historySlots is the number of keys that hold the history. Each slot holds half a head's changes,
// and the slots are overwritten in turn. Together they hold a day at 12,000 changes a day.
const historySlots = 768

var errHistoryUnavailable = errors.New("the history of changes could not be read")

// ErrNoDocument means that the document of a revision is no longer kept, or never existed.
var ErrNoDocument = errors.New("the document of this revision is not kept")

// historyKey returns the key of the slot for changes that begin at revision first.
func historyKey(first contract.Revision) string {
	slot := uint64(first) / (maxRecords / 2) % historySlots
	return fmt.Sprintf("%s%03d", historyPrefix, slot)
}

// writeHistory stores changes that leave the head and overwrites the slot's older ones. It is
// idempotent, because accepted changes are immutable.
func writeHistory(ctx context.Context, store infra.Store, records []Record) error {
	trimmed := slices.Clone(records)
	for i := range trimmed {
		trimmed[i].Parts = nil
	}
	value, err := json.Marshal(trimmed)
	if err != nil {
		return fmt.Errorf("encode history: %w", err)
	}
	key := historyKey(records[0].Revision)
	var expected infra.StoreVersion
	entry, err := store.Get(ctx, key)
	switch {
	case errors.Is(err, infra.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read history: %w", err)
	default:
		var old []Record
		if json.Unmarshal(entry.Value, &old) == nil && len(old) > 0 && old[0].Revision >= records[0].Revision {
			return nil
		}
		expected = entry.Version
	}
	if _, err := store.CompareAndSwap(ctx, key, expected, value); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

// readHistory returns the changes that have left the head, in no particular order.
func readHistory(ctx context.Context, store infra.Store) ([]Record, error) {
	entries, err := store.List(ctx, historyPrefix)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	var records []Record
	for _, entry := range entries {
		var slot []Record
		if err := json.Unmarshal(entry.Value, &slot); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		records = append(records, slot...)
	}
	return records, nil
}

// History returns at most limit accepted changes, newest first. It reads more than the head only if
// limit exceeds the changes in the head. It fails if the store can't be read.
func (p *Proposer) History(ctx context.Context, limit int) ([]Record, error) {
	head, _, err := readHead(ctx, p.store)
	if err != nil {
		return nil, err
	}
	records := slices.Clone(head.Records)
	if limit > len(records) && head.Revision() > contract.Revision(len(records)) {
		older, err := readHistory(ctx, p.store)
		if err != nil {
			return nil, err
		}
		records = append(records, older...)
	}
	slices.SortFunc(records, func(a, b Record) int { return int(b.Revision) - int(a.Revision) })
	records = slices.CompactFunc(records, func(a, b Record) bool { return a.Revision == b.Revision })
	return records[:min(limit, len(records))], nil
}

// Document returns the TOML document of a revision among the last changes, with its record; 0 means the
// newest. The error is ErrNoDocument if the head no longer contains the revision. The document must not
// be modified.
func (p *Proposer) Document(ctx context.Context, revision contract.Revision) (*Record, []byte, error) {
	head, _, err := readHead(ctx, p.store)
	if err != nil {
		return nil, nil, err
	}
	if revision == 0 {
		revision = head.Revision()
	}
	record := head.byRevision(revision)
	if record == nil {
		return nil, nil, fmt.Errorf("revision %d: %w", revision, ErrNoDocument)
	}
	document, err := p.document(ctx, record)
	return record, document, err
}
