package upstream

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

const coldRate = 20.0

// fixedMembers is a machine.Members with a constant list of live entry instances.
type fixedMembers struct {
	self machine.Member
	live []machine.Member
}

func (m *fixedMembers) Self() machine.Member   { return m.self }
func (m *fixedMembers) Live() []machine.Member { return m.live }

func instances(n int) []machine.Member {
	var members []machine.Member
	for i := range n {
		members = append(members, machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%02d", i))})
	}
	return members
}

// newInstanceTable returns the table of one of several instances, with a model service and a plain one.
func newInstanceTable(self machine.InstanceID, members []machine.Member) *Table {
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
	table := newInstanceTable("entry-00", instances(1))
	for _, r := range reports {
		table.Apply(r)
	}
	return table
}

// place reserves capacity for a request and returns the endpoint, or "" if there was none.
func place(table *Table, need Need) machine.EndpointID {
	grant, blocked := table.Place(&need)
	if blocked != NotBlocked {
		return ""
	}
	return grant.Endpoint.ID()
}

// TestLeaving checks that no request is sent to an endpoint that drains, is removed, serves another
// service, is in an evacuated zone or runs the wrong version.
func TestLeaving(t *testing.T) {
	for name, stopUse := range map[string]func(*Table){
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
			c.Assert(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
			stopUse(table)
			_, blocked := table.Place(&Need{Service: "app"})
			c.Check(blocked, qt.Equals, NoneEligible)
		})
	}
	c := qt.New(t)
	table := newTable(report("x", "app", "a"))
	c.Check(place(table, Need{Service: "app", Version: "v2"}), qt.Equals, machine.EndpointID(""))
	c.Check(place(table, Need{Service: "app", ExcludedVersions: []string{"v1"}}), qt.Equals, machine.EndpointID(""))
}

// TestLapsed guards against dropping endpoints whose discovery entries expired in an outage of the store:
// they are used until the grace period ends, and again once their entry is back.
func TestLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		table.Remove("x", time.Now().Add(2*time.Second))
		time.Sleep(1900 * time.Millisecond)
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
		time.Sleep(200 * time.Millisecond)
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID(""))
		table.Apply(report("x", "app", "a"))
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
	})
}

// TestColdLimit bounds the requests that all instances together send to a cold endpoint in any one second,
// with equal member lists at all instances, and with some instances that lack a sixth of the members.
func TestColdLimit(t *testing.T) {
	for _, fleet := range []int{1, 6, 70} {
		for _, unseen := range []int{0, fleet / 6} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				members := instances(fleet)
				var tables []*Table
				for i, member := range members {
					known := members
					if i%3 == 0 {
						known = members[unseen:]
					}
					table := newInstanceTable(member.ID, known)
					cold := report("x", "chat", "a")
					cold.ColdFor = time.Minute
					cold.Slots = 1 << 20
					table.Apply(cold)
					tables = append(tables, table)
				}
				var sent []time.Time
				for range 200 {
					for _, table := range tables {
						if place(table, Need{Service: "chat"}) != "" {
							sent = append(sent, time.Now())
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				busiest := 0
				for i, start := range sent {
					inSecond := 0
					for _, at := range sent[i:] {
						if at.Sub(start) < time.Second {
							inSecond++
						}
					}
					busiest = max(busiest, inSecond)
				}
				c.Check(busiest <= coldRate*1.5+5, qt.IsTrue, qt.Commentf("%d of %d instances unseen by some: %d in a second", unseen, fleet, busiest))
				c.Check(len(sent) >= coldRate, qt.IsTrue, qt.Commentf("%d instances sent %d in 2 s", fleet, len(sent)))
			})
		}
	}
}

// TestTakenBackZone checks that endpoints of a zone that is back in service get only the cold rate.
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
			if place(table, Need{Service: "chat"}) != "" {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Check(sent <= coldRate+1, qt.IsTrue, qt.Commentf("%d in a second", sent))
	})
}

