package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

// memoryStore is a mirror.Writer whose changes all instances learn at once.
type memoryStore struct {
	instances []*quarantineFixture
	documents map[string]mirror.Document
	revision  uint64
	calls     int
	away      bool
}

func (s *memoryStore) Grant(context.Context, time.Duration) (mirror.Lease, error) {
	s.calls++
	if s.away {
		return mirror.Lease{}, mirror.ErrUnavailable
	}
	return mirror.Lease{ID: 1}, nil
}

func (s *memoryStore) Renew(context.Context, mirror.Lease) error { return nil }
func (s *memoryStore) End(context.Context, mirror.Lease) error   { return nil }

func (s *memoryStore) Write(_ context.Context, write *mirror.Write) (uint64, error) {
	s.calls++
	if s.away {
		return 0, mirror.ErrUnavailable
	}
	for _, condition := range write.Conditions {
		if s.documents[condition.Key].Revision != condition.Revision {
			return 0, mirror.ErrConflict
		}
	}
	for _, put := range write.Puts {
		s.revision++
		s.documents[put.Key] = mirror.Document{Key: put.Key, Value: put.Value, Revision: s.revision}
		s.tell(s.documents[put.Key], time.Time{})
	}
	for _, key := range write.Deletes {
		s.remove(key, time.Time{})
	}
	return s.revision, nil
}

func (s *memoryStore) tell(document mirror.Document, provisionalUntil time.Time) {
	for _, instance := range s.instances {
		instance.ApplyDocument(document, provisionalUntil)
	}
}

func (s *memoryStore) remove(key string, provisionalUntil time.Time) {
	delete(s.documents, key)
	s.revision++
	s.tell(mirror.Document{Key: key, Revision: s.revision, Deleted: true}, provisionalUntil)
}

// storedFleetSizes are the numbers of instances; fleet_target_test.go has the largest one.
var storedFleetSizes = []int{7, 40}

// storedFleet is some instances with a store.
type storedFleet struct {
	store   *memoryStore
	members []machine.Member
	keepers []*Keeper
}

type storedMembers struct {
	fleet *storedFleet
	index int
}

func (m storedMembers) Self() machine.Member   { return m.fleet.members[m.index] }
func (m storedMembers) Live() []machine.Member { return m.fleet.members }

func newStoredFleet(size int) *storedFleet {
	f := &storedFleet{store: &memoryStore{documents: make(map[string]mirror.Document)}}
	for i := range size {
		f.members = append(f.members, machine.Member{ID: machine.InstanceID(fmt.Sprint("entry-", i))})
	}
	f.restartAll()
	return f
}

// restartAll replaces all instances by new ones, which know what the store has.
func (f *storedFleet) restartAll() {
	f.store.instances, f.keepers = nil, nil
	for i := range f.members {
		instance := newFixture()
		f.store.instances = append(f.store.instances, instance)
		f.keepers = append(f.keepers, NewKeeper(instance.Quarantine, f.store, func() uint64 { return 0 }, storedMembers{f, i}, slog.New(slog.DiscardHandler)))
		for _, key := range slices.Sorted(maps.Keys(f.store.documents)) {
			instance.ApplyDocument(f.store.documents[key], time.Time{})
		}
	}
}

// run lets all keepers work for a time, while each instance hears the first one.
func (f *storedFleet) run(d time.Duration) {
	for n := range d / keeperPeriod {
		first := f.store.instances[0]
		for i, instance := range f.store.instances {
			if i > 0 && n%5 == 0 {
				instance.Receive(f.members[0], first.Message(f.members[i]))
				first.Receive(f.members[i], instance.Message(f.members[0]))
			}
			f.keepers[i].tick(context.Background())
		}
		time.Sleep(keeperPeriod)
	}
}

// crashes ends endpoints one after the other under a part, at the first instance.
func (f *storedFleet) crashes(name string, part uint64, n int) {
	for i := range n {
		endpoint := fmt.Sprint(name, i)
		x := f.store.instances[0].begin(endpoint, part)
		time.Sleep(50 * time.Millisecond)
		f.store.instances[0].crash(endpoint, x)
	}
}

