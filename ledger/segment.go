package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

const (
	recordOverhead = 8 // approximate bytes of a record's framing within a document
	// mergeFanIn adjacent segments of one level are merged into one of the next level, so that a head
	// lists few segments and a new home reads few.
	mergeFanIn = 8
	// maxMergedBytes bounds the records of a merged segment, well below the store's largest value.
	maxMergedBytes = infra.MaxValueBytes / 2
)

// nextHead is a head to be written, with the segments that it adds and drops.
type nextHead struct {
	head    *ledgerpb.Head
	added   []*ledgerpb.SealedRef
	dropped []*ledgerpb.SealedRef
}

// nextHead returns the head to write. It drops expired segments and records, and moves the records
// of the current head to a segment once they reach SealBytes.
func (s *shard) nextHead(ctx context.Context, appended []*ledgerpb.Record) *nextHead {
	next := &nextHead{head: &ledgerpb.Head{}}
	for _, ref := range s.head.Sealed {
		if len(next.head.Sealed) == 0 && s.index.expired(ref.Newest) {
			next.dropped = append(next.dropped, ref)
			continue
		}
		next.head.Sealed = append(next.head.Sealed, ref)
	}
	if sealed := s.seal(ctx); sealed != nil {
		next.add(sealed)
		s.merge(ctx, next)
	} else {
		next.head.Records = s.dropExpired(s.head.Records)
	}
	next.head.Records = append(next.head.Records, appended...)
	return next
}

func (n *nextHead) add(ref *ledgerpb.SealedRef) {
	n.head.Sealed = append(n.head.Sealed, ref)
	n.added = append(n.added, ref)
}

// dropExpired returns the records without the expired ones at the front.
func (s *shard) dropExpired(records []*ledgerpb.Record) []*ledgerpb.Record {
	for len(records) > 0 && s.index.expired(records[0].At) {
		records = records[1:]
	}
	return records[:len(records):len(records)]
}

// seal writes the head's records to a segment of their own once they reach SealBytes. It returns nil
// if they don't or the write failed.
func (s *shard) seal(ctx context.Context) *ledgerpb.SealedRef {
	if sizeOf(s.head.Records...) < s.journal.parts.Settings.SealBytes {
		return nil
	}
	return s.writeSegment(ctx, s.head.Records, 0)
}

// merge replaces the newest mergeFanIn segments by one of the next level as long as they have the
// same level. Older segments are not merged: an instance that has already read some of the merged
// segments reads the new one last, and a merged segment at the end keeps the replay in order.
func (s *shard) merge(ctx context.Context, next *nextHead) {
	for {
		refs := next.head.Sealed
		level := refs[len(refs)-1].Level
		first := len(refs)
		for first > 0 && refs[first-1].Level == level && len(refs)-first < mergeFanIn {
			first--
		}
		if len(refs)-first < mergeFanIn {
			return
		}
		records, err := s.readSegments(ctx, refs[first:])
		if err != nil || sizeOf(records...) > maxMergedBytes {
			return
		}
		merged := s.writeSegment(ctx, records, level+1)
		if merged == nil {
			return
		}
		next.dropped = append(next.dropped, refs[first:]...)
		next.head.Sealed = refs[:first:first]
		next.add(merged)
	}
}

// writeSegment writes the records to a new segment and returns its reference, or nil if the store did
// not confirm the write. A segment takes effect only when a head lists it, so a failure leaves at
// most an orphaned key.
func (s *shard) writeSegment(ctx context.Context, records []*ledgerpb.Record, level uint32) *ledgerpb.SealedRef {
	ref := &ledgerpb.SealedRef{Id: rand.Uint64(), Level: level}
	for _, record := range records {
		ref.Newest = max(ref.Newest, record.At)
	}
	value, err := proto.Marshal(&ledgerpb.Segment{Records: records})
	if err != nil {
		return nil
	}
	version, err := s.journal.parts.Store.CompareAndSwap(ctx, s.segmentKey(ref.Id), 0, value)
	if err != nil {
		s.journal.count("seal_failed")
		return nil
	}
	s.journal.count("sealed")
	ref.Version = uint64(version)
	return ref
}

// sizeOf returns the approximate encoded size of the records in bytes.
func sizeOf(records ...*ledgerpb.Record) int {
	size := 0
	for _, record := range records {
		size += recordOverhead + len(record.Key) + len(record.Nonce) + len(record.Digest) + len(record.Value) + len(record.Replaces)
	}
	return size
}

func (s *shard) segmentKey(id uint64) string { return fmt.Sprintf("%s/%016x", s.key, id) }

func (s *shard) readSegments(ctx context.Context, refs []*ledgerpb.SealedRef) ([]*ledgerpb.Record, error) {
	var records []*ledgerpb.Record
	for _, ref := range refs {
		entry, err := s.journal.parts.Store.Get(ctx, s.segmentKey(ref.Id))
		if err != nil {
			return nil, fmt.Errorf("read segment %s: %w", s.segmentKey(ref.Id), err)
		}
		segment := &ledgerpb.Segment{}
		if err := proto.Unmarshal(entry.Value, segment); err != nil {
			return nil, fmt.Errorf("decode %s: %w", entry.Key, err)
		}
		records = append(records, segment.Records...)
	}
	return records, nil
}

// readOutcome returns a copy of the holder with its value, read from the sealed segments.
func (s *shard) readOutcome(ctx context.Context, held *holder) (*holder, error) {
	s.journal.count("outcome_read")
	for i, ref := range s.head.Sealed {
		if ref.Newest < held.createdAt {
			continue
		}
		records, err := s.readSegments(ctx, s.head.Sealed[i:i+1])
		if err != nil {
			s.loaded = false // the segment may have been merged by another instance
			return nil, err
		}
		for _, record := range records {
			if record.Kind == ledgerpb.RecordKind_RECORD_UPDATE && nonceOf(record.Nonce) == held.nonce {
				full := *held
				full.value = record.Value
				return &full, nil
			}
		}
	}
	return nil, fmt.Errorf("the outcome of nonce %x is in none of the %d segments of %s", held.nonce, len(s.head.Sealed), s.key)
}

// loadSegments replays the segments that the index does not hold yet, in order.
func (s *shard) loadSegments(ctx context.Context, refs []*ledgerpb.SealedRef) error {
	for i, ref := range refs {
		if _, ok := s.indexed[ref.Id]; ok {
			continue
		}
		records, err := s.readSegments(ctx, refs[i:i+1])
		if err != nil {
			return err
		}
		for _, record := range records {
			s.index.replay(record)
		}
		s.index.sealRecent()
		s.indexed[ref.Id] = struct{}{}
	}
	return nil
}

// deleteSegments deletes segments that no head lists. A failure leaves an orphaned key.
func (s *shard) deleteSegments(ctx context.Context, refs []*ledgerpb.SealedRef) {
	for _, ref := range refs {
		delete(s.indexed, ref.Id)
		if err := s.journal.parts.Store.Delete(ctx, s.segmentKey(ref.Id), infra.StoreVersion(ref.Version)); err != nil {
			s.journal.count("segment_left")
		}
	}
}