// TestFull checks that the requests of other instances count against an endpoint's capacity.
func TestFull(t *testing.T) {
	for service, capacity := range map[string]int{"chat": 5, "app": 12} {
		c := qt.New(t)
		table, peer := newTable(report("x", service, "a")), newTable(report("x", service, "a"))
		for range 3 {
			c.Assert(place(peer, Need{Service: service}), qt.Equals, machine.EndpointID("x"))
		}
		NewLoadTopic(table).Receive(machine.Member{ID: "entry-01"}, NewLoadTopic(peer).Message(machine.Member{}))
		for range capacity - 3 {
			c.Assert(place(table, Need{Service: service}), qt.Equals, machine.EndpointID("x"))
		}
		_, blocked := table.Place(&Need{Service: service})
		c.Check(blocked, qt.Equals, Full)
	}
}

func prompt(shared, own uint64) Need {
	return Need{
		Service: "chat", Model: "large", PromptTokens: 5000,
		PromptParts: []PromptPart{{ID: 1, Tokens: 1000}, {ID: shared, Tokens: 3000}, {ID: own, Tokens: 1000}},
	}
}

// TestAffinity checks that all instances send prompts with the same shared parts to one endpoint, and that
// a popular prompt spreads to others once that endpoint is busy.
func TestAffinity(t *testing.T) {
	c := qt.New(t)
	var reports []Report
	for i := range 9 {
		one := report(fmt.Sprintf("e%d", i), "chat", "a")
		one.Slots = 128
		reports = append(reports, one)
	}
	one, otherInstance := newTable(reports...), newTable(reports...)
	used := make(map[machine.EndpointID]bool)
	for shared := range uint64(40) {
		first, second := prompt(100+shared, 1), prompt(100+shared, 2)
		grant, _ := one.Place(&first)
		again, _ := otherInstance.Place(&second)
		c.Check(grant.Endpoint.ID(), qt.Equals, again.Endpoint.ID())
		used[grant.Endpoint.ID()] = true
		grant.Done(Answered)
		again.Done(Answered)
	}
	c.Check(len(used) >= 7, qt.IsTrue, qt.Commentf("%d of 9 endpoints used", len(used)))
	spread := make(map[machine.EndpointID]bool)
	for own := range uint64(60) {
		spread[place(one, prompt(100, 1000+own))] = true
	}
	c.Check(len(spread) >= 3, qt.IsTrue, qt.Commentf("a popular prompt at %d endpoints", len(spread)))
}

