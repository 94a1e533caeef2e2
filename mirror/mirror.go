// Package mirror keeps a copy of the documents that instances share through the platform's store. A
// copy follows the store's watch and, when the store cannot be heard, the copies of other instances.
// Documents carry the store's revision of their last change, and a copy never goes back to an older
// one.
package mirror

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Document is one key of the store. Deleted documents are kept without their value, so that an older
// copy cannot bring them back.
type Document struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

const (
	// lapseWindow is how long after the store's return entries that lapsed meanwhile may still come
	// back.
	lapseWindow = 2200 * time.Millisecond
	// steadyAfter is how long an instance must have heard the store without a gap to tell its peers
	// that the store itself had no outage: longer than entries take to lapse and to come back.
	steadyAfter = 8 * time.Second
	// steadyWord is how long a peer's word that the store had no outage counts: some intervals of
	// the exchange.
	steadyWord = time.Second
	// lapseUnheard is how long a deletion that came from a peer is doubted while the store itself
	// cannot be heard. It stays below the time within which a leaving endpoint must be left.
	lapseUnheard = 1500 * time.Millisecond
)

// Listener is told of documents that changed, oldest first. Until lapseEnds a missing document may be
// an after-effect of an outage and come back. It is called by one goroutine at a time, must not block
// and must not call the mirror.
type Listener func(changed []Document, lapseEnds time.Time)

// Mirror is one instance's copy. Safe for concurrent use.
type Mirror struct {
	log *slog.Logger

	mu        sync.Mutex
	documents map[string]Document
	revision  uint64 // every change up to it is included
	floor     uint64 // deletions after it are known
	listener  Listener
	heardAt   time.Time // last word of the store
	lostAt    time.Time // the store could last not be heard
	lost      bool
	steadyAt  time.Time // last word of a peer that the store had no outage
}

// New returns an empty copy.
func New(log *slog.Logger, listener Listener) *Mirror {
	return &Mirror{log: log, documents: make(map[string]Document), listener: listener}
}

// Revision returns how far the copy has come; 0 before the first read.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// steady says whether the store has been heard without a gap for a while.
func (m *Mirror) steady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision > 0 && !m.lost && time.Since(m.lostAt) >= steadyAfter
}

// peerSteady notes a peer's word that it has heard the store without a gap.
func (m *Mirror) peerSteady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steadyAt = time.Now()
}

// lapseEnds is the time until which missing documents may come back. Where a peer has heard the store
// all the time, it was this instance that was cut off, and no entry has lapsed. The caller holds the
// lock.
func (m *Mirror) lapseEnds() time.Time {
	switch {
	case time.Since(m.steadyAt) <= steadyWord:
		return time.Time{}
	case m.lost:
		return time.Now().Add(lapseUnheard)
	case m.lostAt.IsZero():
		return time.Time{}
	default:
		return m.lostAt.Add(lapseWindow)
	}
}

// Get returns a document; ok is false if it does not exist.
func (m *Mirror) Get(key string) (document Document, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	document, ok = m.documents[key]
	return document, ok && !document.Deleted
}

// List returns the documents whose keys begin with the prefix, in the order of their keys.
func (m *Mirror) List(prefix string) []Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Document
	for key, document := range m.documents {
		if strings.HasPrefix(key, prefix) && !document.Deleted {
			found = append(found, document)
		}
	}
	slices.SortFunc(found, func(a, b Document) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// apply takes over changes, after which the copy is complete up to revision.
func (m *Mirror) apply(changed []Document, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(changed)
	m.revision = max(m.revision, revision)
}

// replace takes over a full state as of revision. Documents that it lacks were deleted, unless they
// are newer. from is the revision at which the state was read first: a document that is newer may
// have been written while its pages were read.
func (m *Mirror) replace(documents []Document, from uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from < m.revision && m.revision != 0 {
		// The state is older than what is known; only documents that are newer are of use.
		m.take(documents)
		return
	}
	present := make(map[string]bool, len(documents))
	for _, document := range documents {
		present[document.Key] = true
	}
	changed := slices.Clone(documents)
	for key, document := range m.documents {
		if !present[key] && !document.Deleted && document.Revision <= from {
			changed = append(changed, Document{Key: key, Revision: from, Deleted: true})
		}
	}
	m.take(changed)
	m.revision = max(m.revision, from)
	m.floor = max(m.floor, from)
}

// take merges documents and tells the listener. The caller holds the lock.
func (m *Mirror) take(documents []Document) {
	var changed []Document
	for _, document := range documents {
		if document.Revision <= m.documents[document.Key].Revision {
			continue
		}
		m.documents[document.Key] = document
		changed = append(changed, document)
	}
	if len(changed) == 0 {
		return
	}
	slices.SortStableFunc(changed, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	m.listener(changed, m.lapseEnds())
}

// changes returns what changed after a revision, or everything if the copy's deletions do not reach
// back that far.
func (m *Mirror) changes(after uint64) (documents []Document, revision uint64, full bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	full = after < m.floor
	for _, document := range m.documents {
		if full && !document.Deleted || !full && document.Revision > after {
			documents = append(documents, document)
		}
	}
	return documents, m.revision, full
}

// heard notes a word of the store.
func (m *Mirror) heard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = time.Now()
	if m.lost {
		m.lost = false
		m.lostAt = m.heardAt
		m.log.Info("store regained", "revision", m.revision)
	}
}

// unheard notes a failure of the store.
func (m *Mirror) unheard(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostAt = time.Now()
	if !m.lost {
		m.lost = true
		m.log.Warn("store lost", "revision", m.revision, "last_heard_ms", time.Since(m.heardAt).Milliseconds(), "error", err)
	}
}

// sweep drops tombstones beyond the bound, oldest first, and moves the floor up accordingly.
func (m *Mirror) sweep(bound int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var deleted []Document
	for document := range maps.Values(m.documents) {
		if document.Deleted {
			deleted = append(deleted, document)
		}
	}
	if len(deleted) <= bound {
		return
	}
	slices.SortFunc(deleted, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, document := range deleted[:len(deleted)-bound] {
		delete(m.documents, document.Key)
		m.floor = max(m.floor, document.Revision)
	}
}
