package zone_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/zone"
)

// withLoads adds loads to all nodes; each zone has the given spare capacity in pool p.
func withLoads(t *testing.T, f *fleet, spareCapacity int) []*zone.Loads {
	var all []*zone.Loads
	for _, n := range f.nodes {
		spare := func() map[string]int { return map[string]int{"p": spareCapacity, "unused": 0} }
		loads := zone.NewLoads(n.membership, n.effective, spare, slog.New(slog.DiscardHandler))
		n.exchange.Add(loads)
		all = append(all, loads)
	}
	return all
}

// spareSeenByZ0 returns the sum of the shares of spare capacity in a zone that the nodes of zone z0 see.
func spareSeenByZ0(f *fleet, all []*zone.Loads, name string) (sum int) {
	for i, n := range f.nodes {
		for _, load := range all[i].OtherZones() {
			if n.self.Zone == "z0" && load.Zone == name {
				sum += load.Spare["p"]
			}
		}
	}
	return sum
}

// TestLoads checks that the shares of all members of a zone add up to about the spare capacity that
// another zone reported, that forwarded requests use up a share, and that a zone out of service or
// without recent reports offers none.
func TestLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 3, 4)
		parsed := document(t, "z0", "z1", "z2")
		parsed.Pools = []contract.Pool{{Name: "p", Kind: contract.PoolService}, {Name: "unused", Kind: contract.PoolService}}
		accept(t, parsed, 1, f.nodes...)
		const reported = 10
		all := withLoads(t, f, reported)
		time.Sleep(12 * time.Second)
		c.Assert(spareSeenByZ0(f, all, "z0"), qt.Equals, 0)
		for range 30 {
			time.Sleep(time.Second)
			got := spareSeenByZ0(f, all, "z1")
			c.Assert(got >= reported-2 && got <= reported+2, qt.IsTrue, qt.Commentf("%d", got)) // remainders rotate
		}
		for i, load := range all[0].OtherZones() {
			for range load.Spare["p"] {
				all[0].RecordForwarded(load.Zone, "p")
			}
			c.Assert(all[0].OtherZones()[i].Spare["p"], qt.Equals, 0)
		}

		_, err := f.nodes[0].orders.TakeZoneOut("z1")
		c.Assert(err, qt.IsNil)
		time.Sleep(orderPropagationLimit)
		c.Assert(spareSeenByZ0(f, all, "z1"), qt.Equals, 0)
		c.Assert(spareSeenByZ0(f, all, "z2") > 0, qt.IsTrue)
		f.network.Partition(func(from, to string) bool { return from[:2] != to[:2] })
		time.Sleep(25 * time.Second)
		c.Assert(all[0].OtherZones(), qt.HasLen, 0)
	})
}

// TestLoadsAreSmoothed checks that a zone whose spare capacity alternates between 0 and 20 from report
// to report is seen with about the mean. Raw values would make the other zones send it too many
// requests after one report and none after the next.
func TestLoadsAreSmoothed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, 1)
		parsed := document(t, "z0", "z1")
		parsed.Pools = []contract.Pool{{Name: "p", Kind: contract.PoolService}}
		accept(t, parsed, 1, f.nodes...)
		var all []*zone.Loads
		for _, n := range f.nodes {
			spareCapacity := 0
			spare := func() map[string]int {
				spareCapacity = 20 - spareCapacity
				return map[string]int{"p": spareCapacity}
			}
			loads := zone.NewLoads(n.membership, n.effective, spare, slog.New(slog.DiscardHandler))
			n.exchange.Add(loads)
			all = append(all, loads)
		}
		time.Sleep(time.Minute)
		for range 60 {
			time.Sleep(time.Second)
			got := spareSeenByZ0(f, all, "z1")
			c.Assert(got >= 5 && got <= 15, qt.IsTrue, qt.Commentf("spare capacity %d, reported alternately 0 and 20", got))
		}
	})
}