func (f *storedFleet) blocked(part uint64) (blocked int) {
	for _, instance := range f.store.instances {
		if _, is := instance.Blocked("chat", prompt(part)); is {
			blocked++
		}
	}
	return blocked
}

// TestAllInstancesEnd guards against a part that is forgotten when all instances end at once (review/14): they know it as soon as they have read
// the store. If they end before it is blocked, the next crash blocks it.
func TestAllInstancesEnd(t *testing.T) {
	for _, crashesBefore := range []int{minGenerations, minGenerations - 1} {
		t.Run(fmt.Sprintf("%d_crashes", crashesBefore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newStoredFleet(7)
				f.crashes("e", bad, crashesBefore)
				f.run(4 * time.Second)
				c.Check(f.blocked(bad) == 7, qt.Equals, crashesBefore == minGenerations)
				f.restartAll()
				if crashesBefore < minGenerations {
					time.Sleep(objectionTime)
					f.crashes("later", bad, 1)
					f.run(time.Second)
				}
				c.Check(f.blocked(bad), qt.Equals, 7)
			})
		})
	}
}

// TestDeletedDocument checks that an operator releases a part by deleting its document, while documents that the store lost are written again.
func TestDeletedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newStoredFleet(3)
		f.crashes("e", bad, minGenerations)
		f.run(3 * time.Second)
		key := documentKey(newPartRef("chat", prompt(bad)[0]))
		c.Assert(f.store.documents[key].Value, qt.Not(qt.HasLen), 0)
		f.store.remove(key, time.Now().Add(2*time.Second))
		c.Check(f.blocked(bad), qt.Equals, 3)
		f.run(3 * time.Second)
		c.Check(f.store.documents[key].Value, qt.Not(qt.HasLen), 0)
		f.store.remove(key, time.Time{})
		c.Check(f.blocked(bad), qt.Equals, 0)
		f.run(3 * time.Second)
		c.Check(f.blocked(bad), qt.Equals, 0)
		c.Check(f.store.documents, qt.HasLen, 0)
	})
}

// TestAnsweredDocument checks that the document of a part that proves sound is deleted, and that unreadable documents are left out.
func TestAnsweredDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newStoredFleet(3)
		f.store.tell(mirror.Document{Key: documentKey(partRef{key: 7, part: 7}), Value: []byte("{"), Revision: 9}, time.Time{})
		f.store.tell(mirror.Document{Key: DocumentPrefix + "no part", Value: []byte("{}"), Revision: 9}, time.Time{})
		f.crashes("e", rare, minGenerations-1)
		f.run(2 * time.Second)
		c.Check(f.store.documents, qt.HasLen, 1)
		x := f.store.instances[1].begin("alive", rare)
		x.RecordAnswer()
		time.Sleep(2 * settleTime)
		x.End(Closed)
		f.run(3 * time.Second)
		c.Check(f.store.documents, qt.HasLen, 0)
		f.restartAll()
		f.crashes("later", rare, 1)
		c.Check(f.blocked(rare), qt.Equals, 0)
		time.Sleep(time.Second)
	})
}

// TestFleetStoreCalls checks that the calls to the store do not grow with the number of instances, with a flood of suspects and while it is away.
func TestFleetStoreCalls(t *testing.T) {
	for _, size := range storedFleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newStoredFleet(size)
				for n := range 200 {
					f.crashes(fmt.Sprintf("e%d-", n), uint64(1000+n), 2)
				}
				for i := range f.store.instances {
					f.store.instances[i].Receive(f.members[0], f.store.instances[0].Message(f.members[i]))
				}
				f.store.away = true
				f.run(20 * time.Second)
				whileAway := f.store.calls
				f.store.away, f.store.calls = false, 0
				f.run(30 * time.Second)
				c.Logf("%d instances: %d calls in 20 s while the store is away, %d calls for %d documents", size, whileAway, f.store.calls, len(f.store.documents))
				c.Check(whileAway <= 20*maxKeepers, qt.IsTrue)
				c.Check(len(f.store.documents), qt.Equals, maxDocuments)
				c.Check(f.store.calls <= 40, qt.IsTrue)
			})
		})
	}
}
