package ledger

import (
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// holder is the index entry of a key that is taken.
type holder struct {
	nonce    nonce
	digest   []byte
	value    []byte
	finished bool
	// valueOmitted means that only a sealed segment has the value.
	valueOmitted bool
	createdAt    int64 // Unix seconds of its creation
}

// maxInlineBytes is the longest value of a sealed record that the index keeps in memory.
const maxInlineBytes = 128

// index holds the records of one shard by key. sealed has those of the segments, recent those of the
// head, which take precedence. A nil holder in recent is a tombstone of a freed key.
type index struct {
	sealed    map[recordKey]*holder
	recent    map[recordKey]*holder
	retention time.Duration
}

func newIndex(retention time.Duration) *index {
	return &index{sealed: make(map[recordKey]*holder), recent: make(map[recordKey]*holder), retention: retention}
}

// lookup returns the holder of a key, or nil if the key is free or its record has expired.
func (x *index) lookup(key recordKey) *holder {
	found := x.find(key)
	if found == nil || x.expired(found.createdAt) {
		return nil
	}
	return found
}

// find returns the holder of a key even if its record has expired.
func (x *index) find(key recordKey) *holder {
	if found, ok := x.recent[key]; ok {
		return found
	}
	return x.sealed[key]
}

func (x *index) expired(at int64) bool { return time.Since(time.Unix(at, 0)) > x.retention }

// hasEffect reports whether a new record would change the index.
func (x *index) hasEffect(record *ledgerpb.Record) bool {
	held := x.lookup(recordKey(record.Key))
	switch record.Kind {
	case ledgerpb.RecordKind_RECORD_CREATE:
		return held == nil || (!held.finished && held.nonce == nonceOf(record.Replaces))
	case ledgerpb.RecordKind_RECORD_UPDATE, ledgerpb.RecordKind_RECORD_REMOVE:
		return held != nil && !held.finished && held.nonce == nonceOf(record.Nonce)
	default:
		return false
	}
}

// replay applies a record of the head or a segment. Its writer has checked it against the records
// before it, so replay ignores expiry, which depends on the local clock.
func (x *index) replay(record *ledgerpb.Record) {
	key := recordKey(record.Key)
	if record.Kind == ledgerpb.RecordKind_RECORD_CREATE {
		x.recent[key] = &holder{nonce: nonceOf(record.Nonce), digest: record.Digest, value: record.Value, createdAt: record.At}
		return
	}
	held := x.find(key)
	if held == nil || held.nonce != nonceOf(record.Nonce) {
		return
	}
	if record.Kind == ledgerpb.RecordKind_RECORD_REMOVE {
		x.recent[key] = nil
		return
	}
	updated := *held
	updated.value = record.Value
	updated.finished = true
	updated.valueOmitted = false
	x.recent[key] = &updated
}

// sealRecent moves the recent records to the sealed ones.
func (x *index) sealRecent() {
	for key, held := range x.recent {
		if held == nil {
			delete(x.sealed, key)
			continue
		}
		x.sealed[key] = held.withoutLongValue()
	}
	clear(x.recent)
}

// withoutLongValue returns the holder without a value longer than maxInlineBytes.
func (h *holder) withoutLongValue() *holder {
	if !h.finished || len(h.value) <= maxInlineBytes {
		return h
	}
	short := *h
	short.value = nil
	short.valueOmitted = true
	return &short
}

// dropExpired removes the sealed records that have expired.
func (x *index) dropExpired() {
	for key, held := range x.sealed {
		if x.expired(held.createdAt) {
			delete(x.sealed, key)
		}
	}
}

// nonceOf decodes a nonce. For data of another length it returns the zero nonce, which is never
// issued.
func nonceOf(data []byte) nonce {
	if len(data) != len(nonce{}) {
		return nonce{}
	}
	return nonce(data)
}