// TestEvenLoadStaysInZone guards against cross-zone traffic of prompts under an even load, in which
// endpoints differ by a few requests. A larger difference does send prompts to the other zone. Requests
// without a prompt go to the endpoint with the shorter wait in any zone.
func TestEvenLoadStaysInZone(t *testing.T) {
	prompt := Need{Service: "chat", PromptParts: []PromptPart{{ID: 1, Tokens: 1}}}
	for _, tc := range []struct {
		need Need
		load int // requests more in the own zone
		want machine.EndpointID
	}{{prompt, 0, "near"}, {prompt, 8, "near"}, {prompt, 12, "far"}, {Need{Service: "chat"}, 0, "near"}, {Need{Service: "chat"}, 1, "far"}} {
		c := qt.New(t)
		near, far := report("near", "chat", "a"), report("far", "chat", "b")
		near.Slots, far.Slots = 64, 64
		table := newTable(near)
		for range tc.load {
			place(table, Need{Service: "chat"})
		}
		table.Apply(far)
		c.Check(place(table, tc.need), qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// TestSpread checks that requests with a Spread are confined to that share of the endpoints, that all
// instances choose the same ones, and that requests go to further endpoints once these are full.
func TestSpread(t *testing.T) {
	for part, want := range map[float64]int{0.1: 2, 0.4: 4, 0: 9} { // an endpoint takes five requests
		c := qt.New(t)
		used := make(map[machine.EndpointID]int)
		for _, self := range []machine.InstanceID{"entry-00", "entry-01"} {
			table := newInstanceTable(self, instances(2))
			for i := range 9 {
				table.Apply(report(fmt.Sprintf("e%d", i), "chat", "a"))
			}
			for range 10 {
				used[place(table, Need{Service: "chat", Version: "v1", Spread: part})]++
			}
		}
		c.Check(used, qt.HasLen, want, qt.Commentf("share %v of nine endpoints", part))
	}
}

// TestSpreadFollowsLoad guards against good versions that are rejected as slow: all requests of a busy plain service were confined to one endpoint,
// more than it can serve. Requests are confined to as many endpoints as the service's requests in progress need.
func TestSpreadFollowsLoad(t *testing.T) {
	c := qt.New(t)
	for inProgress, want := range map[int]int{0: 1, 2: 1, 4: 2, 11: 4, 40: 7} { // an endpoint has four slots
		table := newTable()
		for i := range 7 {
			old, next := report(fmt.Sprintf("old-%d", i), "app", "a"), report(fmt.Sprintf("new-%d", i), "app", "a")
			next.Version = "v2"
			table.Apply(old)
			table.Apply(next)
		}
		for range inProgress {
			place(table, Need{Service: "app", Version: "v1"})
		}
		candidates, _ := table.filter(&Need{Service: "app", Version: "v2", Spread: 0.05}, &catalog.Service{Name: "app"}, time.Now())
		c.Check(candidates, qt.HasLen, want, qt.Commentf("%d in progress", inProgress))
	}
}

// TestFewEndpointsLeft checks that the expected time to the first event includes the backlog reported by
// peers, as after the loss of many endpoints, when the remaining ones hold the backlog.
func TestFewEndpointsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, peer := newTable(report("x", "chat", "a")), newTable(report("x", "chat", "a"))
		need := prompt(7, 8)
		before, ok := table.Expect(&need)
		c.Assert(ok, qt.IsTrue)
		other := prompt(9, 10)
		c.Assert(place(peer, other), qt.Equals, machine.EndpointID("x"))
		NewLoadTopic(table).Receive(machine.Member{ID: "entry-01"}, NewLoadTopic(peer).Message(machine.Member{}))
		after, _ := table.Expect(&need)
		c.Check(after-before, qt.Equals, perRequestDelay+5000*defaultPerToken)
	})
}

// TestPeerBacklogDrains checks the load that instances of a large fleet assume, which exchange loads only every few
// seconds: prompts that a peer has reported count in full for an exchange interval, then less by the time that the
// endpoint has had to read them, and repeated reports of the same prompts count once.
func TestPeerBacklogDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table, peer := newTable(report("x", "chat", "a")), newTable(report("x", "chat", "a"))
		need := prompt(7, 8)
		idle, _ := table.Expect(&need)
		c.Assert(place(peer, prompt(9, 10)), qt.Equals, machine.EndpointID("x"))
		prefill := 5000 * defaultPerToken
		receive := func() {
			NewLoadTopic(table).Receive(machine.Member{ID: "entry-01"}, NewLoadTopic(peer).Message(machine.Member{}))
		}
		backlog := func() time.Duration {
			expected, _ := table.Expect(&need)
			return expected - idle - perRequestDelay
		}
		receive()
		c.Check(backlog(), qt.Equals, prefill)
		time.Sleep(peerLoadFresh)
		c.Check(backlog(), qt.Equals, prefill)
		time.Sleep(prefill / 2)
		c.Check(backlog() <= prefill/2+peerTotalAge, qt.IsTrue, qt.Commentf("%s", backlog()))
		time.Sleep(prefill + peerTotalAge)
		c.Check(backlog(), qt.Equals, time.Duration(0))
		receive()
		receive()
		c.Check(backlog(), qt.Equals, prefill)
	})
}

// TestPace checks that the prefill times of an empty prompt and of each token are learned from requests
// that no others delay, per model.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "chat", "a"))
		for own := range uint64(60) {
			need := prompt(100+own, own) // its first part is cached after the first request
			need.PromptParts[2].Tokens = int(100 * own)
			need.PromptTokens = 4000 + int(100*own)
			grant, _ := table.Place(&need)
			time.Sleep(30*time.Millisecond + time.Duration(grant.uncachedTokens)*50*time.Microsecond)
			grant.RecordFirstEvent()
			grant.Done(Answered)
		}
		base, perToken := table.prefillTimes.estimate("chat", "large")
		c.Check(base.Round(time.Millisecond), qt.Equals, 30*time.Millisecond)
		c.Check(perToken.Round(time.Microsecond), qt.Equals, 50*time.Microsecond)
		base, perToken = table.prefillTimes.estimate("chat", "small")
		c.Check(base, qt.Equals, defaultBase)
		c.Check(perToken, qt.Equals, defaultPerToken)
	})
}

