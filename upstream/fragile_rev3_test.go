package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestRev3OversizedRequests shows what requests that every endpoint rejects (larger than its memory; "rejected as if it were full") do to
// the places of all others: one a second, at endpoints that hold nothing.
func TestRev3OversizedRequests(t *testing.T) {
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

// TestRev3LimitsOfCutOff shows which part of a stated limit and of a cold rate is left if 4 of 7 instances use no endpoint.
func TestRev3LimitsOfCutOff(t *testing.T) {
	c := qt.New(t)
	members := instances(7)
	for _, rate := range []float64{3, 14, 70} {
		all, left := 0.0, 0.0
		for n, member := range members {
			r := instanceColdRate(99, rate, member.ID, members)
			all += r
			if n >= 4 {
				left += r
			}
		}
		c.Logf("cold rate %.0f: all %.2f, by the 3 that reach the endpoints %.2f", rate, all, left)
	}
	_ = machine.Member{}
}
