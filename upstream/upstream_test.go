package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

const coldRate = 20.0

// fixedMembers are the entry instances that an instance believes live.
type fixedMembers struct {
	self machine.Member
	live []machine.Member
}

func (m *fixedMembers) Self() machine.Member   { return m.self }
func (m *fixedMembers) Live() []machine.Member { return m.live }

func fleetOf(n int) []machine.Member {
	var members []machine.Member
	for i := range n {
		members = append(members, machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%02d", i))})
	}
	return members
}

// tableOf returns the table of one instance of a fleet, with a model service and a plain one.
func tableOf(self machine.InstanceID, members []machine.Member) *Table {
	current := &catalog.Current{}
	current.Set(catalog.New(&catalog.Draft{Revision: 1, Services: []*catalog.Service{
		{Name: "chat", ColdRate: coldRate, Model: true}, {Name: "app"},
	}}))
	return NewTable(self, "a", current, &fixedMembers{live: members}, telemetry.New(), slog.New(slog.DiscardHandler))
}

func report(id, service, zone string) Report {
	return Report{ID: machine.EndpointID(id), Service: service, Address: id + ":80", Zone: zone, Version: "v1", Slots: 4}
}

func newTable(reports ...Report) *Table {
	table := tableOf("entry-00", fleetOf(1))
	for _, one := range reports {
		table.Apply(one)
	}
	return table
}

// placedAt places a request and returns the endpoint; "" means that it was not placed.
func placedAt(table *Table, need Need) machine.EndpointID {
	grant, blocked := table.Place(&need)
	if blocked != NotBlocked {
		return ""
	}
	return grant.Endpoint.ID()
}

// TestLeaving sends nothing to an endpoint that drains, that is gone, whose zone is evacuated, or that
// runs the wrong version.
func TestLeaving(t *testing.T) {
	for name, leave := range map[string]func(*Table){
		"draining": func(table *Table) {
			leaving := report("x", "app", "a")
			leaving.Draining = true
			table.Apply(leaving)
		},
		"gone":      func(table *Table) { table.Remove("x", time.Time{}) },
		"evacuated": func(table *Table) { table.Evacuate(map[string]bool{"a": true}) },
		"moved":     func(table *Table) { table.Apply(report("x", "other", "a")) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := newTable(report("x", "app", "a"))
			c.Assert(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
			leave(table)
			_, blocked := table.Place(&Need{Service: "app"})
			c.Check(blocked, qt.Equals, Absent)
		})
	}
	c := qt.New(t)
	table := newTable(report("x", "app", "a"))
	c.Check(placedAt(table, Need{Service: "app", Version: "v2"}), qt.Equals, machine.EndpointID(""))
	c.Check(placedAt(table, Need{Service: "app", NotVersion: "v1"}), qt.Equals, machine.EndpointID(""))
}

// TestLapsed uses an endpoint whose entry vanished around an outage of the store until the time by which
// entries are back.
func TestLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		table.Remove("x", time.Now().Add(2*time.Second))
		time.Sleep(1900 * time.Millisecond)
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
		time.Sleep(200 * time.Millisecond)
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID(""))
		table.Apply(report("x", "app", "a"))
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
	})
}

// TestColdLimit counts what all instances together send to a cold endpoint in any one second, with
// members that agree on the fleet and with some that know less of it.
func TestColdLimit(t *testing.T) {
	for _, fleet := range []int{1, 6, 70} {
		for _, unseen := range []int{0, fleet / 6} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				members := fleetOf(fleet)
				var tables []*Table
				for i, member := range members {
					seen := members
					if i%3 == 0 {
						seen = members[unseen:]
					}
					table := tableOf(member.ID, seen)
					cold := report("x", "chat", "a")
					cold.ColdFor = time.Minute
					cold.Slots = 1 << 20
					table.Apply(cold)
					tables = append(tables, table)
				}
				var sent []time.Time
				for range 200 {
					for _, table := range tables {
						if placedAt(table, Need{Service: "chat"}) != "" {
							sent = append(sent, time.Now())
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				most := 0
				for i, from := range sent {
					within := 0
					for _, at := range sent[i:] {
						if at.Sub(from) < time.Second {
							within++
						}
					}
					most = max(most, within)
				}
				c.Check(most <= coldRate*1.5+5, qt.IsTrue, qt.Commentf("%d of %d instances unseen by some: %d in a second", unseen, fleet, most))
				c.Check(len(sent) >= coldRate, qt.IsTrue, qt.Commentf("%d instances sent %d in 2 s", fleet, len(sent)))
			})
		}
	}
}

// TestTakenBackZone sends to the endpoints of a zone that was taken back as to cold ones.
func TestTakenBackZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		warm := report("x", "chat", "a")
		warm.Slots = 1000
		table := newTable(warm)
		table.Evacuate(map[string]bool{"a": true})
		table.Evacuate(map[string]bool{})
		sent := 0
		for range 100 {
			if placedAt(table, Need{Service: "chat"}) != "" {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(sent <= coldRate+1, qt.IsTrue, qt.Commentf("%d in a second", sent))
	})
}

