package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestSaysItLeaves guards against requests to an endpoint that said in an answer that it leaves: neither a heartbeat that still says
// ready nor a return to discovery brings it back, only another incarnation does.
func TestSaysItLeaves(t *testing.T) {
	c := qt.New(t)
	born := func(millis int64) Report {
		r := report("x", "app", "a")
		r.StartMillis = millis
		return r
	}
	table := newTable(born(1), report("y", "other", "a"))
	need := Need{Service: "app"}
	unusable := func() {
		c.Helper()
		_, blocked := table.Place(&need)
		c.Check(blocked, qt.Equals, NoneEligible)
		c.Check(table.HasAddress("x:80"), qt.IsFalse) // its idle connections are closed
		c.Check(table.Leaving(), qt.DeepEquals, []machine.EndpointID{"x"})
	}
	grant, _ := table.Place(&need)
	late, _ := table.Place(&need)
	c.Check(table.HasAddress("x:80"), qt.IsTrue)
	grant.RecordLeaving("r-1")
	grant.Done(Answered)
	unusable()
	table.Apply(born(1))
	unusable()
	table.Remove("x", time.Now().Add(time.Second))
	table.Apply(born(1))
	unusable()

	table.Apply(born(2))
	c.Check(place(table, need), qt.Equals, machine.EndpointID("x"))
	c.Check(table.HasAddress("x:80"), qt.IsTrue)
	late.RecordLeaving("r-2") // an answer of the incarnation before
	c.Check(place(table, need), qt.Equals, machine.EndpointID("x"))

	grant, _ = table.Place(&need)
	grant.RecordLeaving("r-3")
	unusable()
	moved := born(2)
	moved.Address = "x:81" // without a start time, the address tells incarnations apart
	table.Apply(moved)
	c.Check(place(table, need), qt.Equals, machine.EndpointID("x"))
	c.Check(table.Leaving(), qt.HasLen, 0)
}
