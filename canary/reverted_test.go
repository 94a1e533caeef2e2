package canary

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/mirror"
)

// orderVersion commits an order for a version and applies it at the instances.
func (s *fakeStore) orderVersion(version string, instances ...*instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(mirror.Document{Key: "order/app"})
	s.orderOf(version, instances...)
}

// runBad plays a roll-out of a version that fails half of its requests until the instances have taken it out of service, and some
// time more.
func runBad(t *testing.T, store *fakeStore, version string, instances []*instance) {
	store.orderVersion(version, instances...)
	run(t, store, duration/2+time.Second, instances, nil)
	for _, inst := range instances {
		for i := range 3 * minFailures {
			inst.rollouts.Observe("app", version, Attempt{Failed: i%2 == 0, FirstByte: 50 * time.Millisecond})
			inst.rollouts.Observe("app", "v1", Attempt{FirstByte: 50 * time.Millisecond})
		}
	}
	run(t, store, time.Second, instances, nil)
}

// mayUse reports whether any of 200 requests may use the version.
func mayUse(rollouts *Rollouts, version string) bool {
	for n := range 200 {
		choice := rollouts.Choose("app", fmt.Sprint(n), fmt.Sprint(n), false)
		if (choice.RequiredVersion == "" || choice.RequiredVersion == version) && !slices.Contains(choice.ExcludedVersions, version) {
			return true
		}
	}
	return false
}

// TestRevertedVersionStaysExcluded guards against requests to a version that was reverted, whose endpoints are still in discovery:
// through the next orders, also ones that replace each other, without an order, and after a restart of all instances.
func TestRevertedVersionStaysExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		instances := []*instance{store.addInstance("a"), store.addInstance("b")}
		check := func(at string, version string, usable bool) {
			c.Helper()
			for _, inst := range instances {
				c.Check(mayUse(inst.rollouts, version), qt.Equals, usable, qt.Commentf("%s: %s", at, version))
			}
		}
		runBad(t, store, "v2", instances)
		c.Assert(store.status(), qt.Equals, "reverted")
		check("after v2", "v2", false)
		check("after v2", "v1", true)
		store.orderVersion("v3", instances...)
		check("next order", "v2", false)
		run(t, store, time.Second, instances, nil)
		runBad(t, store, "v4", instances) // replaces the order of v3
		c.Assert(store.status(), qt.Equals, "reverted")
		check("after v4", "v2", false)
		check("after v4", "v4", false)

		// All instances start again, with nothing but the documents.
		store.instances, store.members = nil, nil
		instances = []*instance{store.addInstance("c"), store.addInstance("d")}
		check("no order known", "v2", false)
		check("no order known", "v4", false)
		check("no order known", "v1", true)
		store.orderVersion("v5", instances...)
		check("after a restart", "v2", false)
		check("after a restart", "v4", false)
		for _, inst := range instances {
			inst.rollouts.RemoveOrder("app")
		}
		check("order removed", "v2", false)

		// An order names a reverted version again: it may be used, and is the old version of the next order.
		store.orderVersion("v2", instances...)
		run(t, store, 2*duration, instances, func() {
			for _, inst := range instances {
				inst.rollouts.Observe("app", "v2", Attempt{FirstByte: 50 * time.Millisecond})
				inst.rollouts.Observe("app", "v1", Attempt{FirstByte: 50 * time.Millisecond})
			}
		})
		c.Assert(store.status(), qt.Equals, "completed")
		check("completed", "v2", true)
		instances = append(instances, store.addInstance("e"))
		store.orderVersion("v6", instances...)
		check("old version of the next order", "v2", true)
		check("old version of the next order", "v4", false)
		check("old version of the next order", "v6", false)
	})
}