// TestFull counts the requests of all instances against an endpoint's slots.
func TestFull(t *testing.T) {
	for service, places := range map[string]int{"chat": 5, "app": 12} {
		c := qt.New(t)
		table, peer := newTable(report("x", service, "a")), newTable(report("x", service, "a"))
		for range 3 {
			c.Assert(placedAt(peer, Need{Service: service}), qt.Equals, machine.EndpointID("x"))
		}
		NewLoadTopic(table).Receive(machine.Member{ID: "entry-01"}, NewLoadTopic(peer).Message(machine.Member{}))
		for range places - 3 {
			c.Assert(placedAt(table, Need{Service: service}), qt.Equals, machine.EndpointID("x"))
		}
		_, blocked := table.Place(&Need{Service: service})
		c.Check(blocked, qt.Equals, Full)
	}
}

func prompt(shared, own uint64) Need {
	return Need{
		Service: "chat", Model: "large", PromptTokens: 5000,
		Parts: []Part{{ID: 1, Tokens: 1000}, {ID: shared, Tokens: 3000}, {ID: own, Tokens: 1000}},
	}
}

// TestAffinity keeps prompts with the same shared parts at one endpoint, at every instance, and spreads
// a popular one once that endpoint is busy.
func TestAffinity(t *testing.T) {
	c := qt.New(t)
	var reports []Report
	for i := range 9 {
		one := report(fmt.Sprintf("e%d", i), "chat", "a")
		one.Slots = 128
		reports = append(reports, one)
	}
	one, other := newTable(reports...), newTable(reports...)
	used := make(map[machine.EndpointID]bool)
	for shared := range uint64(40) {
		first, second := prompt(100+shared, 1), prompt(100+shared, 2)
		grant, _ := one.Place(&first)
		again, _ := other.Place(&second)
		c.Check(grant.Endpoint.ID(), qt.Equals, again.Endpoint.ID())
		used[grant.Endpoint.ID()] = true
		grant.Done(Answered)
		again.Done(Answered)
	}
	c.Check(len(used) >= 7, qt.IsTrue, qt.Commentf("%d of 9 endpoints used", len(used)))
	spread := make(map[machine.EndpointID]bool)
	for own := range uint64(60) {
		spread[placedAt(one, prompt(100, 1000+own))] = true
	}
	c.Check(len(spread) >= 3, qt.IsTrue, qt.Commentf("a popular prompt at %d endpoints", len(spread)))
}

// TestEvenLoadStaysInZone: under an even load the differences between endpoints are a few requests, which
// are no reason to send prompts to another zone; a local burst is. Other requests go where they wait less.
func TestEvenLoadStaysInZone(t *testing.T) {
	prompt := Need{Service: "chat", Parts: []Part{{ID: 1, Tokens: 1}}}
	for _, one := range []struct {
		need Need
		load int // requests more in the own zone
		want machine.EndpointID
	}{{prompt, 0, "near"}, {prompt, 8, "near"}, {prompt, 12, "far"}, {Need{Service: "chat"}, 0, "near"}, {Need{Service: "chat"}, 1, "far"}} {
		c := qt.New(t)
		near, far := report("near", "chat", "a"), report("far", "chat", "b")
		near.Slots, far.Slots = 64, 64
		table := newTable(near)
		for range one.load {
			placedAt(table, Need{Service: "chat"})
		}
		table.Apply(far)
		c.Check(placedAt(table, one.need), qt.Equals, one.want, qt.Commentf("%+v", one))
	}
}

// TestSpread sends a small share of the traffic to as small a part of the endpoints, the same one at every
// instance, and to others once that has no room.
func TestSpread(t *testing.T) {
	for part, want := range map[float64]int{0.1: 2, 0.4: 4, 0: 9} { // an endpoint has five places
		c := qt.New(t)
		used := make(map[machine.EndpointID]int)
		for _, self := range []machine.InstanceID{"entry-00", "entry-01"} {
			table := tableOf(self, fleetOf(2))
			for i := range 9 {
				table.Apply(report(fmt.Sprintf("e%d", i), "chat", "a"))
			}
			for range 10 {
				used[placedAt(table, Need{Service: "chat", Version: "v1", Spread: part})]++
			}
		}
		c.Check(used, qt.HasLen, want, qt.Commentf("%v of nine endpoints", part))
	}
}

