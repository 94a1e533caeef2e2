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

// TestTimeToForce bounds the time from acceptance until a change is in force at all of 12 instances
// in three zones, under each fault for 20 changes, and logs it.
func TestTimeToForce(t *testing.T) {
	for _, one := range []struct {
		name  string
		loss  float64
		fault func(f *fleet)
	}{
		{"healthy", 0, func(*fleet) {}},
		{"a third of peers' messages lost", 0.33, func(*fleet) {}},
		{"store slow by 1 s", 0, func(f *fleet) { f.store.Fail(kv.Faults{Delay: time.Second}) }},
		{"all watches silent", 0, func(f *fleet) { f.store.Fail(kv.Faults{SilentWatches: true}) }},
		{"all watches silent, a third lost", 0.33, func(f *fleet) { f.store.Fail(kv.Faults{SilentWatches: true}) }},
		{"watchers of two zones dead but listed", 0, func(f *fleet) { f.crash(f.watching("a").self.ID); f.crash(f.watching("b").self.ID) }},
		{"all watchers dead but listed", 0, func(f *fleet) {
			for _, zone := range []string{"a", "b", "c"} {
				f.crash(f.watching(zone).self.ID)
			}
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t.Context(), one.loss)
				propose(c, f, 0, zonesDocument(1, 1))
				for i := range 12 {
					zone := string(rune('a' + i/4))
					f.add(fmt.Sprint(zone, i%4), zone)
				}
				time.Sleep(inForceWithin)
				one.fault(f)
				times := f.timesToForce(c, 20)
				c.Logf("median %v, longest %v", times[len(times)/2].Round(10*time.Millisecond), times[len(times)-1].Round(10*time.Millisecond))
				c.Assert(times[len(times)-1] <= inForceWithin, qt.IsTrue)
			})
		})
	}
}

// TestLargeFleet is TestTimeToForce at 17 zones of 12 instances, which talk to three others a second
// within their zone and through one relay to each other zone. After the time that apply waits, every
// instance knows that every zone has the change.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), 0)
		f.few = 8
		propose(c, f, 0, zonesDocument(1, 1))
		for i := range 17 * 12 {
			zone := fmt.Sprint("zone", i/12)
			f.add(fmt.Sprintf("%s-%d", zone, i%12), zone)
		}
		time.Sleep(2 * inForceWithin)
		before := f.store.Calls()
		times := f.timesToForce(c, 4)
		after := f.store.Calls()
		time.Sleep(inForceWithin)
		blind := 0
		for _, n := range f.nodes {
			for _, zone := range n.Spread() {
				if zone.Lowest < 5 || zone.Instances != 12 {
					blind++
				}
			}
		}
		c.Logf("longest %v; %d watches and %d reads of 17 zones in about 36 s; %d views of zones behind",
			times[len(times)-1], after[kv.OpWatch]-before[kv.OpWatch], after[kv.OpGet]-before[kv.OpGet], blind)
		c.Assert(times[len(times)-1] <= inForceWithin, qt.IsTrue)
		c.Assert(blind, qt.Equals, 0)
	})
}

func (f *fleet) timesToForce(c *qt.C, changes int) []time.Duration {
	var times []time.Duration
	for i := range changes {
		time.Sleep(7*time.Second + time.Duration(i*777%4_000)*time.Millisecond) // against each phase of the periods
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
