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
	storeTimeout      = 5 * time.Second // of one attempt, a read and a write at a slow store
	maxCommitAttempts = 8
	retryBackoff      = 20 * time.Millisecond // grows with each attempt; a random part of it is waited
)

var errHeadLost = errors.New("the shard's head is gone from the store")

// commit brings a batch into the store's head with one swap, rereading and merging as long as
// another instance wins. It settles every operation of the batch.
func (s *shard) commit(batch []*operation) {
	s.lastCommit = time.Now()
	var err error
	for attempt := range maxCommitAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryBackoff + 1))
		if err = s.attempt(batch); err == nil {
			return
		}
	}
	s.journal.count("unavailable")
	s.journal.parts.Log.Warn("ledger shard not written", "shard", s.key, "operations", len(batch), "error", err)
	for _, op := range batch {
		op.fail(err)
	}
}

// attempt applies the batch to the head and swaps it. Only a swap that the store confirmed, or a
// record found in the store, settles an operation.
func (s *shard) attempt(batch []*operation) error {
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

// needsRead says whether the batch holds an operation that must not be settled from the index as
// it is: a lookup, or an update that finds nothing to change, which may only mean that another
// instance wrote the record it is for.
func (s *shard) needsRead(batch []*operation) bool {
	for _, op := range batch {
		if op.record.Kind != ledgerpb.RecordKind_RECORD_CREATE && !s.index.hasEffect(op.record) {
			return true
		}
	}
	return false
}

// applyBatch returns the records of the batch that change the shard, and shows them to later ones of
// the same batch. A failed swap drops them: the next attempt loads the index anew.
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

// complete answers the operations of a batch that is in force. One that asks for an outcome which
// can't be read is left unsettled.
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

func (s *shard) swap(ctx context.Context, next *ledgerpb.Head, batch []*operation) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > infra.MaxValueBytes {
		return errors.New("the shard's head is full")
	}
	version, err := s.journal.parts.Store.Swap(ctx, s.key, s.version, value)
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

// installHead takes a written head over.
func (s *shard) installHead(next *nextHead, appended []*ledgerpb.Record) {
	s.head = next.head
	if len(next.added) == 0 {
		return
	}
	// The records that were just appended become sealed in the index a little early, which their
	// second replay makes good.
	s.index.sealRecent()
	s.index.dropExpired()
	for _, ref := range next.added {
		s.indexed[ref.Id] = struct{}{}
	}
	for _, record := range appended {
		s.index.replay(record)
	}
}

// load reads the head, and the segments that it names and the index does not hold yet.
func (s *shard) load(ctx context.Context) error {
	entry, err := s.journal.parts.Store.Get(ctx, s.key)
	switch {
	case errors.Is(err, infra.ErrNotFound) && s.version == 0:
		entry = infra.Entry{}
	case errors.Is(err, infra.ErrNotFound):
		return errHeadLost
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
