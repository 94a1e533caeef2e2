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

// fakeStore is a store whose history can be dropped and whose calls can fail or vanish.
type fakeStore struct {
	mu        sync.Mutex
	revision  uint64
	documents map[string]Document
	history   []Document
	compacted uint64
	down      bool
	silent    bool
	changed   chan struct{}
	pageSize  int
	beforeRow func() // called between pages
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
	document.Revision = s.revision
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

func (s *fakeStore) Range(_ context.Context, after string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silent {
		return Page{}, errors.New("down")
	}
	page := Page{Revision: s.revision}
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
	if s.beforeRow != nil {
		next := s.beforeRow
		s.beforeRow = nil
		s.mu.Unlock()
		next()
		s.mu.Lock()
	}
	return page, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	ends := time.NewTimer(wait)
	defer ends.Stop()
	for {
		s.mu.Lock()
		down, silent, changed := s.down, s.silent, s.changed
		result := Changes{Revision: s.revision}
		for _, document := range s.history {
			if document.Revision > after {
				result.Documents = append(result.Documents, document)
			}
		}
		compacted := after < s.compacted
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

// recorder is a listener that keeps what it was told.
type recorder struct {
	mu    sync.Mutex
	seen  []Document
	until map[string]time.Time
}

func (r *recorder) listen(changed []Document, lapseEnds time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, changed...)
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	for _, document := range changed {
		r.until[document.Key] = lapseEnds
	}
}

func (r *recorder) lapse(key string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.until[key]), 0)
}

// follow starts a mirror of the store.
func follow(t *testing.T, store *fakeStore) (*Mirror, *recorder) {
	told := &recorder{}
	m := New(slog.New(slog.DiscardHandler), told.listen)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Follow(ctx, store)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m, told
}

func value(m *Mirror, key string) string {
	document, ok := m.Get(key)
	if !ok {
		return "none"
	}
	return string(document.Value)
}

// TestFollow reads pages and then changes, also one that was made while the pages were read.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		for i := range 5 {
			store.put(fmt.Sprintf("d/%d", i), "first")
		}
		store.beforeRow = func() { store.put("d/0", "second"); store.remove("d/4") }
		m, _ := follow(t, store)
		synctest.Wait()
		c.Check(value(m, "d/0"), qt.Equals, "second")
		c.Check(value(m, "d/3"), qt.Equals, "first")
		c.Check(value(m, "d/4"), qt.Equals, "none")
		store.put("d/1", "third")
		time.Sleep(gatherPause)
		synctest.Wait()
		c.Check(value(m, "d/1"), qt.Equals, "third")
		c.Check(m.Revision(), qt.Equals, uint64(8))
	})
}

// TestCompaction reads everything again and notices what was deleted in the gap.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		store.put("d/b", "1")
		m, _ := follow(t, store)
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

// TestSilentWatch goes on after a watch that never ends.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		m, _ := follow(t, store)
		synctest.Wait()
		store.set(false, true)
		store.put("d/a", "2")
		time.Sleep(watchWait + watchSlack)
		store.set(false, false)
		time.Sleep(time.Second)
		c.Check(value(m, "d/a"), qt.Equals, "2")
	})
}

// TestCutWatch hears of changes about three seconds after every watch was cut without a sign.
func TestCutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		store.put("d/a", "1")
		m, _ := follow(t, store)
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

// TestNeverBack drops older revisions, wherever they come from, deletions included.
func TestNeverBack(t *testing.T) {
	c := qt.New(t)
	m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
	m.apply([]Document{{Key: "k", Value: []byte("5"), Revision: 5}}, 5)
	m.apply([]Document{{Key: "k", Value: []byte("4"), Revision: 4}}, 4)
	c.Check(value(m, "k"), qt.Equals, "5")
	m.apply([]Document{{Key: "k", Revision: 6, Deleted: true}}, 6)
	m.replace([]Document{{Key: "k", Value: []byte("5"), Revision: 5}}, 5)
	c.Check(value(m, "k"), qt.Equals, "none")
	c.Check(m.Revision(), qt.Equals, uint64(6))
}

// TestLapse doubts a deletion only around an outage of the store, and not where a peer has heard the
// store all the time.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		for _, key := range []string{"d/a", "d/b", "d/c", "d/d"} {
			store.put(key, "1")
		}
		m, told := follow(t, store)
		time.Sleep(20 * time.Second)
		store.remove("d/a")
		synctest.Wait()
		c.Check(told.lapse("d/a"), qt.Equals, time.Duration(0))

		store.set(true, false)
		time.Sleep(3 * time.Second)
		store.set(false, false)
		time.Sleep(time.Second) // the store is heard again within the longest pause and its jitter
		store.remove("d/b")
		synctest.Wait()
		left := told.lapse("d/b")
		c.Check(left >= lapseWindow-time.Second, qt.IsTrue)
		c.Check(left <= lapseWindow-time.Second+longestPause*3/2, qt.IsTrue)

		m.peerSteady()
		store.remove("d/c")
		time.Sleep(gatherPause)
		synctest.Wait()
		c.Check(told.lapse("d/c"), qt.Equals, time.Duration(0))

		time.Sleep(lapseWindow)
		store.remove("d/d")
		synctest.Wait()
		c.Check(told.lapse("d/d"), qt.Equals, time.Duration(0))
	})
}

// TestCatchUp brings an instance that cannot hear the store up to date from a peer, deletions included,
// also where the peer does not remember them.
func TestCatchUp(t *testing.T) {
	for _, forgotten := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			network := peers.New(time.Millisecond)
			store := newFakeStore()
			store.put("d/a", "1")
			store.put("d/b", "1")
			ahead, _ := follow(t, store)
			behind := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
			synctest.Wait()
			documents, revision, _ := ahead.changes(0)
			behind.apply(documents, revision)
			store.remove("d/a")
			store.put("d/b", "2")
			synctest.Wait()
			if forgotten {
				ahead.sweep(0)
			}
			source, target := network.Node("source"), network.Node("target")
			far := NewTopic(ahead, source)
			c.Assert(far.Register(source), qt.IsNil)
			near := NewTopic(behind, target)
			peer := machine.Member{ID: "source", Address: "source"}
			near.Receive(peer, far.Message(machine.Member{}))
			c.Assert(near.catchUp(t.Context(), <-near.behind), qt.IsNil)
			c.Check(value(behind, "d/a"), qt.Equals, "none")
			c.Check(value(behind, "d/b"), qt.Equals, "2")
			c.Check(behind.Revision(), qt.Equals, ahead.Revision())
		})
	}
}
