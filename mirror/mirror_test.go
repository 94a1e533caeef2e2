package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/peers"
)

// fakeStore is a store whose history can be compacted and whose calls can fail or stay without an
// answer.
type fakeStore struct {
	mu            sync.Mutex
	era, revision uint64
	documents     map[string]Document
	history       []Document
	compacted     uint64
	down          bool
	silent        bool
	changed       chan struct{}
	pageSize      int
	betweenPages  func() // called once, after the next page
}

func newFakeStore() *fakeStore {
	return &fakeStore{documents: make(map[string]Document), changed: make(chan struct{}), pageSize: 2}
}

func (s *fakeStore) put(key, value string) uint64 {
	return s.change(Document{Key: key, Value: []byte(value)})
}

func (s *fakeStore) remove(key string) uint64 { return s.change(Document{Key: key, Deleted: true}) }

func (s *fakeStore) change(document Document) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	document.Revision, document.Era = s.revision, s.era
	s.documents[document.Key] = document
	s.history = append(s.history, document)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

func (s *fakeStore) set(down, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = down, silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Get(_ context.Context, key string, _ Progress) (Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	document, ok := s.documents[key]
	if s.down || s.silent {
		return Document{}, errors.New("down")
	}
	if !ok || document.Deleted {
		return Document{}, ErrNotFound
	}
	return document, nil
}

func (s *fakeStore) Range(_ context.Context, after string, _ Progress) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silent {
		return Page{}, errors.New("down")
	}
	page := Page{Revision: s.revision, Era: s.era}
	for _, key := range slices.Sorted(maps.Keys(s.documents)) {
		document := s.documents[key]
		if key <= after || document.Deleted {
			continue
		}
		if len(page.Documents) == s.pageSize {
			page.More = true
			break
		}
		page.Documents = append(page.Documents, document)
	}
	if s.betweenPages != nil {
		next := s.betweenPages
		s.betweenPages = nil
		s.mu.Unlock()
		next()
		s.mu.Lock()
	}
	return page, nil
}

func (s *fakeStore) Watch(ctx context.Context, after Position, wait time.Duration, _ Progress) (Changes, error) {
	ends := time.NewTimer(wait)
	defer ends.Stop()
	for {
		s.mu.Lock()
		down, silent, changed := s.down, s.silent, s.changed
		result := Changes{Revision: s.revision}
		for _, document := range s.history {
			if document.Revision > after.Revision {
				result.Documents = append(result.Documents, document)
			}
		}
		compacted := after.Revision < s.compacted || after.Era < s.era
		s.mu.Unlock()
		switch {
		case down:
			return Changes{}, errors.New("down")
		case silent:
			<-ctx.Done()
			return Changes{}, ctx.Err()
		case compacted:
			return Changes{}, ErrCompacted
		case len(result.Documents) > 0:
			return result, nil
		}
		select {
		case <-changed:
		case <-ends.C:
			return result, nil
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		}
	}
}

// recorder is a listener that records its calls.
type recorder struct {
	mu               sync.Mutex
	seen             []Document
	provisionalUntil map[string]time.Time
}

func (r *recorder) listen(changed []Document, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, changed...)
	if r.provisionalUntil == nil {
		r.provisionalUntil = make(map[string]time.Time)
	}
	for _, document := range changed {
		r.provisionalUntil[document.Key] = until
	}
}

func (r *recorder) provisionalFor(key string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.provisionalUntil[key]), 0)
}

// startMirror returns a running mirror of the store and its listener.
func startMirror(t *testing.T, store *fakeStore) (*Mirror, *recorder) {
	rec := &recorder{}
	m := New(slog.New(slog.DiscardHandler), rec.listen)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Follow(ctx, store, func() bool { return true })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m, rec
}

func value(m *Mirror, key string) string {
	document, ok := m.Get(key)
	if !ok {
		return "none"
	}
	return string(document.Value)
}

// TestFollow checks the first read in pages and the watch after it. A change made between two pages
// must not be missed.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		for i := range 5 {
			store.put(fmt.Sprintf("d/%d", i), "first")
		}
		store.betweenPages = func() { store.put("d/0", "second"); store.remove("d/4") }
		m, _ := startMirror(t, store)
		synctest.Wait()
		c.Check(value(m, "d/0"), qt.Equals, "second")
		c.Check(value(m, "d/3"), qt.Equals, "first")
		c.Check(value(m, "d/4"), qt.Equals, "none")
		store.put("d/1", "third")
		time.Sleep(batchDelay)
		synctest.Wait()
		c.Check(value(m, "d/1"), qt.Equals, "third")
		c.Check(m.Revision(), qt.Equals, uint64(8))
	})
}

// TestCompaction guards against missed deletions: the store compacts its history while it can't be
// reached, so that the watch can't continue and the whole state is read again.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		store.put("d/b", "1")
		m, _ := startMirror(t, store)
		synctest.Wait()
		store.set(true, false)
		synctest.Wait()
		store.remove("d/a")
		store.put("d/b", "2")
		store.compact()
		store.set(false, false)
		time.Sleep(time.Second)
		c.Check(value(m, "d/a"), qt.Equals, "none")
		c.Check(value(m, "d/b"), qt.Equals, "2")
	})
}

// TestSilentWatch guards against a mirror that waits forever for a watch without an answer.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		m, _ := startMirror(t, store)
		synctest.Wait()
		store.set(false, true)
		store.put("d/a", "2")
		time.Sleep(watchWait + watchGrace)
		store.set(false, false)
		time.Sleep(time.Second)
		c.Check(value(m, "d/a"), qt.Equals, "2")
	})
}

