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

// document is a stored suspect: a part at one service. Ages are in milliseconds before it was written.
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
	key         string // in the store
	revision    uint64
	blocked     bool
	generations int
	lastCrash   time.Time
}

// documentKey returns the key of a document: the part alone, then the part at the service.
func documentKey(ref partRef) string {
	return DocumentPrefix + strconv.FormatUint(ref.part, 16) + "/" + strconv.FormatUint(ref.key, 16)
}

// parseDocumentKey is the inverse of documentKey.
func parseDocumentKey(text string) (ref partRef, err error) {
	part, key, _ := strings.Cut(strings.TrimPrefix(text, DocumentPrefix), "/")
	if ref.part, err = strconv.ParseUint(part, 16, 64); err != nil {
		return partRef{}, fmt.Errorf("no part: %w", err)
	}
	if ref.key, err = strconv.ParseUint(key, 16, 64); err != nil {
		return partRef{}, fmt.Errorf("no part at a service: %w", err)
	}
	return ref, nil
}

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

// decodeDocument returns the suspect that a document written at the time describes, without its crashes beyond maxCrashes.
func decodeDocument(key string, value []byte, writtenAt time.Time) (ref partRef, s *suspect, blocked bool, err error) {
	if ref, err = parseDocumentKey(key); err != nil {
		return partRef{}, nil, false, err
	}
	var stored document
	if err := json.Unmarshal(value, &stored); err != nil {
		return partRef{}, nil, false, err
	}
	s = &suspect{}
	ago := func(ms uint32) time.Time { return writtenAt.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range stored.Crashes {
		s.add(crash{endpoint: c.Endpoint, sentAt: ago(c.SentAgeMS), endedAt: ago(c.AgeMS)}, writtenAt)
	}
	return ref, s, stored.Blocked, nil
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
	ref, stored, blocked, err := decodeDocument(changed.Key, changed.Value, writtenAt)
	if err != nil {
		q.log.Warn("decoding stored prompt part failed", "key", changed.Key, "revision", changed.Revision, "error", err)
		return
	}
	q.stored[ref.key] = storedSuspect{
		key: changed.Key, revision: changed.Revision, blocked: blocked, generations: stored.generations, lastCrash: stored.lastCrash(),
	}
	if known := q.suspects[ref.key]; known != nil && (len(known.crashes) > 0 || !known.soundAt.IsZero()) {
		return
	}
	s := q.suspect(ref)
	for _, c := range stored.crashes {
		s.add(c, now)
	}
	if blocked {
		s.knownAt = now.Add(-objectionTime) // objections were awaited before it was written
	}
	q.touch(s, now)
	q.trimSuspects()
	q.evaluate(now)
	q.log.Info("prompt part read from the store", "part", strconv.FormatUint(ref.part, 16), "crashes", len(s.crashes), "blocked", blocked)
}

// applyDeletion takes the deletion of a document. A genuine one counts as an answer to a blocked part, at all services, and otherwise dismisses the
// crashes that the document had. The caller holds the lock.
func (q *Quarantine) applyDeletion(deleted mirror.Document, provisional bool, now time.Time) {
	ref, err := parseDocumentKey(deleted.Key)
	if err != nil {
		return
	}
	stored, known := q.stored[ref.key]
	delete(q.stored, ref.key)
	if !known || provisional {
		return
	}
	dismissed := stored.lastCrash
	_, blocked := q.blocked.Load().until[ref.part]
	if blocked {
		dismissed = now
	}
	changed := false
	for key, s := range q.suspects {
		if (key == ref.key || blocked && s.part == ref.part) && len(s.crashes) > 0 && s.clear(dismissed) {
			q.touch(s, now)
			changed = true
		}
	}
	if changed {
		q.log.Info("prompt part deleted from the store", "part", strconv.FormatUint(ref.part, 16))
		q.evaluate(now)
	}
}
