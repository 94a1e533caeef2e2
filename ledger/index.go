package ledger

import (
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// holder is what a journal knows of a key that is taken.
type holder struct {
	nonce    nonce
	digest   []byte
	value    []byte
	finished bool
	// outside says that the value is in a sealed segment only.
	outside bool
	at      int64 // Unix seconds of its creation
}

// inlineBytes is the longest outcome that the index keeps of a sealed record.
const inlineBytes = 128

// index answers lookups by key. base holds the sealed records, recent those of the head, which
// win; a nil holder in recent is a freed key.
type index struct {
	base   map[recordKey]*holder
	recent map[recordKey]*holder
	keep   time.Duration
}

func newIndex(keep time.Duration) *index {
	return &index{base: make(map[recordKey]*holder), recent: make(map[recordKey]*holder), keep: keep}
}

// lookup returns the holder of a key, or nil if it is free or its window has passed.
func (x *index) lookup(key recordKey) *holder {
	found := x.stored(key)
	if found == nil || x.expired(found.at) {
		return nil
	}
	return found
}

func (x *index) stored(key recordKey) *holder {
	if found, ok := x.recent[key]; ok {
		return found
	}
	return x.base[key]
}

func (x *index) expired(at int64) bool { return time.Since(time.Unix(at, 0)) > x.keep }

// changes says whether a new record would change anything.
func (x *index) changes(record *ledgerpb.Record) bool {
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

// replay takes over a record that stands in the head. Whoever wrote it has checked it against the
// records before it, so the reader's clock has no say.
func (x *index) replay(record *ledgerpb.Record) {
	key := recordKey(record.Key)
	if record.Kind == ledgerpb.RecordKind_RECORD_CREATE {
		x.recent[key] = &holder{nonce: nonceOf(record.Nonce), digest: record.Digest, value: record.Value, at: record.At}
		return
	}
	held := x.stored(key)
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
	updated.outside = false
	x.recent[key] = &updated
}

// sealRecent moves the head's records to the sealed ones.
func (x *index) sealRecent() {
	for key, held := range x.recent {
		if held == nil {
			delete(x.base, key)
			continue
		}
		x.base[key] = held.sealed()
	}
	clear(x.recent)
}

// sealed returns the holder without an outcome that is too long to be kept in memory.
func (h *holder) sealed() *holder {
	if !h.finished || len(h.value) <= inlineBytes {
		return h
	}
	short := *h
	short.value = nil
	short.outside = true
	return &short
}

// dropExpired forgets sealed records whose window has passed.
func (x *index) dropExpired() {
	for key, held := range x.base {
		if x.expired(held.at) {
			delete(x.base, key)
		}
	}
}

// nonceOf returns the zero nonce, which nobody issues, for bytes of another length.
func nonceOf(data []byte) nonce {
	if len(data) != len(nonce{}) {
		return nonce{}
	}
	return nonce(data)
}
