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
	// orderPropagationLimit bounds the time until an order is in effect at every reachable instance.
	orderPropagationLimit = 3 * time.Second
	// triggeredPropagationLimit bounds the time until a triggered round reaches all members of a small
	// zone.
	triggeredPropagationLimit = 300 * time.Millisecond
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

// TestZoneOutReachesAll checks that an order issued at one instance is in effect at all reachable
// instances within orderPropagationLimit, without a store and with one instance unreachable, and that
// this instance gets the order once it is reachable again.
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
				_, err := f.nodes[len(f.nodes)-1].orders.TakeZoneOut("z0")
				c.Assert(err, qt.IsNil)
				reachable := append([]*node{f.nodes[0]}, f.nodes[2:]...)
				issued := time.Now()
				for slices.Contains(inService(reachable, "z0"), true) && time.Since(issued) < orderPropagationLimit {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("in effect at %d instances after %s", len(reachable), time.Since(issued))
				c.Assert(inService(reachable, "z0"), qt.DeepEquals, repeated(false, len(reachable)))
				c.Assert(inService(reachable, "z1"), qt.DeepEquals, repeated(true, len(reachable)))
				f.network.SetSilent(paused.self.Address, false)
				time.Sleep(orderPropagationLimit)
				c.Assert(paused.effective.Current().ZoneInService("z0"), qt.IsFalse)
			})
		})
	}
}

// TestZoneReturn brings a zone back into service while another zone is partitioned. After the
// partition heals, the settled order must not take effect again through the instances that still
// hold it, and an order issued within the partition must remain in effect.
func TestZoneReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 3, 2)
		first := document(t, "z0", "z1", "z2")
		accept(t, first, 1, f.nodes...)
		time.Sleep(5 * time.Second)
		order, err := f.nodes[0].orders.TakeZoneOut("z1")
		c.Assert(err, qt.IsNil)
		time.Sleep(orderPropagationLimit)

		// An unrelated revision does not settle the order.
		unrelated := *first
		accept(t, &unrelated, 2, f.nodes...)
		c.Assert(inService(f.nodes, "z1"), qt.DeepEquals, repeated(false, 6))

		// z2 is partitioned and does not get the document that settles the order.
		cutOff := f.nodes[4:]
		f.network.Partition(func(from, to string) bool { return strings.HasPrefix(from, "z2") != strings.HasPrefix(to, "z2") })
		back := clone(first)
		zone.ReturnZone(&back, "z1", f.nodes[0].orders.Active())
		accept(t, &back, 3, f.nodes[:4]...)
		later, err := cutOff[0].orders.TakeZoneOut("z0")
		c.Assert(err, qt.IsNil)
		c.Assert(later.ID == order.ID, qt.IsFalse)
		for range 20 {
			time.Sleep(orderPropagationLimit)
			c.Assert(inService(f.nodes[:4], "z1"), qt.DeepEquals, repeated(true, 4))
			c.Assert(inService(f.nodes[:4], "z0"), qt.DeepEquals, repeated(true, 4))
			c.Assert(inService(cutOff, "z1"), qt.DeepEquals, repeated(false, 2))
			c.Assert(inService(cutOff, "z0"), qt.DeepEquals, repeated(false, 2)) // the order issued within the partition
			c.Assert(len(membersOf(cutOff[0], "z2")), qt.Equals, 2)              // both members of z2 stay live
		}
		f.network.Partition(nil)
		for i := range 20 {
			time.Sleep(time.Second)
			c.Assert(inService(f.nodes[:4], "z1"), qt.DeepEquals, repeated(true, 4)) // the settled order does not return
			if i >= 5 {
				c.Assert(inService(f.nodes, "z0"), qt.DeepEquals, repeated(false, 6))
			}
		}
		accept(t, &back, 3, cutOff...)
		c.Assert(inService(f.nodes, "z1"), qt.DeepEquals, repeated(true, 6))
		c.Assert(f.nodes[0].orders.Active(), qt.DeepEquals, []zone.Order{later})
	})
}

