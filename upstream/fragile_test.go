package upstream

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestSplitPlaces checks that the parts of all instances add up to the places, and that the order of those that may have one more is
// the same for all.
func TestSplitPlaces(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		members := instances(1 + random.IntN(70))
		endpoint, places, sum := random.Uint64(), random.IntN(300), 0
		ranks := make(map[int]bool)
		for _, member := range members {
			p := split(endpoint, places, member.ID, members)
			sum += p.part
			ranks[p.next] = true
		}
		c.Assert(sum, qt.Equals, places)
		c.Assert(ranks, qt.HasLen, len(members))
		c.Assert(ranks[0] && ranks[len(members)-1], qt.IsTrue)
	}
}

// TestRoomAfterRejection checks how an endpoint's room shrinks with a rejection and grows again.
func TestRoomAfterRejection(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	f := &fragility{}
	c.Check(f.places(16, start), qt.Equals, 16.0)
	c.Check(f.rejected(16, 16, start, start), qt.IsFalse) // others had more than their parts
	c.Check(f.rejected(16, 8, start, start), qt.IsTrue)
	f.hold = roomHold(3, 7)
	c.Check(f.places(16, start), qt.Equals, 6.0)
	c.Check(f.pausedUntil, qt.Equals, start.Add(cutSettle))
	c.Check(f.rejected(16, 2, start, start.Add(time.Millisecond)), qt.IsFalse) // sent before the cut was known
	c.Check(f.places(16, start.Add(3*time.Second)), qt.Equals, 6.0)
	c.Check(f.places(16, start.Add(8*time.Second)), qt.Equals, 10.0)
	c.Check(f.places(16, start.Add(time.Minute)), qt.Equals, 16.0)
	later := start.Add(time.Minute)
	c.Check(f.rejected(16, 0, later, later), qt.IsTrue)
	c.Check(f.places(16, later), qt.Equals, 4.0) // at least a quarter of what was assumed
	fresh := &fragility{}
	fresh.inherit(f.roomCut, 16, 8)
	c.Check(fresh.places(8, later), qt.Equals, 2.0)
}

// TestRejectionPause checks that the instances together cause no more rejections than are tolerated, if each request is rejected.
func TestRejectionPause(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		rejections, instances int
		pause                 time.Duration
	}{
		{3, 2, time.Second}, {3, 6, 2 * time.Second}, {1, 7, 7 * time.Second},
		{3, 60, 10 * time.Second}, {0, 1, 10 * time.Second}, {math.MaxInt, 400, time.Second},
	} {
		c.Check(rejectionPause(row.rejections, row.instances), qt.Equals, row.pause, qt.Commentf("%v", row))
	}
}

// TestSharersHold checks that an instance keeps its part for a while after it is no longer live, and that its return ends this.
func TestSharersHold(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	all, rest := instances(3), instances(3)[:2]
	s := &sharers{}
	c.Check(s.current(all, nil, now), qt.HasLen, 3)
	c.Check(s.current(rest, nil, now), qt.HasLen, 3)
	c.Check(s.current(rest, nil, now.Add(departedHold-1)), qt.HasLen, 3)
	c.Check(s.current(rest, nil, now.Add(departedHold)), qt.HasLen, 2)
	c.Check(s.current(all, nil, now.Add(departedHold)), qt.HasLen, 3)
	c.Check(s.current(rest, nil, now.Add(2*departedHold)), qt.HasLen, 3)
	c.Check(s.current(all, nil, now.Add(2*departedHold)), qt.HasLen, 3)
	c.Check(s.current(rest, nil, now.Add(9*departedHold)), qt.HasLen, 3)
}

// TestSharersPresent guards against an instance that is cut off from its peers for long, whose part the others take although it still
// reaches the endpoints; a killed one drops out.
func TestSharersPresent(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	all, rest := instances(3), instances(3)[:2]
	s := &sharers{}
	c.Check(s.current(all, all, now), qt.HasLen, 3)
	c.Check(s.current(rest, all, now.Add(time.Second)), qt.HasLen, 3)
	c.Check(s.current(rest, all, now.Add(time.Hour)), qt.HasLen, 3)
	c.Check(s.current(rest, rest, now.Add(time.Hour)), qt.HasLen, 2)
	c.Check(s.current(all[:1], rest[:1], now.Add(time.Hour+departedHold-1)), qt.HasLen, 2)
	c.Check(s.current(all[:1], rest[:1], now.Add(time.Hour+2*departedHold)), qt.HasLen, 1)
	c.Check((&sharers{}).current(all[:1], all, now), qt.DeepEquals, all)
}

