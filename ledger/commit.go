package ledger

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/platform"
)

const (
	storeTimeout   = 2 * time.Second // of one call to the store
	commitAttempts = 8
	retryPause     = 20 * time.Millisecond // grows with each attempt; a random part of it is waited
	recordOverhead = 8                     // bytes of a record's framing within the head
)

var errShardVanished = errors.New("the shard's head is gone from the store")

// commit brings a batch into the store's head with one swap, rereading and merging as long as
// another instance wins. It settles every operation of the batch.
func (s *shard) commit(batch []*operation) {
	s.written = time.Now()
	var err error
	for attempt := range commitAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryPause + 1))
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
	appended := s.stage(batch)
	if len(appended) == 0 {
		s.settle(batch)
		return nil
	}
	sealed := s.seal(ctx)
	next, trimmed := s.nextHead(sealed, appended)
	if err := s.swap(ctx, next, batch); err != nil {
		s.loaded = false
		if sealed != nil && errors.Is(err, platform.ErrConflict) {
			s.remove(ctx, sealed.Id)
		}
		return err
	}
	s.adopt(next, sealed, appended)
	s.settle(batch)
	for _, ref := range trimmed {
		s.remove(ctx, ref.Id)
	}
	return nil
}

// needsRead says whether the batch holds an operation that must not be settled from the index as
// it is: a lookup, or an update that finds nothing to change, which may only mean that another
// instance wrote the record it is for.
func (s *shard) needsRead(batch []*operation) bool {
	for _, op := range batch {
		if op.record.Kind != ledgerpb.RecordKind_RECORD_CREATE && !s.index.changes(op.record) {
			return true
		}
	}
	return false
}

// stage returns the records of the batch that change the shard, and shows them to later ones of
// the same batch. A failed swap drops them: the next attempt loads the index anew.
func (s *shard) stage(batch []*operation) []*ledgerpb.Record {
	var appended []*ledgerpb.Record
	for _, op := range batch {
		if !s.index.changes(op.record) {
			continue
		}
		record := proto.CloneOf(op.record)
		record.At = time.Now().Unix()
		s.index.replay(record)
		appended = append(appended, record)
	}
	return appended
}

func (s *shard) settle(batch []*operation) {
	for _, op := range batch {
		op.settle(s.index.lookup(recordKey(op.record.Key)))
	}
}

// nextHead returns the head to write and the sealed segments that it no longer names.
func (s *shard) nextHead(sealed *ledgerpb.SealedRef, appended []*ledgerpb.Record) (*ledgerpb.Head, []*ledgerpb.SealedRef) {
	next := &ledgerpb.Head{}
	var trimmed []*ledgerpb.SealedRef
	for _, ref := range s.head.Sealed {
		if len(next.Sealed) == 0 && s.index.expired(ref.Newest) {
			trimmed = append(trimmed, ref)
			continue
		}
		next.Sealed = append(next.Sealed, ref)
	}
	if sealed != nil {
		next.Sealed = append(next.Sealed, sealed)
	} else {
		next.Records = s.unexpired(s.head.Records)
	}
	next.Records = append(next.Records, appended...)
	return next, trimmed
}

// unexpired drops the records at the front whose window has passed.
func (s *shard) unexpired(records []*ledgerpb.Record) []*ledgerpb.Record {
	for len(records) > 0 && s.index.expired(records[0].At) {
		records = records[1:]
	}
	return records[:len(records):len(records)]
}

// seal writes the head's records to a segment of their own once there are many. The segment
// counts only when a head names it, so a failure costs nothing but a key that nobody reads.
func (s *shard) seal(ctx context.Context) *ledgerpb.SealedRef {
	if sizeOf(s.head.Records) < s.journal.parts.Settings.SealBytes {
		return nil
	}
	var newest int64
	for _, record := range s.head.Records {
		newest = max(newest, record.At)
	}
	ref := &ledgerpb.SealedRef{Id: rand.Uint64(), Newest: newest}
	value, err := proto.Marshal(&ledgerpb.Segment{Records: s.head.Records})
	if err != nil {
		return nil
	}
	if _, err := s.journal.parts.Store.Swap(ctx, s.segmentKey(ref.Id), 0, value); err != nil {
		s.journal.count("seal_failed")
		return nil
	}
	s.journal.count("sealed")
	return ref
}

