package upstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestExplainAgreesWithPlace compares Explain with what Place does next, on tables with drawn loads, errors, zones and kept prompts, until
// all endpoints are full.
func TestExplainAgreesWithPlace(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 7))
			table := newTable()
			for n := range 5 {
				table.Apply(report(fmt.Sprintf("e%d", n), "chat", []string{"a", "b"}[random.IntN(2)]))
			}
			for placed := uint64(0); ; placed++ {
				need := prompt(uint64(random.IntN(4)), placed)
				placement := table.Explain(&need)
				grant, blocked := table.Place(&need)
				c.Assert(placement.Blocked, qt.Equals, blocked)
				if blocked != NotBlocked {
					c.Check(placement.Endpoint, qt.Equals, machine.EndpointID(""))
					c.Check(placement.Endpoints[0].Excluded, qt.Equals, ExcludedFull)
					c.Check(placed > 5, qt.IsTrue)
					return
				}
				chosen := placement.find(grant.Endpoint.ID())
				// Among equal costs both choose at random.
				c.Assert(chosen.Cost, qt.Equals, placement.find(placement.Endpoint).Cost)
				c.Check(chosen.Cost, qt.Equals, chosen.Expected+chosen.OtherZone+chosen.Errors+chosen.OthersWait)
				c.Check(chosen.Excluded, qt.Equals, Exclusion(""))
				c.Check(chosen.Requests, qt.Equals, grant.Load)
				if random.IntN(3) == 0 {
					grant.Done([]Outcome{Answered, Failed}[random.IntN(2)])
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// find returns an endpoint of the placement.
func (p *Placement) find(id machine.EndpointID) Considered {
	for _, e := range p.Endpoints {
		if e.Endpoint == id {
			return e
		}
	}
	return Considered{}
}

// TestExplainSpread checks that the endpoints beyond the share of a roll-out are named.
func TestExplainSpread(t *testing.T) {
	c := qt.New(t)
	table := newTable(report("e1", "app", "a"), report("e2", "app", "a"), report("e3", "app", "b"), report("e4", "app", "b"))
	placement := table.Explain(&Need{Service: "app", Spread: 0.5})
	beyond := 0
	for _, e := range placement.Endpoints {
		if e.Excluded == ExcludedSpread {
			beyond++
		}
	}
	c.Check(beyond, qt.Equals, 2)
	c.Check(placement.find(placement.Endpoint).Excluded, qt.Equals, Exclusion(""))
}

// TestExclusions checks the reason for each endpoint that may not get a request.
func TestExclusions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable()
		for _, id := range []string{"full", "leaving", "other-version", "resting", "limited"} {
			r := report(id, "app", "a")
			r.Draining = id == "leaving"
			if id == "other-version" {
				r.Version = "v2"
			}
			table.Apply(r)
		}
		table.Apply(report("evacuated", "app", "b"))
		need := Need{Service: "app", Version: "v1"}
		for {
			grant, blocked := table.Place(&need)
			if blocked != NotBlocked {
				break
			}
			switch grant.Endpoint.ID() {
			case "resting":
				grant.RecordTurnAway(time.Minute, "r1")
			case "limited":
				grant.RecordRateLimit(0.01, true)
			}
		}
		table.Evacuate(map[string]bool{"b": true})
		placement := table.Explain(&need)
		c.Check(placement.Blocked, qt.Equals, Full)
		for id, want := range map[machine.EndpointID]Exclusion{
			"full": ExcludedFull, "leaving": ExcludedLeaving, "other-version": ExcludedVersion, "resting": ExcludedTurnedAway,
			"limited": ExcludedRate, "evacuated": ExcludedZone,
		} {
			c.Check(placement.find(id).Excluded, qt.Equals, want, qt.Commentf("%s", id))
		}
	})
}
