package mirror

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror/mirrorpb"
)

// restore replaces the state by an older copy of documents and begins the next era.
func (s *fakeStore) restore(revision uint64, documents map[string]Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compacted, s.history = revision, revision, nil
	s.documents = make(map[string]Document)
	for key, document := range documents {
		document.Era = s.era
		s.documents[key] = document
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestFleetRestored checks that the instances of a fleet take over what is written to a restored store, also while the watcher that they
// prefer still has the old era and revisions are far below the old ones, and that they call the store rarely.
func TestFleetRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(t, 12)
		time.Sleep(3 * time.Second)
		revision, documents := f.store.revision, maps.Clone(f.store.documents)
		for i := range 40 {
			f.store.put(fmt.Sprintf("lost/%d", i), "x")
		}
		f.store.put("op/config", "2")
		time.Sleep(2 * maxChangeDelay)
		old := f.watchers()[0]
		old.link.set(nil, true)
		calls := f.calls()
		f.store.restore(revision, documents)
		f.store.put("op/config", "3")
		took := f.awaitValue("op/config", "3", 2*maxChangeDelay, old)
		c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
		c.Check(f.calls()-calls <= 4*len(f.instances), qt.IsTrue, qt.Commentf("%d calls", f.calls()-calls))
		other := f.watchers()[1]
		got, err := other.topic.fetch(t.Context(), old.member, 0, time.Second)
		c.Check(err, qt.ErrorIs, errOtherEra)
		c.Check(got.confirmedAt.IsZero(), qt.IsTrue)
		for _, instance := range f.instances {
			if instance != old {
				c.Check(value(instance.mirror, "op/config"), qt.Equals, "3")
				c.Check(value(instance.mirror, "lost/3"), qt.Equals, "none")
				c.Check(instance.mirror.Era(), qt.Equals, uint64(1))
			}
		}
		c.Check(old.topic.catchUp(t.Context(), other.member), qt.IsNil)
		c.Check(value(old.mirror, "op/config"), qt.Equals, "3")
	})
}

// TestPollWithoutEra checks that an instance of the version before, whose polls state no era, is not sent all documents at each poll.
func TestPollWithoutEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		m.replace([]Document{{Key: "a", Revision: 4, Era: 3}}, Position{Era: 3, Revision: 5})
		topic := NewTopic(m, nil, nil)
		for after, documents := range map[uint64]int{0: 1, 5: 0} {
			reply, err := topic.Changes(t.Context(), &mirrorpb.ChangesRequest{After: after, WaitMs: 300})
			c.Assert(err, qt.IsNil)
			c.Check(reply.GetDocuments(), qt.HasLen, documents)
			c.Check(reply.GetEra(), qt.Equals, uint64(3))
		}
	})
}

// TestRestoredTwice checks that what was held back is let go at the end of its time, and that a second restore holds it again.
func TestRestoredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rec := &recorder{}
		m := New(slog.New(slog.DiscardHandler), rec.listen)
		m.SetRestoreHold(func(_, _ Document) time.Duration { return 3 * time.Second })
		m.replace([]Document{{Key: "a", Revision: 4}, {Key: "b", Revision: 9, Value: []byte("new")}}, Position{Revision: 9})
		listed := func() (keys string) {
			m.releaseHeld()
			for _, document := range m.List("") {
				keys += document.Key + string(document.Value) + " "
			}
			return keys
		}
		restore := func(era uint64) {
			m.replace([]Document{{Key: "b", Revision: 2, Era: era, Value: []byte("old")}}, Position{Era: era, Revision: 3})
		}
		restore(1)
		c.Check(listed(), qt.Equals, "a bnew ")
		c.Check(m.steady(), qt.IsFalse)
		time.Sleep(2 * time.Second)
		restore(2)
		m.replace([]Document{{Key: "b", Revision: 9, Value: []byte("new")}}, Position{Era: 1, Revision: 90}) // late
		c.Check(m.Position(), qt.Equals, Position{Era: 2, Revision: 3})
		time.Sleep(2 * time.Second)
		c.Check(listed(), qt.Equals, "bnew ", qt.Commentf("a had no second copy to be missing from"))
		m.apply([]Document{{Key: "b", Revision: 4, Era: 2, Value: []byte("again")}}, Position{Era: 2, Revision: 4})
		c.Check(listed(), qt.Equals, "bagain ")
	})
}

// TestRegisteredAgain checks that an instance registers in a restored store under a lease of the new era, although the id of its old lease
// exists there, and that it stays listed meanwhile.
func TestRegisteredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		copied := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		copied.position = Position{Era: 1, Revision: 1}
		store := &leasedStore{mirror: copied, era: 1, revision: 1, keys: make(map[string]leasedKey), leases: make(map[uint64]time.Time)}
		presence := NewPresence(copied, store, machine.Member{ID: "entry-1", Incarnation: "i1"}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- presence.Run(ctx) }()
		time.Sleep(13 * time.Second)
		store.mu.Lock()
		old := store.keys[MembersPrefix+"entry-1"].lease
		foreign := time.Now().Add(time.Hour)
		store.era, store.revision = 2, 50
		store.keys, store.leases = make(map[string]leasedKey), map[uint64]time.Time{old: foreign}
		store.mu.Unlock()
		copied.replace(nil, Position{Era: 2, Revision: 50})
		for range 100 {
			listed, _ := presence.Instances(ctx)
			c.Assert(listed, qt.HasLen, 1)
			time.Sleep(100 * time.Millisecond)
		}
		store.mu.Lock()
		registered := store.keys[MembersPrefix+"entry-1"].lease
		c.Check(registered != 0 && registered != old, qt.IsTrue)
		c.Check(store.leases[old], qt.Equals, foreign, qt.Commentf("the lease of another holder was renewed"))
		store.mu.Unlock()
		cancel()
		c.Assert(<-ended, qt.IsNil)
	})
}