func sizeOf(records []*ledgerpb.Record) int {
	size := 0
	for _, record := range records {
		size += recordOverhead + len(record.Key) + len(record.Nonce) + len(record.Digest) + len(record.Value) + len(record.Replaces)
	}
	return size
}

func (s *shard) segmentKey(id uint64) string { return fmt.Sprintf("%s/%016x", s.key, id) }

func (s *shard) swap(ctx context.Context, next *ledgerpb.Head, batch []*operation) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > platform.MaxValueBytes {
		return errors.New("the shard's head is full")
	}
	version, err := s.journal.parts.Store.Swap(ctx, s.key, s.version, value)
	switch {
	case err == nil:
		s.version = version
		s.journal.count("written")
		return nil
	case errors.Is(err, platform.ErrConflict):
		s.journal.count("conflict")
	case errors.Is(err, platform.ErrUnavailable):
	default:
		s.journal.count("read_back")
		for _, op := range batch {
			op.sent = true
		}
	}
	return err
}

// adopt takes a written head over.
func (s *shard) adopt(next *ledgerpb.Head, sealed *ledgerpb.SealedRef, appended []*ledgerpb.Record) {
	if sealed != nil {
		// The records that were just appended become sealed in the index a little early; the
		// next load puts nothing else there.
		s.index.sealRecent()
		s.folded[sealed.Id] = struct{}{}
		s.index.dropExpired()
		for _, record := range appended {
			s.index.replay(record)
		}
	}
	s.head = next
}

// load reads the head, and the segments that it names and the index does not hold yet.
func (s *shard) load(ctx context.Context) error {
	entry, err := s.journal.parts.Store.Get(ctx, s.key)
	switch {
	case errors.Is(err, platform.ErrNotFound) && s.version == 0:
		entry = platform.Entry{}
	case errors.Is(err, platform.ErrNotFound):
		return errShardVanished
	case err != nil:
		return err
	}
	if s.loaded && entry.Version == s.version {
		return nil
	}
	if entry.Version < s.version {
		return fmt.Errorf("%w: version %d after %d", errShardVanished, entry.Version, s.version)
	}
	head := &ledgerpb.Head{}
	if err := proto.Unmarshal(entry.Value, head); err != nil {
		return fmt.Errorf("decode %s: %w", s.key, err)
	}
	s.loaded = false
	clear(s.index.recent)
	if err := s.foldSegments(ctx, head.Sealed); err != nil {
		return err
	}
	for _, record := range head.Records {
		s.index.replay(record)
	}
	s.head, s.version, s.loaded = head, entry.Version, true
	return nil
}

func (s *shard) foldSegments(ctx context.Context, refs []*ledgerpb.SealedRef) error {
	for _, ref := range refs {
		if _, ok := s.folded[ref.Id]; ok {
			continue
		}
		entry, err := s.journal.parts.Store.Get(ctx, s.segmentKey(ref.Id))
		if err != nil {
			return err
		}
		segment := &ledgerpb.Segment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return fmt.Errorf("decode segment %s: %w", hex.EncodeToString([]byte(entry.Key)), err)
		}
		for _, record := range segment.Records {
			s.index.replay(record)
		}
		s.index.sealRecent()
		s.folded[ref.Id] = struct{}{}
	}
	return nil
}

// remove deletes a segment that no head names; a failure leaves a key that nobody reads.
func (s *shard) remove(ctx context.Context, id uint64) {
	delete(s.folded, id)
	entry, err := s.journal.parts.Store.Get(ctx, s.segmentKey(id))
	if err != nil {
		return
	}
	if err := s.journal.parts.Store.Delete(ctx, entry.Key, entry.Version); err != nil {
		s.journal.count("segment_left")
	}
}