// fragileTables returns the tables of some instances in front of two endpoints of eight slots.
func fragileTables(n int) []*Table {
	var tables []*Table
	members := instances(n)
	for _, member := range members {
		table := newInstanceTable(member.ID, members)
		for _, id := range []string{"e1", "e2"} {
			r := report(id, "app", "a")
			r.Slots = 8
			table.Apply(r)
		}
		tables = append(tables, table)
	}
	return tables
}

// hold reserves capacity until there is none and returns the grants.
func hold(table *Table) (grants []*Grant) {
	for {
		grant, _ := table.Place(&Need{Service: "app"})
		if grant == nil {
			return grants
		}
		grants = append(grants, grant)
	}
}

func done(grants []*Grant, outcome Outcome) {
	for _, grant := range grants {
		grant.Done(outcome)
	}
}

func tellTolerances(from, to *Table, peer machine.Member) {
	NewToleranceTopic(to).Receive(peer, NewToleranceTopic(from).Message(peer))
}

// TestToleranceKnown checks when a tolerance binds an instance: from its own first answer or a peer's word on, for all endpoints of the
// service that do not say otherwise, until a later answer without it.
func TestToleranceKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tables := fragileTables(2)
		one, two := tables[0], tables[1]
		log := &bytes.Buffer{}
		one.log = slog.New(slog.NewTextHandler(log, nil))
		grants := hold(one)
		c.Check(len(grants), qt.Equals, 2*8*overcommitPlain)
		early := grants[0]
		done(grants[1:], Answered)
		time.Sleep(time.Second)
		c.Check(NewToleranceTopic(one).Message(machine.Member{}), qt.IsNil)

		grant, _ := one.Place(&Need{Service: "app"})
		grant.RecordTolerance(3, true)
		early.RecordTolerance(0, false) // overtaken
		early.Done(Answered)
		grant.Done(Answered)
		tellTolerances(one, two, machine.Member{})
		for _, table := range tables {
			c.Check(table.Fragile(), qt.Equals, 2)
			grants := hold(table)
			c.Check(len(grants), qt.Equals, 8)
			done(grants, Answered)
		}

		time.Sleep(time.Second)
		grant, _ = two.Place(&Need{Service: "app", Avoid: []machine.EndpointID{"e2"}})
		grant.RecordTolerance(0, false)
		grant.Done(Answered)
		c.Check(two.Fragile() < 2, qt.IsTrue)
		tellTolerances(two, one, machine.Member{})
		c.Check(one.Fragile() < 2, qt.IsTrue)
		grant, _ = one.Place(&Need{Service: "app", Avoid: []machine.EndpointID{"e1"}})
		grant.RecordTolerance(0, false)
		grant.Done(Answered)
		c.Check(one.Fragile(), qt.Equals, 0)
		grants = hold(one)
		c.Check(len(grants), qt.Equals, 2*8*overcommitPlain)
		done(grants, Answered)
		c.Check(strings.Count(log.String(), "tolerate few rejections"), qt.Equals, 1)
		c.Check(strings.Count(log.String(), "tolerate rejections again"), qt.Equals, 1)
	})
}

// TestToleranceExpires checks that a tolerance ends without further answers, and that a restarted endpoint is taken to be like the others
// of its service.
func TestToleranceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := fragileTables(1)[0]
		grant, _ := table.Place(&Need{Service: "app"})
		grant.RecordTolerance(5, true)
		grant.Done(Answered)
		restarted := report(string(grant.Endpoint.ID()), "app", "a")
		restarted.Slots, restarted.StartMillis = 8, 7
		table.Apply(restarted)
		c.Check(table.Fragile(), qt.Equals, 2)
		time.Sleep(toleranceTTL)
		c.Check(table.Fragile(), qt.Equals, 0)
		c.Check(len(hold(table)), qt.Equals, 2*8*overcommitPlain)
	})
}

