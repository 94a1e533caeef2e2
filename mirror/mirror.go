// Package mirror keeps a copy of the documents that instances share through the platform's store. A
// few instances watch the store; the others poll them for changes and call the store only if no poll
// has confirmed their copy for a while. Copies also fetch changes from instances that are ahead, so
// that they stay current while the store cannot be reached. Documents carry the position of their last
// change, and a copy never replaces a document by an older one. What a store lost that came back from an
// older copy stays in force while its writer may write it again.
package mirror

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Document is one key of the store. A deleted document is kept as a tombstone, so that an older copy
// cannot bring it back.
type Document struct {
	Key      string
	Value    []byte // shared by all receivers; must not be modified. A tombstone keeps the last known one.
	Revision uint64 // store revision of the last change or of the deletion
	Deleted  bool
	Era      uint64 // of the store that had this revision; see Position
	// KnownAt is when the first instance had this version, as far as known; zero if unknown. The time that a peer's message took is left out.
	KnownAt time.Time
}

// Position returns the position of the last change.
func (d Document) Position() Position { return Position{Era: d.Era, Revision: d.Revision} }

const (
	// reregisterWindow is how long after an outage of the store documents whose leases expired
	// during it may still be written again by their owners.
	reregisterWindow = 2200 * time.Millisecond
	// steadyAfter is how long an instance must have reached the store without a gap before it reports
	// to its peers that the store had no outage. It is longer than leases take to expire and their
	// documents to be written again.
	steadyAfter = 8 * time.Second
	// peerSteadyTTL is how long a peer's report that the store had no outage counts: some intervals
	// of the exchange.
	peerSteadyTTL = time.Second
	// peerDeletionHold is how long a deletion received from a peer is provisional while this
	// instance cannot reach the store. It stays below the time within which an endpoint that leaves
	// must get no more requests.
	peerDeletionHold = 1500 * time.Millisecond
)

// Listener receives documents that changed, oldest change first. Until provisionalUntil a deletion may
// be an effect of an outage, so that the document may be written again. Calls are serialized; a
// listener must not block and must not call the mirror.
type Listener func(changed []Document, provisionalUntil time.Time)

// Mirror is one instance's copy. Safe for concurrent use.
type Mirror struct {
	log *slog.Logger

	mu              sync.Mutex
	documents       map[string]Document
	held            map[string]heldDocument // in force instead of those in documents; see RestoreHold
	position        Position                // every change up to it is included
	tombstoneFloor  Position                // the copy has all tombstones above this position
	hold            RestoreHold
	listener        Listener
	lastContact     time.Time // last answer of the store
	lastUnreachable time.Time // last failure of the store or, once it answers again, end of the outage
	unreachable     bool      // the last call to the store failed
	lastPeerSteady  time.Time // last report of a peer that the store had no outage
	// confirmedAt is the latest time for which the copy is known to include every change acknowledged by
	// then; zero if unknown. It is a lower bound that allows for delays of messages.
	confirmedAt time.Time
	advanced    chan struct{}            // closed and replaced when position grows
	versions    map[string][]keptVersion // earlier versions of large documents, oldest first
	omitted     *omittedChanges          // to be read from the store; nil for none
	behindSince time.Time                // when another instance was first known to be ahead; zero if none is
	startedAt   time.Time
	lastLag     time.Duration
	observeLag  func(time.Duration)

	received, fromPeers, underWay atomic.Int64 // see Traffic

	storeCall chan struct{} // see callStore; capacity 1
}

// New returns an empty copy.
func New(log *slog.Logger, listener Listener) *Mirror {
	return &Mirror{
		log: log, documents: make(map[string]Document), held: make(map[string]heldDocument), hold: holdNothing, listener: listener,
		advanced: make(chan struct{}), versions: make(map[string][]keptVersion), startedAt: time.Now(), observeLag: func(time.Duration) {},
		storeCall: make(chan struct{}, 1),
	}
}

// Revision returns the store revision up to which the copy is complete; 0 before the first read.
func (m *Mirror) Revision() uint64 { return m.Position().Revision }

// Position returns the position up to which the copy is complete; zero before the first read.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Era returns the era of the store that the copy was read from; 0 if the store has none.
func (m *Mirror) Era() uint64 { return m.Position().Era }

// ConfirmedAge returns how old the state of the store is that the copy is known to include; ok is false
// before the first confirmation.
func (m *Mirror) ConfirmedAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ageOf(m.confirmedAt), !m.confirmedAt.IsZero()
}