// TestRejectedBeforeNextOrder checks a version that this instance has rejected, while the store is down, when the next order arrives.
func TestRejectedBeforeNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		instances := []*instance{store.addInstance("a")}
		store.orderVersion("v2", instances...)
		run(t, store, duration/2+time.Second, instances, nil)
		store.down = true
		inst := instances[0]
		for i := range 3 * minFailures {
			inst.rollouts.Observe("app", "v2", Attempt{Failed: i%2 == 0, FirstByte: 50 * time.Millisecond})
			inst.rollouts.Observe("app", "v1", Attempt{FirstByte: 50 * time.Millisecond})
		}
		run(t, store, time.Second, instances, nil)
		c.Check(mayUse(inst.rollouts, "v2"), qt.IsFalse)
		store.down = false
		store.orderVersion("v3", instances...)
		c.Check(mayUse(inst.rollouts, "v2"), qt.IsFalse)
	})
}

// TestRevertedBounds checks that a malformed document is ignored and that the versions kept are bounded.
func TestRevertedBounds(t *testing.T) {
	c := qt.New(t)
	inst := newFakeStore().addInstance("a")
	for _, value := range []string{"", "[", `{"versions":5}`, "null", `{"versions":["v1"]}`} {
		inst.rollouts.ApplyReverted(mirror.Document{Key: RevertedPrefix + "app", Value: []byte(value)})
	}
	c.Check(inst.rollouts.Choose("app", "s", "r", false).ExcludedVersions, qt.DeepEquals, []string{"v1"})
	for n := range 3 * maxReverted {
		inst.rollouts.ApplyReverted(mirror.Document{Key: RevertedPrefix + "app", Value: fmt.Appendf(nil, `{"versions":["w%d"]}`, n)})
	}
	c.Check(inst.rollouts.Choose("app", "s", "r", false).ExcludedVersions, qt.HasLen, maxReverted)
}

// TestOrderReplacesAnother guards against sessions that change their version when an order replaces one that is in progress, or has
// completed while the endpoints of the version before are still in discovery: those that use the first order's target keep to it until
// the second order's target gets their requests, the others keep to the old version.
func TestOrderReplacesAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, stage := range []Stage{{State: Running, Share: 0.1}, {State: Running, Share: stressShare}, {State: Running, Share: 1}, {State: Completed, Share: 1}} {
			store := newFakeStore()
			inst := store.addInstance("a")
			store.orderVersion("v2", inst)
			inst.rollouts.ApplyStage(mirror.Document{
				Key: StagePrefix + "app", Value: fmt.Appendf(nil, `{"order":%d,"state":%q,"share":%g}`, store.revision, stage.State, stage.Share), Revision: 1,
			})
			onTarget := make(map[int]bool)
			for n := range 500 {
				session := fmt.Sprint(n)
				onTarget[n] = inst.rollouts.Choose("app", session, "r", false).RequiredVersion == "v2"
			}
			store.orderVersion("v3", inst)
			store.orderVersion("v4", inst) // v3 had no share
			for n, on := range onTarget {
				choice := inst.rollouts.Choose("app", fmt.Sprint(n), "r", false)
				c.Check(choice.RequiredVersion == "v2", qt.Equals, on)
				c.Check(slices.Contains(choice.ExcludedVersions, "v2"), qt.Equals, !on)
				c.Check(slices.Contains(choice.ExcludedVersions, "v4"), qt.IsTrue)
			}
		}
	})
}

// TestRejectedWhileCompleted guards against requests that may use any version after the next order: the version before it was completed while the
// evidence of an instance rejected it.
func TestRejectedWhileCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := newFakeStore()
		instances := []*instance{store.addInstance("a")}
		store.orderVersion("v2", instances...)
		run(t, store, duration, instances, nil)
		c.Assert(store.status(), qt.Equals, "completed")
		instances[0].rollouts.byService["app"].rejected = true
		store.orderVersion("v3", instances...)
		c.Check(instances[0].rollouts.Choose("app", "s", "r", false).RequiredVersion, qt.Equals, "v2")
	})
}
