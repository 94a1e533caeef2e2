package mirror

import (
	"slices"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/delta"
)

const (
	// largeBytes is the size from which a document is sent packed, and from which earlier versions are kept as bases of packed ones.
	largeBytes = 4 << 10
	// maxDocumentBytes bounds an unpacked document. Values of the store are smaller.
	maxDocumentBytes = 8 << 20
	// maxVersions and versionsKeptFor bound the earlier versions of a document that are kept. Peers that ask for a newer version are
	// seldom further behind.
	maxVersions     = 3
	versionsKeptFor = 10 * time.Second
)

// keptVersion is an earlier version of a large document.
type keptVersion struct {
	document   Document
	replacedAt time.Time
}

// keepVersion keeps a document that is about to be replaced, if it is large. The caller holds the lock.
func (m *Mirror) keepVersion(document Document) {
	if document.Deleted || len(document.Value) < largeBytes {
		return
	}
	kept := append(m.versions[document.Key], keptVersion{document, time.Now()})
	m.versions[document.Key] = kept[max(len(kept)-maxVersions, 0):]
}

// dropVersions drops the earlier versions that were replaced more than versionsKeptFor ago.
func (m *Mirror) dropVersions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, kept := range m.versions {
		kept = slices.DeleteFunc(kept, func(v keptVersion) bool { return time.Since(v.replacedAt) > versionsKeptFor })
		if len(kept) == 0 {
			delete(m.versions, key)
			continue
		}
		m.versions[key] = kept
	}
}

// version returns the value of a document at a position, if the copy still has it.
func (m *Mirror) version(key string, at Position) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.documents[key]; current.Position() == at && !current.Deleted {
		return current.Value, true
	}
	for _, kept := range m.versions[key] {
		if kept.document.Position() == at {
			return kept.document.Value, true
		}
	}
	return nil, false
}

// largeVersions returns the keys and positions of the large documents of the copy.
func (m *Mirror) largeVersions() map[string]Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := make(map[string]Position)
	for key, document := range m.documents {
		if !document.Deleted && len(document.Value) >= largeBytes {
			versions[key] = document.Position()
		}
	}
	return versions
}

// packCache holds packed documents, each in its newest version, by the version that they are packed against. Safe for concurrent use.
type packCache struct {
	mu      sync.Mutex
	entries map[string]packedVersions
}

type packedVersions struct {
	position Position
	byBase   map[Position][]byte // the zero position stands for none
}

func newPackCache() *packCache { return &packCache{entries: make(map[string]packedVersions)} }

// pack returns the document, packed against its version at position base, whose value is baseValue. Concurrent calls pack it once.
func (c *packCache) pack(document Document, base Position, baseValue []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if packed, ok := c.entries[document.Key].byBase[base]; ok && c.entries[document.Key].position == document.Position() {
		return packed, nil
	}
	packed, err := delta.Encode(document.Value, baseValue)
	if err != nil {
		return nil, err
	}
	c.set(document.Key, document.Position(), base, packed)
	return packed, nil
}

// add takes over a packed document from a peer, so that this instance need not pack it for others.
func (c *packCache) add(key string, position, base Position, packed []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(key, position, base, packed)
}

// set stores a packed document, unless the entry is of a later version. The caller holds the lock.
func (c *packCache) set(key string, position, base Position, packed []byte) {
	entry := c.entries[key]
	if entry.position.After(position) {
		return
	}
	if entry.position != position || entry.byBase == nil {
		entry = packedVersions{position: position, byBase: make(map[Position][]byte)}
	}
	entry.byBase[base] = packed
	c.entries[key] = entry
}