// ageOf returns the time since at by the steady clock or by the time of day, whichever is longer: the
// steady clock does not count the time for which the machine was suspended.
func ageOf(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// confirm records that the copy includes every change acknowledged until at. It also ends an outage
// that this instance has seen.
func (m *Mirror) confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
	if m.unreachable && at.After(m.lastUnreachable) {
		m.unreachable = false
		m.lastUnreachable = time.Now()
		m.log.Info("copy confirmed again", "revision", m.position.Revision)
	}
}

// confirmed reports whether the copy is known to include the state of the store of that long ago.
func (m *Mirror) confirmed(within time.Duration) bool {
	age, ok := m.ConfirmedAge()
	return ok && age <= within
}

// callStore makes Follow call the store at once, also if the copy is confirmed. It never blocks.
func (m *Mirror) callStore() {
	select {
	case m.storeCall <- struct{}{}:
	default: // a call is already due
	}
}

// awaitAfter waits until the copy's position is later than after, at most for wait.
func (m *Mirror) awaitAfter(ctx context.Context, after Position, wait time.Duration) {
	m.await(ctx, wait, func(position Position) bool { return position.After(after) })
}

// await waits until the copy's position meets the condition, at most for wait.
func (m *Mirror) await(ctx context.Context, wait time.Duration, met func(Position) bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		position, advanced := m.position, m.advanced
		m.mu.Unlock()
		if met(position) {
			return
		}
		select {
		case <-advanced:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// setPosition advances the position. The caller holds the lock.
func (m *Mirror) setPosition(position Position) {
	if !position.After(m.position) {
		return
	}
	m.position = position
	m.behindSince = time.Time{}
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// steady reports whether the copy has been up to date without a gap for steadyAfter.
func (m *Mirror) steady() bool {
	if !m.confirmed(maxUnconfirmed) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position.Revision > 0 && !m.unreachable && time.Since(m.lastUnreachable) >= steadyAfter
}

// recordPeerSteady records a peer's report that it has reached the store without a gap.
func (m *Mirror) recordPeerSteady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastPeerSteady = time.Now()
}

// provisionalUntil returns the time until which deletions are provisional; zero or a past time if
// they are final. If a peer has reached the store throughout, only this instance was cut off and no
// lease has expired. The caller holds the lock.
func (m *Mirror) provisionalUntil() time.Time {
	switch {
	case time.Since(m.lastPeerSteady) <= peerSteadyTTL:
		return time.Time{}
	case m.unreachable:
		return time.Now().Add(peerDeletionHold)
	case m.lastUnreachable.IsZero():
		return time.Time{}
	default:
		return m.lastUnreachable.Add(reregisterWindow)
	}
}

// Get returns a document as the store has it; ok is false, and the document empty, if it does not exist.
func (m *Mirror) Get(key string) (document Document, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	document, ok = m.documents[key]
	if !ok || document.Deleted {
		return Document{}, false
	}
	return document, true
}

// List returns the documents in force whose keys begin with the prefix, in the order of their keys.
func (m *Mirror) List(prefix string) []Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Document
	for key := range m.documents {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if document := m.inForce(key); !document.Deleted {
			found = append(found, document)
		}
	}
	slices.SortFunc(found, func(a, b Document) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// mergePart merges some of the changes up to a position, so that the copy's own position stays.
func (m *Mirror) mergePart(changed []Document, position Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if position.Era == m.position.Era {
		m.merge(m.unseen(changed), false)
	}
}

// apply merges changes, after which the copy is complete up to position. Changes of another era than the copy's are ignored: an older
// one is outdated, a newer one must be read in full.
func (m *Mirror) apply(changed []Document, position Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if position.Era != m.position.Era {
		return
	}
	if m.position.After(position) {
		changed = m.unseen(changed)
	}
	m.merge(changed, false)
	m.setPosition(position)
}

// unseen returns the documents of an older state that were written after the copy's position. An earlier one that the copy lacks was deleted before
// the copy was read, and the copy has no tombstone of it. The caller holds the lock.
func (m *Mirror) unseen(documents []Document) []Document {
	return slices.DeleteFunc(slices.Clone(documents), func(d Document) bool { return !d.Position().After(m.position) })
}

// replace merges a full state whose first page was read at position from. Documents that it lacks
// were deleted, unless they are newer than from: those may have been written while the pages were
// read. A state of an older era is ignored.
func (m *Mirror) replace(documents []Document, from Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from.Era < m.position.Era {
		return
	}
	if m.position.After(from) {
		// The state is older than the copy, so that a document it lacks may have been created since.
		m.merge(m.unseen(documents), false)
		return
	}
	restored := from.Era > m.position.Era && m.position != Position{}
	if restored {
		m.recordRestore(from)
	}
	listed := make(map[string]bool, len(documents))
	for _, document := range documents {
		listed[document.Key] = true
	}
	changed := slices.Clone(documents)
	for key, document := range m.documents {
		if !listed[key] && !document.Deleted && !document.Position().After(from) {
			changed = append(changed, Document{Key: key, Revision: from.Revision, Era: from.Era, Deleted: true})
		}
	}
	m.merge(changed, restored)
	m.setPosition(from)
	if from.After(m.tombstoneFloor) {
		m.tombstoneFloor = from
	}
}

// merge takes over the documents that are newer than the copy's and calls the listener with those that are in force. restored means
// that they are the first state of a new era. The caller holds the lock.
func (m *Mirror) merge(documents []Document, restored bool) {
	var changed []Document
	for _, document := range newestVersions(documents) {
		known, exists := m.documents[document.Key]
		if !document.Position().After(known.Position()) {
			continue
		}
		m.keepVersion(known)
		if document.Deleted {
			document.Value = known.Value
		}
		held := restored && exists && m.holdBack(m.inForce(document.Key), document)
		m.documents[document.Key] = document
		if !held {
			delete(m.held, document.Key)
			changed = append(changed, document)
		}
	}
	m.recordLag(changed)
	m.notify(changed)
}

// newestVersions returns the documents without those of which a later version is among them.
func newestVersions(documents []Document) []Document {
	newest := make(map[string]Position, len(documents))
	for _, document := range documents {
		if document.Position().After(newest[document.Key]) {
			newest[document.Key] = document.Position()
		}
	}
	if len(newest) == len(documents) {
		return documents
	}
	return slices.DeleteFunc(slices.Clone(documents), func(d Document) bool { return d.Position() != newest[d.Key] })
}

// notify calls the listener with changed documents, if there are any. The caller holds the lock.
func (m *Mirror) notify(changed []Document) {
	if len(changed) == 0 {
		return
	}
	slices.SortStableFunc(changed, func(a, b Document) int { return a.Position().Compare(b.Position()) })
	m.listener(changed, m.provisionalUntil())
}

// changeSet is what changed after a position.
type changeSet struct {
	documents   []Document // if full, all documents that exist
	position    Position
	full        bool      // tombstones above the position asked for have been dropped
	confirmedAt time.Time // see Mirror.confirmedAt
}

// changesAfter returns what changed after a position.
func (m *Mirror) changesAfter(after Position) changeSet {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := changeSet{position: m.position, full: m.tombstoneFloor.After(after), confirmedAt: m.confirmedAt}
	if !changes.full && !m.position.After(after) {
		return changes
	}
	for _, document := range m.documents {
		if changes.full && !document.Deleted || !changes.full && document.Position().After(after) {
			changes.documents = append(changes.documents, document)
		}
	}
	return changes
}

// storeReachable reports whether the last call to the store or a later confirmation succeeded.
func (m *Mirror) storeReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.unreachable
}

// recordContact records an answer of the store.
func (m *Mirror) recordContact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Now()
	if m.unreachable {
		m.unreachable = false
		m.lastUnreachable = m.lastContact
		m.log.Info("store regained", "revision", m.position.Revision)
	}
}

// recordFailure records a failed call to the store.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastUnreachable = time.Now()
	if !m.unreachable {
		m.unreachable = true
		m.log.Warn("store lost", "revision", m.position.Revision, "last_heard_ms", time.Since(m.lastContact).Milliseconds(), "error", err)
	}
}

// pruneTombstones drops the oldest tombstones beyond the limit and raises tombstoneFloor
// accordingly.
func (m *Mirror) pruneTombstones(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var deleted []Document
	for document := range maps.Values(m.documents) {
		if _, held := m.held[document.Key]; document.Deleted && !held {
			deleted = append(deleted, document)
		}
	}
	if len(deleted) <= limit {
		return
	}
	slices.SortFunc(deleted, func(a, b Document) int { return a.Position().Compare(b.Position()) })
	for _, document := range deleted[:len(deleted)-limit] {
		delete(m.documents, document.Key)
		if document.Position().After(m.tombstoneFloor) {
			m.tombstoneFloor = document.Position()
		}
	}
}