// TestFewEndpointsLeft is the load of a service that lost half of its endpoints while the rest holds the
// backlog: the expected time to the first event grows with the backlog that peers tell of.
func TestFewEndpointsLeft(t *testing.T) {
	c := qt.New(t)
	table, peer := newTable(report("x", "chat", "a")), newTable(report("x", "chat", "a"))
	need := prompt(7, 8)
	before, ok := table.Expect(&need)
	c.Assert(ok, qt.IsTrue)
	other := prompt(9, 10)
	c.Assert(placedAt(peer, other), qt.Equals, machine.EndpointID("x"))
	NewLoadTopic(table).Receive(machine.Member{ID: "entry-01"}, NewLoadTopic(peer).Message(machine.Member{}))
	after, _ := table.Expect(&need)
	c.Check(after-before, qt.Equals, requestCost+5000*firstPace)
}

// TestPace learns what a model takes for an empty prompt and for each token, from prompts with nothing
// before them.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "chat", "a"))
		for own := range uint64(60) {
			need := prompt(100+own, own) // the first part is cached after the first one
			need.Parts[2].Tokens = int(100 * own)
			need.PromptTokens = 4000 + int(100*own)
			grant, _ := table.Place(&need)
			time.Sleep(30*time.Millisecond + time.Duration(grant.tokens)*50*time.Microsecond)
			grant.Began()
			grant.Done(Answered)
		}
		base, pace := table.paces.get("chat", "large")
		c.Check(base.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)
		c.Check(pace.Round(time.Microsecond), qt.Equals, 50*time.Microsecond)
		base, pace = table.paces.get("chat", "small")
		c.Check(base, qt.Equals, firstBase)
		c.Check(pace, qt.Equals, firstPace)
	})
}

// TestBreaker keeps requests away from an endpoint that cannot be reached, tries it again with one
// request, and avoids one that fails many requests.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"), report("y", "app", "b"))
		for range breakAfter {
			grant, _ := table.Place(&Need{Service: "app", Avoid: []machine.EndpointID{"y"}})
			c.Assert(grant.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
			grant.Done(Unreachable)
		}
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		time.Sleep(breakFirst)
		trial, _ := table.Place(&Need{Service: "app"})
		c.Check(trial.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		trial.Done(Answered)
	})
}

// TestBreakerOpensOnce keeps an endpoint away for the first, short time after failures of requests that
// were under way together.
func TestBreakerOpensOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		var grants []*Grant
		for range 8 {
			grant, _ := table.Place(&Need{Service: "app"})
			grants = append(grants, grant)
		}
		for _, grant := range grants {
			grant.Done(Unreachable)
		}
		time.Sleep(breakFirst)
		e := grants[0].Endpoint
		e.mu.Lock()
		defer e.mu.Unlock()
		c.Check(e.health.open(time.Now()), qt.IsFalse)
	})
}

// TestAddressOfAnother leaves an endpoint at whose address another one answers, at once and until its entry
// changes or a single try succeeds.
func TestAddressOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"), report("y", "app", "b"))
		grant, _ := table.Place(&Need{Service: "app"})
		c.Assert(grant.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
		grant.Done(Misplaced)
		for range 5 {
			c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		}
		moved := report("x", "app", "a")
		moved.Address = "x2:80"
		table.Apply(moved)
		c.Check(placedAt(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
	})
}

// TestQueueOrder serves the most urgent request first, and the oldest among equals.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		order := make(chan string, 3)
		begin := time.Now()
		for _, one := range []struct {
			name     string
			priority int
			arrived  time.Time
		}{{"late", 1, begin.Add(2)}, {"urgent", 0, begin.Add(3)}, {"early", 1, begin.Add(1)}} {
			go func() {
				if table.Wait(t.Context(), "app", one.priority, one.arrived, retryPlace/2) {
					order <- one.name
				}
			}()
		}
		synctest.Wait()
		for _, want := range []string{"urgent", "early", "late"} {
			table.Freed("app")
			synctest.Wait()
			c.Check(<-order, qt.Equals, want)
		}
	})
}

// TestQueueOldest gives every sixth place to the oldest request, however urgent the others are.
func TestQueueOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		order := make(chan string, oldestEvery)
		wait := func(name string, priority int, age time.Duration) {
			if table.Wait(t.Context(), "app", priority, time.Now().Add(-age), retryPlace/2) {
				order <- name
			}
		}
		for range 2 * oldestEvery {
			go wait("urgent", 0, time.Second)
		}
		go wait("oldest", 9, time.Minute)
		synctest.Wait()
		for turn := 1; turn <= oldestEvery; turn++ {
			table.Freed("app")
			synctest.Wait()
			c.Check(<-order == "oldest", qt.Equals, turn == oldestEvery, qt.Commentf("turn %d", turn))
		}
		time.Sleep(retryPlace)
	})
}

// TestQueueLeft frees the place of a caller that left.
func TestQueueLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		ctx, cancel := context.WithCancel(t.Context())
		go table.Wait(ctx, "app", 0, time.Now(), time.Hour)
		synctest.Wait()
		c.Check(table.Waiting("app"), qt.Equals, 1)
		cancel()
		synctest.Wait()
		c.Check(table.Waiting("app"), qt.Equals, 0)
	})
}
