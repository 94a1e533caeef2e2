package machine_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
)

// TestColdLimitHolds loads six instances before three cold endpoints far beyond what those bear.
// The limit over all instances holds at every moment from the floor to the full limit, every
// instance gets its part of a limit that is smaller than their number, and the endpoints become
// warm.
func TestColdLimitHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 6, 3, 800*time.Millisecond)
		f.load(f.ctx, 40*time.Millisecond, even)
		time.Sleep(8 * time.Second)
		all, least := f.served()
		c.Assert(f.mark(), qt.Equals, 0)
		t.Logf("%d of %d served at the least lucky of six instances", least, all)
		c.Assert(least >= all/6/2, qt.IsTrue, qt.Commentf("%d of %d served at the least lucky of six instances", least, all))
		time.Sleep(20 * time.Second)
		c.Assert(f.mark(), qt.Equals, 0)
		time.Sleep(3 * time.Second)
		c.Assert(f.total(peak), qt.Equals, 3*full)
	})
}

// overshootCase is a fault while endpoints are cold. homes is how many instances may take
// themselves for an endpoint's home at once; bound is how far the requests at an endpoint may then
// exceed its limit times homes.
type overshootCase struct {
	name         string
	service      time.Duration
	fault        func(f *fleet)
	homes, bound int
}

// suspicion is how long peers take to drop an instance that does not answer.
const suspicion = 3 * time.Second

var overshootCases = []overshootCase{
	{"lists disagree for good", 2 * time.Second, func(f *fleet) {
		f.nodes[0].see(f.without(f.nodes[5], f.nodes[4])...)
		f.nodes[1].see(f.without(f.nodes[3])...)
	}, 2, 0},
	{"an instance starts and is known to itself first", 8 * time.Second, func(f *fleet) {
		late := append(f.without(), machine.Member{ID: "entry-late", Incarnation: "1", Zone: "z", Address: "entry-late"})
		f.start(f.t, late[6], late)
		f.list()
		time.Sleep(time.Second) // the exchange's interval
		for _, n := range f.nodes {
			n.see(late...)
		}
	}, 1, 0},
	{"home killed", 8 * time.Second, func(f *fleet) {
		killed := f.homeOf(f.endpoints[0])
		killed.stop()
		f.network.Remove(killed.self.Address)
		time.Sleep(suspicion)
		for _, n := range f.nodes {
			n.see(f.without(killed)...)
		}
	}, 1, 0},
	{"home paused with long requests in flight", 12 * time.Second, func(f *fleet) {
		paused := f.homeOf(f.endpoints[0])
		paused.pause()
		time.Sleep(suspicion)
		for _, n := range f.nodes {
			if n != paused {
				n.see(f.without(paused)...)
			}
		}
		time.Sleep(10 * time.Second)
		paused.unpause()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			n.see(f.without()...)
		}
	}, 1, cold},
	{"home cut off but serving", 2 * time.Second, func(f *fleet) {
		cutOff := f.homeOf(f.endpoints[0])
		id := cutOff.self.Address
		f.network.Cut(func(from, to string) bool { return (from == id) != (to == id) })
		time.Sleep(suspicion)
		for _, n := range f.nodes {
			if n != cutOff {
				n.see(f.without(cutOff)...)
			}
		}
		cutOff.see(cutOff.self)
		time.Sleep(15 * time.Second)
		f.network.Cut(nil)
		for _, n := range f.nodes {
			n.see(f.without()...)
		}
	}, 1, full / 6}, // slots of the one that came back, in flight elsewhere
}

// TestColdOvershoot induces each fault at the floor and wants the overshoot within its bound, and
// none once the fault is over.
func TestColdOvershoot(t *testing.T) {
	for _, one := range overshootCases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 6, 3, one.service)
				for _, e := range f.endpoints {
					e.homes = one.homes
				}
				f.load(f.ctx, 200*time.Millisecond, even)
				time.Sleep(4 * time.Second)
				one.fault(f)
				time.Sleep(20 * time.Second)
				over := f.mark()
				t.Logf("overshoot %d, bound %d, served %d", over, one.bound, f.total(finished))
				c.Assert(over <= one.bound, qt.IsTrue, qt.Commentf("overshoot %d, bound %d", over, one.bound))
				for _, n := range f.nodes {
					n.see(f.without()...)
				}
				time.Sleep(2 * one.service)
				f.mark()
				time.Sleep(20 * time.Second)
				c.Assert(f.mark(), qt.Equals, 0)
			})
		})
	}
}

// warm brings the fleet to warm endpoints under load.
func warm(c *qt.C, f *fleet) {
	f.load(f.ctx, 40*time.Millisecond, even)
	time.Sleep(25 * time.Second)
	f.mark()
	time.Sleep(3 * time.Second)
	c.Assert(f.total(peak), qt.Equals, len(f.endpoints)*full)
}

