package mirror

import "time"

// lateAfter is the lag from which a change that takes effect is logged as late.
const lateAfter = time.Second

// Lag returns how long after the first instance this copy has the document; ok is false if that is not known.
func (d Document) Lag() (lag time.Duration, ok bool) {
	return max(time.Since(d.KnownAt), 0), !d.KnownAt.IsZero()
}

// Traffic is what a copy has received, in bytes.
type Traffic struct {
	FromStore int64 // answers of the store, those included that were discarded
	FromPeers int64 // documents, as they were sent
	UnderWay  int64 // of the answer of the store that is arriving now
}

// Traffic returns what the copy has received since the start.
func (m *Mirror) Traffic() Traffic {
	return Traffic{FromStore: m.received.Load(), FromPeers: m.fromPeers.Load(), UnderWay: m.underWay.Load()}
}

// OnLag registers a function that is called with the lag of each batch of changes behind the first instance. It must be called before the
// mirror is used; the function must not block.
func (m *Mirror) OnLag(observe func(time.Duration)) { m.observeLag = observe }

// LastLag returns the lag of the last batch of changes behind the first instance that had them.
func (m *Mirror) LastLag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLag
}

// recordBehind records that another instance has a later position than this copy.
func (m *Mirror) recordBehind(position Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if position.After(m.position) && m.behindSince.IsZero() {
		m.behindSince = time.Now()
	}
}

// recordLag records the lag of changes that take effect, the largest if they differ. Changes that are older than this process do not
// count. The caller holds the lock.
func (m *Mirror) recordLag(changed []Document) {
	var lag time.Duration
	var latest Document
	for _, document := range changed {
		if l, ok := document.Lag(); ok && l >= lag && document.KnownAt.After(m.startedAt) {
			lag, latest = l, document
		}
	}
	if latest.Key == "" {
		return
	}
	m.lastLag = lag
	m.observeLag(lag)
	if lag >= lateAfter {
		m.log.Warn("change in force late", "key", latest.Key, "revision", latest.Revision, "lag_ms", lag.Milliseconds(), "changes", len(changed))
	}
}