// TestRejectionOfFragile checks that a rejection keeps the instance off the endpoint, that it shrinks the room at all endpoints and
// instances, and that a rejection without a tolerance changes nothing.
func TestRejectionOfFragile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tables := fragileTables(2)
		one, two := tables[0], tables[1]
		grant, _ := one.Place(&Need{Service: "app"})
		grant.RecordNoRoom(2, "r0")
		grant.Done(Rejected)
		c.Check(len(hold(two)), qt.Equals, 2*8*overcommitPlain)

		tables = fragileTables(2)
		one, two = tables[0], tables[1]
		for _, avoid := range []machine.EndpointID{"e1", "e2"} {
			grant, _ = one.Place(&Need{Service: "app", Avoid: []machine.EndpointID{avoid}})
			grant.RecordTolerance(2, true)
			grant.Done(Answered)
		}
		time.Sleep(drainTime + 1)
		grant, _ = one.Place(&Need{Service: "app"})
		grant.RecordTolerance(2, true)
		grant.RecordNoRoom(4, "r1")
		grant.Done(Rejected)
		c.Check(len(hold(one)), qt.Equals, 0)
		tellTolerances(one, two, machine.Member{})
		c.Check(len(hold(two)), qt.Equals, 0)
		time.Sleep(cutSettle)
		// 3 of 8 places are left at one endpoint and 4 at the other, for both instances.
		held := append(hold(one), hold(two)...)
		c.Check(len(held), qt.Equals, 7)

		held[0].RecordSent()
		held[0].Done(Abandoned)
		c.Check(len(hold(one))+len(hold(two)), qt.Equals, 0)
		time.Sleep(abandonedOccupancy)
		c.Check(len(hold(one))+len(hold(two)), qt.Equals, 1)
	})
}

// TestPlacesElsewhere checks that an instance without a part of any endpoint's places does not let requests wait.
func TestPlacesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		kinds := make(map[string]int)
		for _, table := range fragileTables(60) {
			grant, _ := table.Place(&Need{Service: "app"})
			grant.RecordTolerance(0, true)
			grant.Done(Answered)
			grants := hold(table)
			_, blocked := table.Place(&Need{Service: "app"})
			kinds[fmt.Sprintf("%d %v", len(grants), blocked)]++
			c.Check(table.Explain(&Need{Service: "app"}).Endpoints[0].Excluded, qt.Equals, ExcludedFragile)
		}
		c.Check(kinds["0 places_elsewhere"] >= 60-2*8, qt.IsTrue)
		c.Check(kinds["0 places_elsewhere"]+kinds["1 full"]+kinds["2 full"], qt.Equals, 60)
		c.Check(kinds["1 full"]+2*kinds["2 full"], qt.Equals, 16)
	})
}

// TestOversizedRequestKeepsRoom guards against a request that every endpoint rejects, as one larger than its memory, that takes the places
// of all others: one a second, at endpoints that hold nothing.
func TestOversizedRequestKeepsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newInstanceTable(instances(1)[0].ID, instances(1))
		for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			r := report(id, "app", "a")
			r.Slots = 16
			table.Apply(r)
		}
		state := func() {
			for _, e := range table.view.Load().byService["app"] {
				g := &Grant{table: table, Endpoint: e, Report: e.report, startedAt: time.Now()}
				g.RecordTolerance(20, true)
			}
		}
		state()
		time.Sleep(drainTime + time.Second)
		state()
		places := func() (sum float64) {
			for _, e := range table.view.Load().byService["app"] {
				sum += e.fragility.places(16, time.Now())
			}
			return sum
		}
		c.Logf("before: %.0f places", places())
		for n := range 6 {
			if g, _ := table.Place(&Need{Service: "app"}); g != nil {
				g.RecordTolerance(20, true)
				g.RecordNoRoom(0, "large")
				g.Done(Rejected)
			}
			c.Logf("after %d such requests: %.1f places of 96", n+1, places())
			time.Sleep(1100 * time.Millisecond)
			state()
		}
		c.Check(places() >= 48, qt.IsTrue)
	})
}