// TestPoolRestarts restarts all endpoints of a pool at once under load, once through a time of
// refused connections and once without any warning. After the notice that the lost connections
// give, no endpoint gets more than it can bear, and the pool warms up again.
func TestPoolRestarts(t *testing.T) {
	for name, refused := range map[string]bool{"refusing for two seconds": true, "without warning": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 6, 3, 800*time.Millisecond)
				warm(c, f)
				for _, e := range f.endpoints {
					e.restart(refused)
				}
				time.Sleep(2 * time.Second)
				for _, e := range f.endpoints {
					e.up()
				}
				time.Sleep(8 * time.Second)
				over := f.mark()
				t.Logf("overshoot %d", over)
				c.Assert(over, qt.Equals, 0)
				time.Sleep(22 * time.Second)
				f.mark()
				time.Sleep(3 * time.Second)
				c.Assert(f.total(peak), qt.Equals, 3*full)
			})
		})
	}
}

// TestLeaving lets an endpoint leave by each source and wants no new request at it from any
// instance after the bound, not even from one that had no request there meanwhile.
func TestLeaving(t *testing.T) {
	const bound = 3 * time.Second
	sources := map[string]func(f *fleet, e *endpoint){
		"list": func(f *fleet, e *endpoint) {
			e.state = infra.StateLeaving
			f.list()
		},
		"own word": func(_ *fleet, e *endpoint) {
			e.mu.Lock()
			e.leaving = true
			e.mu.Unlock()
		},
		"refused connections": func(_ *fleet, e *endpoint) { e.restart(true) },
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 6, 3, 800*time.Millisecond)
				warm(c, f)
				leaving := f.endpoints[1]
				f.nodes[5].idle.Store(true) // learns nothing from requests of its own
				time.Sleep(12 * time.Second)
				leave(f, leaving)
				time.Sleep(bound)
				f.nodes[5].idle.Store(false)
				before := starts(leaving)
				attempts := f.attempts(leaving)
				time.Sleep(10 * time.Second)
				c.Assert(starts(leaving), qt.Equals, before)
				c.Assert(f.attempts(leaving), qt.Equals, attempts)
				c.Assert(f.total(starts) > before, qt.IsTrue)
			})
		})
	}
}

// attempts counts the permits taken for an endpoint so far.
func (f *fleet) attempts(e *endpoint) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts
}

// TestQuietRestarts restarts all endpoints while no request is in flight: once while their zone is
// out of service, once in a long idle time, after which their first answers say so. The load then
// comes back at once.
func TestQuietRestarts(t *testing.T) {
	tests := []struct {
		name  string
		out   bool
		bound int
	}{
		{"while the zone is out", true, 0},
		{"while idle", false, 6 - cold}, // one request from each instance
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 6, 3, 800*time.Millisecond)
				warm(c, f)
				f.idle(true)
				in := f.snapshot
				if test.out {
					f.snapshot = in.Restrict(contractOut("z"))
				}
				f.list()
				time.Sleep(75 * time.Second)
				for _, e := range f.endpoints {
					e.restart(false)
					e.restarted = !test.out
				}
				f.snapshot = in
				f.list()
				f.idle(false)
				time.Sleep(10 * time.Second)
				over := f.mark()
				t.Logf("overshoot %d, bound %d", over, test.bound)
				c.Assert(over <= test.bound, qt.IsTrue, qt.Commentf("overshoot %d", over))
				time.Sleep(20 * time.Second)
				f.mark()
				time.Sleep(3 * time.Second)
				c.Assert(f.total(peak), qt.Equals, 3*full)
			})
		})
	}
}

// idle stops or resumes the requests to all nodes.
func (f *fleet) idle(idle bool) {
	for _, n := range f.nodes {
		n.idle.Store(idle)
	}
}

// TestHomeReturns gives an endpoint a second home while the first one is cut off or paused, and
// lets that one return, knowing nothing of the permits given meanwhile, before the others see it.
func TestHomeReturns(t *testing.T) {
	for name, paused := range map[string]bool{"from a partition": false, "from a pause": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, 4, 30*time.Second)
				time.Sleep(4 * time.Second)
				home := f.homeOf(f.endpoints[0])
				id := home.self.Address
				home.idle.Store(true)
				if paused {
					home.pause()
				} else {
					f.network.Cut(func(from, to string) bool { return (from == id) != (to == id) })
					home.see(home.self)
				}
				for _, n := range f.nodes {
					if n != home {
						n.see(f.without(home)...)
					}
				}
				time.Sleep(suspicion)
				f.load(f.ctx, 100*time.Millisecond, even)
				time.Sleep(suspicion)
				qt.Assert(t, f.total(starts) >= len(f.endpoints), qt.IsTrue) // the second homes serve
				f.network.Cut(nil)
				if paused {
					home.unpause()
				}
				home.idle.Store(false)
				home.see(f.without()...)
				time.Sleep(time.Second)
				for _, n := range f.nodes {
					n.see(f.without()...)
				}
				time.Sleep(8 * time.Second)
				qt.Assert(t, f.mark(), qt.Equals, 0)
			})
		})
	}
}
