package canary

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/mirror"
)

// copy returns the documents that exist.
func (s *fakeStore) copy() (uint64, map[string]mirror.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, maps.Clone(s.documents)
}

// restore replaces the state by an older copy, without leases, and begins the next era. The instances read it as their mirrors do: orders
// that are missing are kept, since operators write them again.
func (s *fakeStore) restore(revision uint64, documents map[string]mirror.Document, order Order, instances []*instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	lost := s.documents
	s.revision, s.documents = revision, make(map[string]mirror.Document)
	clear(s.leases)
	clear(s.leaseOf)
	for key, document := range documents {
		if key == DriverKey {
			document.Deleted = true
		}
		document.Era = s.era
		s.documents[key] = document
	}
	for key := range lost {
		if _, exists := s.documents[key]; !exists {
			s.documents[key] = mirror.Document{Key: key, Era: s.era, Revision: revision, Deleted: true}
		}
	}
	for _, document := range s.documents {
		for _, i := range instances {
			i.onDocument(document)
		}
	}
	if kept := s.documents["order/app"]; !kept.Deleted {
		order.Era = s.era
		for _, i := range instances {
			i.rollouts.Apply(order)
		}
	}
}

// orderAgain commits an order again after a restore, under another revision.
func (s *fakeStore) orderAgain(order Order, instances []*instance) Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(mirror.Document{Key: "order/app"})
	order.Revision, order.Era = s.revision, s.era
	for _, i := range instances {
		i.rollouts.Apply(order)
	}
	return order
}

// targetSessions returns which of 200 sessions use the new version.
func targetSessions(rollouts *Rollouts) map[int]bool {
	on := make(map[int]bool)
	for i := range 200 {
		if rollouts.Choose("app", fmt.Sprint(i), "request", false).RequiredVersion == "v2" {
			on[i] = true
		}
	}
	return on
}

// TestRolloutRestored checks a roll-out whose store comes back from a copy of another age. Its status must not go back for longer than it
// takes to write it again, and every session keeps its version, also at an instance that starts afterwards.
func TestRolloutRestored(t *testing.T) {
	const never = 10 * duration
	for name, row := range map[string]struct {
		copied, restored time.Duration // ages of the roll-out; copied 0: before the order
		again            time.Duration // when the order is written again, after the restore
		bad              bool
		status           string
	}{
		"completed, copy before the order":        {0, 20 * time.Second, 800 * time.Millisecond, false, "completed"},
		"completed, copy in the canary stage":     {12 * time.Second, 20 * time.Second, never, false, "completed"},
		"completed, copy at the full share":       {18200 * time.Millisecond, 20 * time.Second, never, false, "completed"},
		"completed, copy of the end":              {20 * time.Second, 21 * time.Second, never, false, "completed"},
		"running, copy before the order":          {0, 12 * time.Second, 800 * time.Millisecond, false, "running"},
		"running, copy before the stage":          {3 * time.Second, 12 * time.Second, never, false, "running"},
		"reverted, copy before the order":         {0, 13 * time.Second, 800 * time.Millisecond, true, "reverted"},
		"reverted, copy in the canary stage":      {10600 * time.Millisecond, 13 * time.Second, never, true, "reverted"},
		"reverted, order written again unchanged": {10600 * time.Millisecond, 13 * time.Second, 800 * time.Millisecond, true, "reverted"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := newFakeStore()
				store.era = 1
				instances := []*instance{store.addInstance("a"), store.addInstance("b")}
				revision, documents := store.copy()
				time.Sleep(time.Second)
				store.mu.Lock()
				store.commit(mirror.Document{Key: "order/app"})
				order := Order{Service: "app", Target: "v2", Duration: duration, Revision: store.revision, Era: 1}
				store.mu.Unlock()
				for _, inst := range instances {
					inst.rollouts.Apply(order)
				}
				run(t, store, row.copied, instances, nil)
				if row.copied > 0 {
					revision, documents = store.copy()
				}
				run(t, store, 11*time.Second-row.copied, instances, nil)
				if row.bad {
					for i := range 3 * minFailures {
						instances[0].rollouts.Observe("app", "v2", Attempt{Failed: i%2 == 0, FirstByte: 50 * time.Millisecond})
						instances[0].rollouts.Observe("app", "v1", Attempt{FirstByte: 50 * time.Millisecond})
					}
				}
				run(t, store, row.restored-max(row.copied, 11*time.Second), instances, nil)
				c.Assert(store.status(), qt.Equals, row.status)
				before := targetSessions(instances[1].rollouts)
				for i := range 30 {
					store.mu.Lock()
					store.commit(mirror.Document{Key: string(rune('a' + i))})
					store.mu.Unlock()
				}

				store.restore(revision, documents, order, instances)
				check := func() {
					for _, inst := range instances {
						now := targetSessions(inst.rollouts)
						for session := range before {
							c.Assert(now[session], qt.IsTrue, qt.Commentf("session %d goes back", session))
						}
					}
					c.Check(instances[0].driver.leaseRevision != 0 && instances[1].driver.leaseRevision != 0, qt.IsFalse)
				}
				run(t, store, min(row.again, 800*time.Millisecond), instances, check)
				if row.again < never {
					store.orderAgain(order, instances)
				}
				run(t, store, 3*time.Second, instances, check)
				c.Check(store.status(), qt.Equals, row.status)
				order = instances[0].rollouts.byService["app"].order
				late := store.addInstance("c")
				late.rollouts.Apply(order)
				c.Check(mayUse(late.rollouts, "v2"), qt.Equals, !row.bad && len(before) > 0)
				c.Check(targetSessions(late.rollouts), qt.DeepEquals, targetSessions(instances[0].rollouts))
				if !row.bad {
					run(t, store, duration, instances, check)
					c.Check(store.status(), qt.Equals, "completed")
				}
			})
		})
	}
}

// TestRevertedListRestored checks that a reverted version stays excluded at instances that start after the store lost it, with no order
// that would state it.
func TestRevertedListRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		instances := []*instance{store.addInstance("a")}
		revision, documents := store.copy()
		runBad(t, store, "v2", instances)
		instances[0].rollouts.RemoveOrder("app")
		store.restore(revision, documents, Order{}, instances)
		run(t, store, 3*time.Second, instances, nil)
		c.Check(mayUse(instances[0].rollouts, "v2"), qt.IsFalse)
		c.Check(mayUse(store.addInstance("b").rollouts, "v2"), qt.IsFalse)
	})
}
