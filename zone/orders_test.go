package zone_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	// outBound is how soon an order is in force at every reachable instance.
	outBound = 3 * time.Second
	// nudgeBound is how soon a nudge reaches all members of a small zone.
	nudgeBound = 300 * time.Millisecond
)

func repeated(value bool, n int) []bool {
	all := make([]bool, n)
	for i := range all {
		all[i] = value
	}
	return all
}

func membersOf(n *node, zoneName string) (members []machine.Member) {
	for _, member := range n.membership.Live() {
		if member.Zone == zoneName {
			members = append(members, member)
		}
	}
	return members
}

// TestZoneOutReachesAll gives an order at one instance while no store exists, with one instance
// paused, and wants it in force at all others within the bound.
func TestZoneOutReachesAll(t *testing.T) {
	for name, size := range map[string]struct{ zones, perZone int }{
		"six instances": {3, 2}, "four zones of twenty": {4, 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, size.zones, size.perZone)
				accept(t, document(t, "z0", "z1", "z2", "z3"), 7, f.nodes...)
				time.Sleep(10 * time.Second)
				paused := f.nodes[1]
				f.network.SetSilent(paused.self.Address, true)
				_, err := f.nodes[len(f.nodes)-1].orders.TakeOut("z0")
				c.Assert(err, qt.IsNil)
				reachable := append([]*node{f.nodes[0]}, f.nodes[2:]...)
				given := time.Now()
				for slices.Contains(inService(reachable, "z0"), true) && time.Since(given) < outBound {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("in force at %d instances after %s", len(reachable), time.Since(given))
				c.Assert(inService(reachable, "z0"), qt.DeepEquals, repeated(false, len(reachable)))
				c.Assert(inService(reachable, "z1"), qt.DeepEquals, repeated(true, len(reachable)))
				f.network.SetSilent(paused.self.Address, false)
				time.Sleep(outBound)
				c.Assert(paused.effective.Current().ZoneInService("z0"), qt.IsFalse)
			})
		})
	}
}

// TestZoneReturn walks an order through a partition and an accepted return: the order given
// before the return never comes back after healing, one given elsewhere meanwhile stays.
func TestZoneReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 3, 2)
		first := document(t, "z0", "z1", "z2")
		accept(t, first, 1, f.nodes...)
		time.Sleep(5 * time.Second)
		order, err := f.nodes[0].orders.TakeOut("z1")
		c.Assert(err, qt.IsNil)
		time.Sleep(outBound)

		// An unrelated edit does not bring the zone back.
		unrelated := *first
		accept(t, &unrelated, 2, f.nodes...)
		c.Assert(inService(f.nodes, "z1"), qt.DeepEquals, repeated(false, 6))

		// z2 is cut off and misses the return.
		cutOff := f.nodes[4:]
		f.network.Cut(func(from, to string) bool { return strings.HasPrefix(from, "z2") != strings.HasPrefix(to, "z2") })
		back := clone(first)
		zone.BringBack(&back, "z1", f.nodes[0].orders.Active())
		accept(t, &back, 3, f.nodes[:4]...)
		later, err := cutOff[0].orders.TakeOut("z0")
		c.Assert(err, qt.IsNil)
		c.Assert(later.ID == order.ID, qt.IsFalse)
		for range 20 {
			time.Sleep(outBound)
			c.Assert(inService(f.nodes[:4], "z1"), qt.DeepEquals, repeated(true, 4))
			c.Assert(inService(f.nodes[:4], "z0"), qt.DeepEquals, repeated(true, 4))
			c.Assert(inService(cutOff, "z1"), qt.DeepEquals, repeated(false, 2))
			c.Assert(inService(cutOff, "z0"), qt.DeepEquals, repeated(false, 2)) // its own order holds within it
			c.Assert(len(membersOf(cutOff[0], "z2")), qt.Equals, 2)              // and it goes on as a zone
		}
		f.network.Cut(nil)
		for i := range 20 {
			time.Sleep(time.Second)
			c.Assert(inService(f.nodes[:4], "z1"), qt.DeepEquals, repeated(true, 4)) // no flip-flop
			if i >= 5 {
				c.Assert(inService(f.nodes, "z0"), qt.DeepEquals, repeated(false, 6))
			}
		}
		accept(t, &back, 3, cutOff...)
		c.Assert(inService(f.nodes, "z1"), qt.DeepEquals, repeated(true, 6))
		c.Assert(f.nodes[0].orders.Active(), qt.DeepEquals, []zone.Order{later})
	})
}

