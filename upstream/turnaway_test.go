package upstream

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestTurnedAway guards against requests to an endpoint that turned this instance away: none is placed there until the end of the
// longest time, however many goroutines ask, then one at a time until an answer shows that it takes requests again.
func TestTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		need := Need{Service: "app"}
		grant, _ := table.Place(&need)
		other, _ := table.Place(&need)
		grant.RecordTurnAway(1500*time.Millisecond, "r-1")
		grant.Done(Rejected)
		other.RecordTurnAway(500*time.Millisecond, "r-2") // shorter
		other.RecordTaken()
		other.Done(Rejected)
		c.Check(table.TurnedAwayFor(&need), qt.Equals, 1500*time.Millisecond)
		placed := func() (grants []*Grant) {
			var mu sync.Mutex
			var group sync.WaitGroup
			for range 50 {
				group.Go(func() {
					if grant, blocked := table.Place(&need); blocked == NotBlocked {
						mu.Lock()
						defer mu.Unlock()
						grants = append(grants, grant)
					}
				})
			}
			group.Wait()
			return grants
		}
		c.Check(placed(), qt.HasLen, 0)
		_, blocked := table.Place(&need)
		c.Check(blocked, qt.Equals, TurnedAway)
		time.Sleep(1499 * time.Millisecond)
		c.Check(placed(), qt.HasLen, 0)
		time.Sleep(time.Millisecond)
		probes := placed()
		c.Assert(probes, qt.HasLen, 1)
		_, blocked = table.Place(&need)
		c.Check(blocked, qt.Equals, Full)
		probes[0].Done(Abandoned) // without an answer
		probes = placed()
		c.Assert(probes, qt.HasLen, 1)
		probes[0].RecordTurnAway(time.Second, "r-3")
		probes[0].Done(Rejected)
		c.Check(placed(), qt.HasLen, 0)
		time.Sleep(time.Second)
		probes = placed()
		c.Assert(probes, qt.HasLen, 1)
		probes[0].RecordTaken()
		c.Check(len(placed()) > 1, qt.IsTrue)
	})
}

// TestTurnedAwayIncarnation checks that another incarnation of an endpoint starts without the time of the one before, and that a
// time which one of several endpoints states leaves the others in use.
func TestTurnedAwayIncarnation(t *testing.T) {
	c := qt.New(t)
	table := newTable(report("x", "app", "a"))
	need := Need{Service: "app"}
	grant, _ := table.Place(&need)
	late, _ := table.Place(&need)
	grant.RecordTurnAway(time.Hour, "r-1")
	table.Apply(report("x", "app", "a")) // a heartbeat
	c.Check(place(table, need), qt.Equals, machine.EndpointID(""))
	again := report("x", "app", "a")
	again.StartMillis = 2
	table.Apply(again)
	c.Check(place(table, need), qt.Equals, machine.EndpointID("x"))
	late.RecordTurnAway(time.Hour, "r-2")
	c.Check(place(table, need), qt.Equals, machine.EndpointID("x"))

	table = newTable(report("x", "app", "a"), report("y", "app", "a"))
	var used atomic.Pointer[Grant]
	for used.Load() == nil || used.Load().Endpoint.ID() != "x" {
		grant, _ := table.Place(&need)
		used.Store(grant)
	}
	used.Load().RecordTurnAway(time.Hour, "r-3")
	for range 3 {
		c.Check(place(table, need), qt.Equals, machine.EndpointID("y"))
	}
}