// TestBreaker checks that consecutive connection failures open the breaker of an endpoint, and that after
// breakerMinOpen a single request probes it while others still go to the other endpoint.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"), report("y", "app", "b"))
		for range breakerThreshold {
			grant, _ := table.Place(&Need{Service: "app", Avoid: []machine.EndpointID{"y"}})
			c.Assert(grant.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
			grant.Done(Unreachable)
		}
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		time.Sleep(breakerMinOpen)
		probe, _ := table.Place(&Need{Service: "app"})
		c.Check(probe.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		probe.Done(Answered)
	})
}

// TestBreakerOpensOnce guards against concurrent failures that each double the time for which the breaker
// stays open: it must be breakerMinOpen.
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
		time.Sleep(breakerMinOpen)
		e := grants[0].Endpoint
		e.mu.Lock()
		defer e.mu.Unlock()
		c.Check(e.health.open(time.Now()), qt.IsFalse)
	})
}

// TestAddressOfAnother checks that an endpoint is avoided at once when another one answers at its address,
// and is used again when its discovery entry has a new address.
func TestAddressOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"), report("y", "app", "b"))
		grant, _ := table.Place(&Need{Service: "app"})
		c.Assert(grant.Endpoint.ID(), qt.Equals, machine.EndpointID("x"))
		grant.Done(WrongEndpoint)
		for range 5 {
			c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("y"))
		}
		moved := report("x", "app", "a")
		moved.Address = "x2:80"
		table.Apply(moved)
		c.Check(place(table, Need{Service: "app"}), qt.Equals, machine.EndpointID("x"))
	})
}

// TestQueueOrder checks that the most urgent request is woken first, and the oldest among equals.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		order := make(chan string, 3)
		begin := time.Now()
		for _, tc := range []struct {
			name     string
			priority int
			arrived  time.Time
		}{{"late", 1, begin.Add(2)}, {"urgent", 0, begin.Add(3)}, {"early", 1, begin.Add(1)}} {
			go func() {
				if table.Wait(t.Context(), "app", tc.priority, tc.arrived, retryInterval/2) {
					order <- tc.name
				}
			}()
		}
		synctest.Wait()
		for _, want := range []string{"urgent", "early", "late"} {
			table.WakeNext("app")
			synctest.Wait()
			c.Check(<-order, qt.Equals, want)
		}
	})
}

// TestQueueOldest guards against starvation: every sixth wake-up goes to the oldest request, however urgent
// the others are.
func TestQueueOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		order := make(chan string, oldestEvery)
		wait := func(name string, priority int, age time.Duration) {
			if table.Wait(t.Context(), "app", priority, time.Now().Add(-age), retryInterval/2) {
				order <- name
			}
		}
		for range 2 * oldestEvery {
			go wait("urgent", 0, time.Second)
		}
		go wait("oldest", 9, time.Minute)
		synctest.Wait()
		for n := 1; n <= oldestEvery; n++ {
			table.WakeNext("app")
			synctest.Wait()
			c.Check(<-order == "oldest", qt.Equals, n == oldestEvery, qt.Commentf("wake-up %d", n))
		}
		time.Sleep(retryInterval)
	})
}

// TestQueueLeft checks that a request whose context is cancelled leaves the queue.
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

// TestPrefillTimesOfOneLength checks that prompts of one length, which say nothing of the time of a token, leave the defaults. The rounding of
// the sums must not pass for a difference in length.
func TestPrefillTimesOfOneLength(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var times prefillTimes
		for range 300 {
			times.observe("chat", "large", 7+int(seed), time.Duration(50+random.IntN(100))*time.Millisecond)
			base, perToken := times.estimate("chat", "large")
			c.Assert(perToken, qt.Equals, defaultPerToken, qt.Commentf("seed %d", seed))
			c.Assert(base, qt.Equals, defaultBase)
		}
	}
}