// TestOrdersMerge checks with random exchanges, orders and accepted returns that an order holds
// at every instance that received it until a document lists it, and never again afterwards.
func TestOrdersMerge(t *testing.T) {
	names := []string{"z0", "z1", "z2"}
	base := document(t, names...)
	rapid.Check(t, func(r *rapid.T) {
		const n = 4
		head, revision := *base, contract.Revision(1)
		var nodes []*node
		for range n {
			nodes = append(nodes, bareNode())
		}
		first := head
		accept(t, &first, 1, nodes...)
		given := map[zone.OrderID]zone.Order{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			one := nodes[rapid.IntRange(0, n-1).Draw(r, "node")]
			other := nodes[rapid.IntRange(0, n-1).Draw(r, "other")]
			name := rapid.SampledFrom(names).Draw(r, "zone")
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0:
				order, _ := one.orders.TakeOut(name)
				given[order.ID] = order
			case 4:
				order, _ := one.orders.Withdraw(contract.VersionID{Model: "small", Name: "v1"})
				given[order.ID] = order
			case 5: // the store is back: the orders are written
				head = clone(&head)
				orders := one.orders.Active()
				zone.Settle(&head, orders)
				revision++
				next := head
				accept(t, &next, revision, one)
				for _, order := range orders {
					version := one.source.Current().Versions[order.Version]
					if one.source.Current().ZoneInService(order.Zone) || version != nil && version.State != contract.VersionWithdrawn {
						r.Fatalf("the document lists order %s and does not hold it", order.ID)
					}
				}
			case 1:
				other.orders.Receive(machine.Member{}, one.orders.Message(machine.Member{}))
			case 2: // accepted at the store, seen by one instance first
				head = clone(&head)
				zone.BringBack(&head, name, one.orders.Active())
				revision++
				next := head
				accept(t, &next, revision, one)
			case 3: // the other one catches up
				if one.source.Current().Revision > other.source.Current().Revision {
					other.source.current.Store(one.source.Current())
				}
			}
			for _, node := range nodes {
				snapshot := node.source.Current()
				for _, order := range node.orders.Active() {
					for _, id := range snapshot.Document.Orders.Cleared {
						if string(order.ID) == id {
							r.Fatalf("order %s holds although revision %d cleared it", id, snapshot.Revision)
						}
					}
					if node.effective.Current().ZoneInService(order.Zone) {
						r.Fatalf("zone %s is in service against order %s", order.Zone, order.ID)
					}
					version := node.effective.Current().Versions[order.Version]
					if version != nil && version.State != contract.VersionWithdrawn {
						r.Fatalf("version %s is open against order %s", order.Version, order.ID)
					}
				}
			}
		}
		// Everyone hears everyone at the newest revision: the orders not listed hold everywhere.
		last := head
		accept(t, &last, revision, nodes...)
		for range 2 {
			for _, from := range nodes {
				for _, to := range nodes {
					to.orders.Receive(machine.Member{}, from.orders.Message(machine.Member{}))
				}
			}
		}
		want := map[zone.OrderID]bool{}
		for id := range given {
			want[id] = true
		}
		for _, id := range head.Orders.Cleared {
			delete(want, zone.OrderID(id))
		}
		for _, node := range nodes {
			if got := node.orders.Active(); len(got) != len(want) {
				r.Fatalf("%d orders hold, want %d", len(got), len(want))
			}
		}
	})
}

// clone copies the parts of a document that orders edit.
func clone(document *contract.Document) contract.Document {
	next := *document
	next.Zones = slices.Clone(document.Zones)
	next.Models = slices.Clone(document.Models)
	for i := range next.Models {
		next.Models[i].Versions = slices.Clone(next.Models[i].Versions)
	}
	return next
}

// TestNudgePastSilentPeers spreads an order by a nudge alone, between two periodic rounds, while
// half of the zone's instances have just stopped answering.
func TestNudgePastSilentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 0, 0)
		settings := zone.DefaultSettings()
		settings.ExchangeIntervalMS = 3_600_000
		for i := range 7 {
			id := fmt.Sprintf("entry-%d", i)
			f.list.Set(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindEntry, Zone: "z0", Address: id, State: infra.StateLive})
			f.run(f.assemble(t, "z0", id, id, settings))
		}
		accept(t, document(t, "z0"), 7, f.nodes...)
		time.Sleep(5 * time.Second)
		for _, silent := range f.nodes[:3] {
			f.network.SetSilent(silent.self.Address, true)
		}
		_, err := f.nodes[6].orders.TakeOut("z0")
		c.Assert(err, qt.IsNil)
		time.Sleep(nudgeBound)
		c.Assert(inService(f.nodes[3:], "z0"), qt.DeepEquals, repeated(false, 4))
	})
}