// TestOrdersMerge checks with random sequences of orders, exchanges and accepted documents that an
// order is in effect at every instance that received it until a document settles it, and never again
// afterwards.
func TestOrdersMerge(t *testing.T) {
	names := []string{"z0", "z1", "z2"}
	base := document(t, names...)
	rapid.Check(t, func(r *rapid.T) {
		const n = 4
		head, revision := *base, contract.Revision(1)
		var nodes []*node
		for range n {
			nodes = append(nodes, newOrdersOnlyNode())
		}
		first := head
		accept(t, &first, 1, nodes...)
		issued := map[zone.OrderID]zone.Order{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			chosen := nodes[rapid.IntRange(0, n-1).Draw(r, "node")]
			other := nodes[rapid.IntRange(0, n-1).Draw(r, "other")]
			name := rapid.SampledFrom(names).Draw(r, "zone")
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0:
				order, _ := chosen.orders.TakeZoneOut(name)
				issued[order.ID] = order
			case 4:
				order, _ := chosen.orders.WithdrawVersion(contract.VersionID{Model: "small", Name: "v1"})
				issued[order.ID] = order
			case 5: // the store is available again: the orders are settled in a document
				head = clone(&head)
				orders := chosen.orders.Active()
				zone.Settle(&head, orders)
				revision++
				next := head
				accept(t, &next, revision, chosen)
				for _, order := range orders {
					version := chosen.source.Current().Versions[order.Version]
					if chosen.source.Current().ZoneInService(order.Zone) || version != nil && version.State != contract.VersionWithdrawn {
						r.Fatalf("the document lists order %s as settled but does not apply it", order.ID)
					}
				}
			case 1:
				other.orders.Receive(machine.Member{}, chosen.orders.Message(machine.Member{}))
			case 2: // a document returns the zone; one instance gets it first
				head = clone(&head)
				zone.ReturnZone(&head, name, chosen.orders.Active())
				revision++
				next := head
				accept(t, &next, revision, chosen)
			case 3: // the other instance gets the newer revision
				if chosen.source.Current().Revision > other.source.Current().Revision {
					other.source.current.Store(chosen.source.Current())
				}
			}
			for _, node := range nodes {
				snapshot := node.source.Current()
				for _, order := range node.orders.Active() {
					for _, id := range snapshot.Document.Orders.Cleared {
						if string(order.ID) == id {
							r.Fatalf("order %s is in effect although revision %d settled it", id, snapshot.Revision)
						}
					}
					if node.effective.Current().ZoneInService(order.Zone) {
						r.Fatalf("zone %s is in service despite order %s", order.Zone, order.ID)
					}
					version := node.effective.Current().Versions[order.Version]
					if version != nil && version.State != contract.VersionWithdrawn {
						r.Fatalf("version %s is not withdrawn despite order %s", order.Version, order.ID)
					}
				}
			}
		}
		// After all nodes exchange with each other at the newest revision, every unsettled order is in
		// effect at every node.
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
		for id := range issued {
			want[id] = true
		}
		for _, id := range head.Orders.Cleared {
			delete(want, zone.OrderID(id))
		}
		for _, node := range nodes {
			if got := node.orders.Active(); len(got) != len(want) {
				r.Fatalf("%d orders are in effect, want %d", len(got), len(want))
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

// TestTriggeredRoundPastSilentPeers checks that a round triggered by TriggerRound propagates an order between two
// periodic rounds while three of the seven instances of the zone have just stopped answering: waiting for
// them would delay the others.
func TestTriggeredRoundPastSilentPeers(t *testing.T) {
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
		_, err := f.nodes[6].orders.TakeZoneOut("z0")
		c.Assert(err, qt.IsNil)
		time.Sleep(triggeredPropagationLimit)
		c.Assert(inService(f.nodes[3:], "z0"), qt.DeepEquals, repeated(false, 4))
	})
}
