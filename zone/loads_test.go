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

// withLoads adds loads to all nodes; each zone has the given room in pool p.
func withLoads(t *testing.T, f *fleet, room int) []*zone.Loads {
	var all []*zone.Loads
	for _, n := range f.nodes {
		spare := func() map[string]int { return map[string]int{"p": room, "unused": 0} }
		loads := zone.NewLoads(n.membership, n.effective, spare, slog.New(slog.DiscardHandler))
		n.exchange.Add(loads)
		all = append(all, loads)
	}
	return all
}

// roomIn sums what the nodes of zone z0 believe they may send to another zone.
func roomIn(f *fleet, all []*zone.Loads, name string) (sum int) {
	for i, n := range f.nodes {
		for _, load := range all[i].Zones() {
			if n.self.Zone == "z0" && load.Zone == name {
				sum += load.Spare["p"]
			}
		}
	}
	return sum
}

// TestLoads lets three zones report their room: the members of one zone together never take more
// than another one reported, a zone out of service offers none, and one that is cut off is
// forgotten.
func TestLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 3, 4)
		parsed := document(t, "z0", "z1", "z2")
		parsed.Pools = []contract.Pool{{Name: "p", Kind: contract.PoolService}, {Name: "unused", Kind: contract.PoolService}}
		accept(t, parsed, 1, f.nodes...)
		const room = 10
		all := withLoads(t, f, room)
		time.Sleep(12 * time.Second)
		c.Assert(roomIn(f, all, "z0"), qt.Equals, 0)
		for range 30 {
			time.Sleep(time.Second)
			got := roomIn(f, all, "z1")
			c.Assert(got >= room-2 && got <= room+2, qt.IsTrue, qt.Commentf("%d", got)) // remainders rotate
		}
		for i, load := range all[0].Zones() {
			for range load.Spare["p"] {
				all[0].Forwarded(load.Zone, "p")
			}
			c.Assert(all[0].Zones()[i].Spare["p"], qt.Equals, 0)
		}

		_, err := f.nodes[0].orders.TakeOut("z1")
		c.Assert(err, qt.IsNil)
		time.Sleep(outBound)
		c.Assert(roomIn(f, all, "z1"), qt.Equals, 0)
		c.Assert(roomIn(f, all, "z2") > 0, qt.IsTrue)
		f.network.Cut(func(from, to string) bool { return from[:2] != to[:2] })
		time.Sleep(25 * time.Second)
		c.Assert(all[0].Zones(), qt.HasLen, 0)
	})
}

// TestLoadsAreSmoothed: a zone whose room jumps between nothing and plenty from report to report is
// neither flooded nor left alone by the others.
func TestLoadsAreSmoothed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 2, 1)
		parsed := document(t, "z0", "z1")
		parsed.Pools = []contract.Pool{{Name: "p", Kind: contract.PoolService}}
		accept(t, parsed, 1, f.nodes...)
		var all []*zone.Loads
		for _, n := range f.nodes {
			room := 0
			spare := func() map[string]int {
				room = 20 - room
				return map[string]int{"p": room}
			}
			loads := zone.NewLoads(n.membership, n.effective, spare, slog.New(slog.DiscardHandler))
			n.exchange.Add(loads)
			all = append(all, loads)
		}
		time.Sleep(time.Minute)
		for range 60 {
			time.Sleep(time.Second)
			got := roomIn(f, all, "z1")
			c.Assert(got >= 5 && got <= 15, qt.IsTrue, qt.Commentf("room %d of 0 and 20 in turn", got))
		}
	})
}
