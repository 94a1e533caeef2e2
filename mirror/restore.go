package mirror

import (
	"bytes"
	"cmp"
	"strings"
	"time"
)

// Position is a point in the store's history. A store that comes back from an older copy begins a new era, in which revisions go back and
// are given out again.
type Position struct {
	Era      uint64 // 0 for a store that states none
	Revision uint64
}

// Compare returns -1 if p is earlier than o, 0 if they are equal and 1 if p is later.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether p is later than o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// RestoreHold returns how long a document stays in force instead of what the store has after it came back from an older copy, unless it is
// written again meanwhile; 0 if what the store has takes effect at once. known is the document in force, restored what the store has;
// either may be deleted. The values differ if neither is.
type RestoreHold func(known, restored Document) time.Duration

func holdNothing(_, _ Document) time.Duration { return 0 }

// memberHold is how long a registration counts that was lost or replaced by an older one: until the instance has registered again, at the
// latest when it renews its lease.
const memberHold = presenceRenewInterval + presenceMaxBackoff

// heldDocument is a document that stays in force instead of the one that a restored store has.
type heldDocument struct {
	document Document
	until    time.Time
}

// SetRestoreHold must be called before the mirror is used. Without it, a restored store's documents take effect at once.
func (m *Mirror) SetRestoreHold(hold RestoreHold) { m.hold = hold }

// inForce returns the document in force at a key. The caller holds the lock.
func (m *Mirror) inForce(key string) Document {
	if held, ok := m.held[key]; ok {
		return held.document
	}
	return m.documents[key]
}

// holdBack keeps the known document in force instead of the restored one and reports whether it does. The caller holds the lock.
func (m *Mirror) holdBack(known, restored Document) bool {
	if known.Deleted && restored.Deleted || !known.Deleted && !restored.Deleted && bytes.Equal(known.Value, restored.Value) {
		return false
	}
	hold := m.hold(known, restored)
	if strings.HasPrefix(known.Key, MembersPrefix) && !known.Deleted && (restored.Deleted || restored.Revision < known.Revision) {
		hold = memberHold
	}
	if hold <= 0 {
		return false
	}
	m.held[known.Key] = heldDocument{document: known, until: time.Now().Add(hold)}
	return true
}

// releaseHeld puts what the store has in force where the time of a held document is over.
func (m *Mirror) releaseHeld() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var changed []Document
	for key, held := range m.held {
		if !now.Before(held.until) {
			delete(m.held, key)
			changed = append(changed, m.documents[key])
		}
	}
	m.notify(changed)
}

// recordRestore records that the store came back from an older copy. The leases that the copy lacks have ended as after an outage. The
// caller holds the lock.
func (m *Mirror) recordRestore(from Position) {
	m.log.Warn("store restored from an older copy", "old_era", m.position.Era, "new_era", from.Era, "old_revision", m.position.Revision,
		"new_revision", from.Revision)
	m.lastUnreachable = time.Now()
	m.lastPeerSteady = time.Time{}
}

// listState identifies a result of List: it changes whenever a document in force does.
type listState struct {
	position Position
	held     int
}

func (m *Mirror) listState() listState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return listState{position: m.position, held: len(m.held)}
}