// TestCutWatch guards against late changes after the store has lost every watch without a sign.
// They must arrive within about three seconds.
func TestCutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		m, _ := startMirror(t, store)
		synctest.Wait()
		store.set(false, true)
		store.put("d/a", "2")
		store.compact()
		synctest.Wait()
		store.mu.Lock()
		store.silent = false // new calls are answered; the waiting one is not
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		c.Check(value(m, "d/a"), qt.Equals, "2")
	})
}

// TestOlderRevisionsIgnored guards against a document or a tombstone being replaced by an older revision, from
// any source.
func TestOlderRevisionsIgnored(t *testing.T) {
	c := qt.New(t)
	m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
	m.apply([]Document{{Key: "k", Value: []byte("5"), Revision: 5}}, Position{Revision: 5})
	m.apply([]Document{{Key: "k", Value: []byte("4"), Revision: 4}}, Position{Revision: 4})
	c.Check(value(m, "k"), qt.Equals, "5")
	m.apply([]Document{{Key: "k", Revision: 6, Deleted: true}}, Position{Revision: 6})
	m.replace([]Document{{Key: "k", Value: []byte("5"), Revision: 5}}, Position{Revision: 5})
	c.Check(value(m, "k"), qt.Equals, "none")
	c.Check(m.Revision(), qt.Equals, uint64(6))
}

// TestProvisionalDeletions checks that a deletion is provisional only around an outage of the store, and not if a
// peer has reached the store throughout.
func TestProvisionalDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		for _, key := range []string{"d/a", "d/b", "d/c", "d/d"} {
			store.put(key, "1")
		}
		m, rec := startMirror(t, store)
		time.Sleep(20 * time.Second)
		store.remove("d/a")
		synctest.Wait()
		c.Check(rec.provisionalFor("d/a"), qt.Equals, time.Duration(0))

		store.set(true, false)
		time.Sleep(3 * time.Second)
		store.set(false, false)
		time.Sleep(time.Second) // the store is reached again within maxBackoff and its jitter
		store.remove("d/b")
		synctest.Wait()
		left := rec.provisionalFor("d/b")
		c.Check(left >= reregisterWindow-time.Second, qt.IsTrue)
		c.Check(left <= reregisterWindow-time.Second+maxBackoff*3/2, qt.IsTrue)

		m.recordPeerSteady()
		store.remove("d/c")
		time.Sleep(batchDelay)
		synctest.Wait()
		c.Check(rec.provisionalFor("d/c"), qt.Equals, time.Duration(0))

		time.Sleep(reregisterWindow)
		store.remove("d/d")
		synctest.Wait()
		c.Check(rec.provisionalFor("d/d"), qt.Equals, time.Duration(0))
	})
}

// TestCatchUp checks that an instance that cannot reach the store is brought up to date by a peer,
// deletions included, also if the peer no longer has the tombstones.
func TestCatchUp(t *testing.T) {
	for variant := range 4 {
		// In one watch or in two, the second of which waits for batchDelay.
		forgotten, separate := variant%2 == 1, variant >= 2
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := peers.New(time.Millisecond)
			store := newFakeStore()
			store.put("d/a", "1")
			store.put("d/b", "1")
			ahead, _ := startMirror(t, store)
			behind := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
			synctest.Wait()
			changes := ahead.changesAfter(Position{})
			behind.apply(changes.documents, changes.position)
			store.remove("d/a")
			if separate {
				synctest.Wait()
			}
			store.put("d/b", "2")
			time.Sleep(2 * batchDelay)
			synctest.Wait()
			if forgotten {
				ahead.pruneTombstones(0)
			}
			source, target := network.Node("source"), network.Node("target")
			sourceTopic := NewTopic(ahead, source, watchersAmong("source"))
			c.Assert(sourceTopic.Register(source), qt.IsNil)
			targetTopic := NewTopic(behind, target, nil)
			peer := machine.Member{ID: "source", Address: "source"}
			targetTopic.Receive(peer, sourceTopic.Message(machine.Member{}))
			c.Assert(targetTopic.catchUp(t.Context(), <-targetTopic.ahead), qt.IsNil)
			c.Check(value(behind, "d/a"), qt.Equals, "none")
			c.Check(value(behind, "d/b"), qt.Equals, "2")
			c.Check(behind.Revision(), qt.Equals, ahead.Revision())
		})
	}
}

// TestOlderStateOfPeer guards against endpoints that come back after they have left, for as long as the process runs: a peer's older state holds a
// document that was deleted before this copy was read.
func TestOlderStateOfPeer(t *testing.T) {
	c := qt.New(t)
	left := Document{Key: "servers/left", Value: []byte("x"), Revision: 5}
	later := Document{Key: "servers/later", Value: []byte("x"), Revision: 11}
	for name, receive := range map[string]func(m *Mirror){
		"full copy": func(m *Mirror) { m.replace([]Document{left, later}, Position{Revision: 7}) },
		"changes":   func(m *Mirror) { m.apply([]Document{left, later}, Position{Revision: 7}) },
	} {
		var heard []Document
		m := New(slog.New(slog.DiscardHandler), func(changed []Document, _ time.Time) { heard = append(heard, changed...) })
		m.replace([]Document{{Key: "servers/a", Value: []byte("x"), Revision: 3}}, Position{Revision: 10})
		receive(m)
		_, found := m.Get(left.Key)
		c.Check(found, qt.IsFalse, qt.Commentf(name))
		_, found = m.Get(later.Key)
		c.Check(found, qt.IsTrue, qt.Commentf(name))
		c.Check(heard, qt.HasLen, 2, qt.Commentf(name))
	}
}
