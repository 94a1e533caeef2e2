package quarantine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/mirror"
)

// DocumentPrefix is the prefix of the keys under which suspects are stored, so that they outlast the instances. An operator who deletes one
// releases the part.
const DocumentPrefix = "plumbarrow/quarantine/"

// maxDocuments bounds the suspects that are stored.
const maxDocuments = 64

// document is a stored suspect. Ages are in milliseconds before it was written.
type document struct {
	Crashes []crashDocument `json:"crashes"`
	// Blocked reports that the instance that wrote it blocked the part.
	Blocked bool `json:"blocked,omitempty"`
}

type crashDocument struct {
	Endpoint  uint64 `json:"endpoint,string"` // hash of the endpoint's id
	SentAgeMS uint32 `json:"sent_age_ms"`
	AgeMS     uint32 `json:"age_ms"`
}

// storedSuspect is what this instance knows of a document.
type storedSuspect struct {
	revision    uint64
	blocked     bool
	generations int
	lastCrash   time.Time
}

func documentKey(part uint64) string { return DocumentPrefix + strconv.FormatUint(part, 16) }

// encodeDocument encodes a suspect for the store.
func encodeDocument(s *suspect, blocked bool, now time.Time) ([]byte, error) {
	stored := document{Crashes: make([]crashDocument, 0, len(s.crashes)), Blocked: blocked}
	for _, c := range s.crashes {
		stored.Crashes = append(stored.Crashes, crashDocument{
			Endpoint: c.endpoint, SentAgeMS: ageMillis(now, c.sentAt), AgeMS: ageMillis(now, c.endedAt),
		})
	}
	return json.Marshal(stored)
}

// decodeDocument returns the part and the suspect that a document written at the time describes, without its crashes beyond maxCrashes.
func decodeDocument(key string, value []byte, writtenAt time.Time) (part uint64, s *suspect, blocked bool, err error) {
	part, err = strconv.ParseUint(strings.TrimPrefix(key, DocumentPrefix), 16, 64)
	if err != nil {
		return 0, nil, false, fmt.Errorf("no part: %w", err)
	}
	var stored document
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, nil, false, err
	}
	s = &suspect{}
	ago := func(ms uint32) time.Time { return writtenAt.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range stored.Crashes {
		s.add(crash{endpoint: c.Endpoint, sentAt: ago(c.SentAgeMS), endedAt: ago(c.AgeMS)}, writtenAt)
	}
	return part, s, stored.Blocked, nil
}

// ApplyDocument takes a suspect as the store has it; the key begins with DocumentPrefix. It adds what this instance does not know. A deletion
// releases the part, unless it may be an after-effect of an outage of the store: until provisionalUntil, if that is set.
func (q *Quarantine) ApplyDocument(changed mirror.Document, provisionalUntil time.Time) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if changed.Deleted {
		q.applyDeletion(changed, now.Before(provisionalUntil), now)
		return
	}
	writtenAt := changed.KnownAt
	if writtenAt.IsZero() || writtenAt.After(now) {
		writtenAt = now
	}
	part, stored, blocked, err := decodeDocument(changed.Key, changed.Value, writtenAt)
	if err != nil {
		q.log.Warn("decoding stored prompt part failed", "key", changed.Key, "revision", changed.Revision, "error", err)
		return
	}
	q.stored[part] = storedSuspect{revision: changed.Revision, blocked: blocked, generations: stored.generations, lastCrash: stored.lastCrash()}
	if known := q.suspects[part]; known != nil && (len(known.crashes) > 0 || !known.soundAt.IsZero()) {
		return
	}
	s := q.suspect(part)
	for _, c := range stored.crashes {
		s.add(c, now)
	}
	if blocked {
		s.knownAt = now.Add(-objectionTime) // objections were awaited before it was written
	}
	q.touch(s, now)
	q.trimSuspects()
	q.evaluate(now)
	q.log.Info("prompt part read from the store", "part", strconv.FormatUint(part, 16), "crashes", len(s.crashes), "blocked", blocked)
}

// applyDeletion takes the deletion of a document. A genuine one counts as an answer to a blocked part, and otherwise dismisses the crashes that the
// document had. The caller holds the lock.
func (q *Quarantine) applyDeletion(deleted mirror.Document, provisional bool, now time.Time) {
	part, err := strconv.ParseUint(strings.TrimPrefix(deleted.Key, DocumentPrefix), 16, 64)
	if err != nil {
		return
	}
	stored, known := q.stored[part]
	delete(q.stored, part)
	s := q.suspects[part]
	if !known || provisional || s == nil {
		return
	}
	dismissed := stored.lastCrash
	if _, isBlocked := (*q.blocked.Load())[part]; isBlocked {
		dismissed = now
	}
	if !s.clear(dismissed) {
		return
	}
	q.log.Info("prompt part deleted from the store", "part", strconv.FormatUint(part, 16))
	q.touch(s, now)
	q.evaluate(now)
}
