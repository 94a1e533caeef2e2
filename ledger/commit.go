package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

const (
	storeTimeout      = 5 * time.Second // of one attempt: a read and a write at a slow store
	maxCommitAttempts = 8
	retryBackoff      = 20 * time.Millisecond // times the attempt's number, with full jitter
)

var errHeadLost = errors.New("the shard's head in the store is missing or older than before")

// commit adds a batch to the shard's head in the store with one swap. After a conflict it reads the
// head again and retries, at most maxCommitAttempts times. It completes every operation of the batch.
func (s *shard) commit(batch []*operation) {
	s.lastCommit = time.Now()
	var err error
	for attempt := range maxCommitAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryBackoff + 1))
		if err = s.commitOnce(batch); err == nil {
			return
		}
	}
	s.journal.count("unavailable")
	s.journal.parts.Log.Warn("ledger shard not written", "shard", s.key, "operations", len(batch), "error", err)
	for _, op := range batch {
		op.fail(err)
	}
}

// commitOnce applies the batch to the head and swaps it. An operation is completed only after a swap
// that the store confirmed, or if its record is found in the store.
func (s *shard) commitOnce(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if !s.loaded || s.needsRead(batch) {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	appended := s.applyBatch(batch)
	if len(appended) == 0 {
		s.complete(ctx, batch)
		return nil
	}
	next := s.nextHead(ctx, appended)
	if err := s.swap(ctx, next.head, batch); err != nil {
		s.loaded = false
		if errors.Is(err, infra.ErrConflict) {
			s.deleteSegments(ctx, next.added)
		}
		return err
	}
	s.installHead(next, appended)
	s.complete(ctx, batch)
	s.deleteSegments(ctx, next.dropped)
	return nil
}

// needsRead reports whether the batch holds an operation that must not be completed from the cached
// index: a lookup, or an update or removal without effect, since the index may lack the record to
// update or remove if another instance wrote it.
func (s *shard) needsRead(batch []*operation) bool {
	for _, op := range batch {
		if op.record.Kind != ledgerpb.RecordKind_RECORD_CREATE && !s.index.hasEffect(op.record) {
			return true
		}
	}
	return false
}

// applyBatch applies the batch to the index and returns the records that have an effect. A failed swap
// discards these records from the index, since the next attempt loads the index again.
func (s *shard) applyBatch(batch []*operation) []*ledgerpb.Record {
	var appended []*ledgerpb.Record
	for _, op := range batch {
		if !s.index.hasEffect(op.record) {
			continue
		}
		record := proto.CloneOf(op.record)
		record.At = time.Now().Unix()
		s.index.replay(record)
		appended = append(appended, record)
	}
	return appended
}

// complete completes the operations of a batch that took effect. An operation whose outcome can't be
// read from its segment fails with errOutcomeUnknown.
func (s *shard) complete(ctx context.Context, batch []*operation) {
	for _, op := range batch {
		held := s.index.lookup(recordKey(op.record.Key))
		if held == nil || !held.valueOmitted {
			op.complete(held)
			continue
		}
		full, err := s.readOutcome(ctx, held)
		if err != nil {
			op.maybeWritten = true
			op.fail(err)
			continue
		}
		op.complete(full)
	}
}

// swap writes the head and marks the operations of the batch if the outcome of the write is unknown.
func (s *shard) swap(ctx context.Context, next *ledgerpb.Head, batch []*operation) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > infra.MaxValueBytes {
		return fmt.Errorf("the shard's head has %d bytes, the store holds at most %d", len(value), infra.MaxValueBytes)
	}
	version, err := s.journal.parts.Store.CompareAndSwap(ctx, s.key, s.version, value)
	switch {
	case err == nil:
		s.version = version
		s.journal.count("written")
		return nil
	case errors.Is(err, infra.ErrConflict):
		s.journal.count("conflict")
	case errors.Is(err, infra.ErrUnavailable):
	default:
		s.journal.count("read_back")
		for _, op := range batch {
			op.maybeWritten = true
		}
	}
	return err
}

// installHead makes a written head the cached one.
func (s *shard) installHead(next *nextHead, appended []*ledgerpb.Record) {
	s.head = next.head
	if len(next.added) == 0 {
		return
	}
	// sealRecent also moves the records that were just appended to the sealed ones, although they
	// stay in the head. Replaying them below puts them back among the recent ones.
	s.index.sealRecent()
	s.index.dropExpired()
	for _, ref := range next.added {
		s.indexed[ref.Id] = struct{}{}
	}
	for _, record := range appended {
		s.index.replay(record)
	}
}

// load reads the head and those of its segments that the index does not hold yet. It returns
// errHeadLost if the head is missing or older than the version last seen.
func (s *shard) load(ctx context.Context) error {
	entry, err := s.journal.parts.Store.Get(ctx, s.key)
	switch {
	case errors.Is(err, infra.ErrNotFound) && s.version == 0:
		entry = infra.Entry{}
	case errors.Is(err, infra.ErrNotFound):
		return fmt.Errorf("%w: not found after version %d", errHeadLost, s.version)
	case err != nil:
		return err
	}
	if s.loaded && entry.Version == s.version {
		return nil
	}
	if entry.Version < s.version {
		return fmt.Errorf("%w: version %d after %d", errHeadLost, entry.Version, s.version)
	}
	head := &ledgerpb.Head{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		return fmt.Errorf("decode %s: %w", s.key, err)
	}
	s.loaded = false
	clear(s.index.recent)
	if err := s.loadSegments(ctx, head.Sealed); err != nil {
		return err
	}
	for _, record := range head.Records {
		s.index.replay(record)
	}
	s.head, s.version, s.loaded = head, entry.Version, true
	return nil
}
