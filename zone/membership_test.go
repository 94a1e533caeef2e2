package zone_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/zone"
)

// liveIDs returns the ids of the live members in the view of a node.
func liveIDs(n *node) []string {
	var all []string
	for _, member := range n.membership.Live() {
		all = append(all, string(member.ID))
	}
	return all
}

// TestMembership checks the live members of a zone while the list is unavailable, and with a member
// that the list lacks, an unresponsive, a leaving and a replaced member.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1, 3)
		time.Sleep(3 * time.Second)
		all := []string{"z0-entry-0", "z0-entry-1", "z0-entry-2"}
		for _, n := range f.nodes {
			c.Assert(liveIDs(n), qt.DeepEquals, all)
		}

		f.list.SetDown(true)
		settings := zone.DefaultSettings()
		settings.Seeds = []string{"z0-entry-1"}
		late := f.assemble(t, "z0", "z0-late", "z0-late", settings) // not in the list, joins through a seed
		f.run(late)
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			c.Assert(liveIDs(n), qt.DeepEquals, append(all[:3:3], "z0-late"))
		}
		late.stop()
		f.network.Remove("z0-late")
		time.Sleep(12 * time.Second)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, all)

		f.network.SetSilent("z0-entry-1", true)
		time.Sleep(6 * time.Second)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, []string{"z0-entry-0", "z0-entry-2"})
		c.Assert(f.nodes[0].membership.Present(), qt.HasLen, 3)
		f.network.SetSilent("z0-entry-1", false)
		time.Sleep(3 * time.Second)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, all)

		f.nodes[2].membership.Leave()
		f.nodes[2].exchange.TriggerRound()
		time.Sleep(500 * time.Millisecond)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, all[:2])
		f.list.SetDown(false)
		time.Sleep(3 * time.Second)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, all[:2]) // the member's announcement takes precedence over the lagging list

		// A replacement with the same id is live at its announced address before the list shows it.
		f.nodes[2].stop()
		f.network.Remove("z0-entry-2")
		settings.Seeds = []string{"z0-entry-0"}
		f.run(f.assemble(t, "z0", "z0-entry-2", "z0-replacement", settings))
		time.Sleep(3 * time.Second)
		c.Assert(liveIDs(f.nodes[0]), qt.DeepEquals, all)
		c.Assert(f.nodes[1].membership.Live()[2].Address, qt.Equals, "z0-replacement")
	})
}
