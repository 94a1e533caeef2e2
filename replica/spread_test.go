package replica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// TestTimeToForce bounds and logs the time from the acceptance of a change until it is in force at
// all of 12 instances in three zones, for 20 changes under each fault.
func TestTimeToForce(t *testing.T) {
	for _, tc := range []struct {
		name  string
		loss  float64
		fault func(f *fleet)
	}{
		{"healthy", 0, func(*fleet) {}},
		{"a third of peers' messages lost", 0.33, func(*fleet) {}},
		{"store slow by 1 s", 0, func(f *fleet) { f.store.SetFaults(kv.Faults{Delay: time.Second}) }},
		{"all watches silent", 0, func(f *fleet) { f.store.SetFaults(kv.Faults{SilentWatches: true}) }},
		{"all watches silent, a third lost", 0.33, func(f *fleet) { f.store.SetFaults(kv.Faults{SilentWatches: true}) }},
		{"watchers of two zones dead but listed", 0, func(f *fleet) { f.crash(f.watcherOf("a").self.ID); f.crash(f.watcherOf("b").self.ID) }},
		{"all watchers dead but listed", 0, func(f *fleet) {
			for _, zone := range []string{"a", "b", "c"} {
				f.crash(f.watcherOf(zone).self.ID)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t.Context(), tc.loss)
				propose(c, f, 0, zonesDocument(1, 1))
				for i := range 12 {
					zone := string(rune('a' + i/4))
					f.add(fmt.Sprint(zone, i%4), zone)
				}
				time.Sleep(propagationLimit)
				tc.fault(f)
				times := f.propagationTimes(c, 20)
				c.Logf("median %v, longest %v", times[len(times)/2].Round(10*time.Millisecond), times[len(times)-1].Round(10*time.Millisecond))
				c.Assert(times[len(times)-1] <= propagationLimit, qt.IsTrue)
			})
		})
	}
}

// TestLargeFleet is TestTimeToForce with 17 zones of 12 instances. Each instance sends to three
// others of its zone a second, and each zone to every other through one relay. Within the time that
// apply waits, every instance must learn that every zone has the change.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), 0)
		f.fullMeshSize = 8
		propose(c, f, 0, zonesDocument(1, 1))
		for i := range 17 * 12 {
			zone := fmt.Sprint("zone", i/12)
			f.add(fmt.Sprintf("%s-%d", zone, i%12), zone)
		}
		time.Sleep(2 * propagationLimit)
		before := f.store.Calls()
		times := f.propagationTimes(c, 4)
		after := f.store.Calls()
		time.Sleep(propagationLimit)
		stale := 0
		for _, n := range f.nodes {
			for _, zone := range n.Spread() {
				if zone.Lowest < 5 || zone.Instances != 12 {
					stale++
				}
			}
		}
		c.Logf("longest %v; %d watches and %d reads of 17 zones in about 36 s; %d views of zones behind",
			times[len(times)-1], after[kv.OpWatch]-before[kv.OpWatch], after[kv.OpGet]-before[kv.OpGet], stale)
		c.Assert(times[len(times)-1] <= propagationLimit, qt.IsTrue)
		c.Assert(stale, qt.Equals, 0)
	})
}

// TestLargeDocumentsOnSlowLinks guards the own interface against the cause of incident 0040: 60 instances with links of 10 Mbit/s, a large
// document, and a series of versions, each of which replaces most of it.
func TestLargeDocumentsOnSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), 0)
		f.linkMbps = 10
		propose(c, f, 0, randomDocument(0))
		for i := range 60 {
			zone := fmt.Sprint("zone", i%3)
			f.add(fmt.Sprintf("%s-%d", zone, i), zone)
		}
		time.Sleep(2 * propagationLimit)
		var revision contract.Revision
		for version := 1; version <= 5; version++ {
			revision = propose(c, f, contract.Revision(version), randomDocument(version))
			time.Sleep(time.Second)
		}
		accepted := time.Now()
		for len(f.lagging(revision)) > 0 && time.Since(accepted) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		took := time.Since(accepted)
		f.locked(func() {
			c.Logf("%d bytes, packed %d: %d s after the last of 5 versions in force everywhere; %d deltas, %d whole documents from peers",
				len(randomDocument(5)), len(pack(randomDocument(5))), int(took.Seconds()), f.deltas, f.fullDocuments)
		})
		c.Check(took <= propagationLimit, qt.IsTrue, qt.Commentf("%v", took))
	})
}

// randomDocument returns a document whose customers have other keys in each version, so that it is several hundred KB and a version hardly compresses
// against another.
func randomDocument(version int) []byte {
	document := zonesDocument(1, version+1)
	for i := range 5_000 {
		document = fmt.Appendf(document, "[[customers]]\nname = \"c%d\"\nkey_hashes = [%q]\n", i, contract.HashKey(fmt.Sprint(version, i)))
	}
	return document
}

// propagationTimes makes changes and returns the sorted times until each is in force at all
// instances.
func (f *fleet) propagationTimes(c *qt.C, changes int) []time.Duration {
	var times []time.Duration
	for i := range changes {
		time.Sleep(7*time.Second + time.Duration(i*777%4_000)*time.Millisecond) // so that changes meet the periodic calls in different phases
		revision := propose(c, f, contract.Revision(i+1), zonesDocument(1, 2+i))
		accepted := time.Now()
		for len(f.lagging(revision)) > 0 && time.Since(accepted) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	return times
}
