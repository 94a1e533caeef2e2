package machine_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
)

// TestColdLimitHolds sends the load of six instances, far above the limits, to three cold
// endpoints. The limit over all instances holds at every moment until it is full, every instance
// gets its part of a limit that is smaller than their number, and the endpoints become warm.
func TestColdLimitHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 6, 3, 800*time.Millisecond)
		f.load(f.ctx, 40*time.Millisecond, samePriority)
		time.Sleep(8 * time.Second)
		all, fewest := f.served()
		c.Assert(f.resetPeaks(), qt.Equals, 0)
		t.Logf("%d of %d served by the instance of six that served fewest", fewest, all)
		c.Assert(fewest >= all/6/2, qt.IsTrue, qt.Commentf("%d of %d served by the instance of six that served fewest", fewest, all))
		time.Sleep(20 * time.Second)
		c.Assert(f.resetPeaks(), qt.Equals, 0)
		time.Sleep(3 * time.Second)
		c.Assert(f.total(peak), qt.Equals, 3*full)
	})
}

// overshootCase is a fault while endpoints are cold. homes is how many instances may consider
// themselves home of an endpoint at once; bound is how far its requests in flight may then exceed
// its limit times homes.
type overshootCase struct {
	name         string
	service      time.Duration
	fault        func(f *fleet)
	homes, bound int
}

// suspicionTimeout is how long peers take to drop an instance that does not answer.
const suspicionTimeout = 3 * time.Second

var overshootCases = []overshootCase{
	{"lists disagree for good", 2 * time.Second, func(f *fleet) {
		f.nodes[0].setLive(f.without(f.nodes[5], f.nodes[4])...)
		f.nodes[1].setLive(f.without(f.nodes[3])...)
	}, 2, 0},
	{"an instance starts and is known to itself first", 8 * time.Second, func(f *fleet) {
		late := append(f.without(), machine.Member{ID: "entry-late", Incarnation: "1", Zone: "z", Address: "entry-late"})
		f.start(f.t, late[6], late)
		f.applyList()
		time.Sleep(time.Second) // the exchange's interval
		for _, n := range f.nodes {
			n.setLive(late...)
		}
	}, 1, 0},
	{"home killed", 8 * time.Second, func(f *fleet) {
		killed := f.homeOf(f.endpoints[0])
		killed.stop()
		f.network.Remove(killed.self.Address)
		time.Sleep(suspicionTimeout)
		for _, n := range f.nodes {
			n.setLive(f.without(killed)...)
		}
	}, 1, 0},
	{"home paused with long requests in flight", 12 * time.Second, func(f *fleet) {
		paused := f.homeOf(f.endpoints[0])
		paused.pause()
		time.Sleep(suspicionTimeout)
		for _, n := range f.nodes {
			if n != paused {
				n.setLive(f.without(paused)...)
			}
		}
		time.Sleep(10 * time.Second)
		paused.unpause()
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			n.setLive(f.without()...)
		}
	}, 1, cold},
	{"home cut off but serving", 2 * time.Second, func(f *fleet) {
		cutOff := f.homeOf(f.endpoints[0])
		id := cutOff.self.Address
		f.network.Partition(func(from, to string) bool { return (from == id) != (to == id) })
		time.Sleep(suspicionTimeout)
		for _, n := range f.nodes {
			if n != cutOff {
				n.setLive(f.without(cutOff)...)
			}
		}
		cutOff.setLive(cutOff.self)
		time.Sleep(15 * time.Second)
		f.network.Partition(nil)
		for _, n := range f.nodes {
			n.setLive(f.without()...)
		}
	}, 1, full / 6}, // slots of the instance that rejoined, still used by the others
}

// TestColdOvershoot induces each fault while the endpoints are near their lowest limit. The
// overshoot stays within its bound, and there is none once the fault is over.
func TestColdOvershoot(t *testing.T) {
	for _, one := range overshootCases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 6, 3, one.service)
				for _, e := range f.endpoints {
					e.homes = one.homes
				}
				f.load(f.ctx, 200*time.Millisecond, samePriority)
				time.Sleep(4 * time.Second)
				one.fault(f)
				time.Sleep(20 * time.Second)
				over := f.resetPeaks()
				t.Logf("overshoot %d, bound %d, served %d", over, one.bound, f.total(finished))
				c.Assert(over <= one.bound, qt.IsTrue, qt.Commentf("overshoot %d, bound %d", over, one.bound))
				for _, n := range f.nodes {
					n.setLive(f.without()...)
				}
				time.Sleep(2 * one.service)
				f.resetPeaks()
				time.Sleep(20 * time.Second)
				c.Assert(f.resetPeaks(), qt.Equals, 0)
			})
		})
	}
}

// warm loads the fleet until all its endpoints are warm.
func warm(c *qt.C, f *fleet) {
	f.load(f.ctx, 40*time.Millisecond, samePriority)
	time.Sleep(25 * time.Second)
	f.resetPeaks()
	time.Sleep(3 * time.Second)
	c.Assert(f.total(peak), qt.Equals, len(f.endpoints)*full)
}

// TestPoolRestarts restarts all endpoints of a pool at once under load, with and without a time of
// refused connections. Once lost connections have revealed the restart, no endpoint gets more than
// its limit, and the pool warms up again.
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
				over := f.resetPeaks()
				t.Logf("overshoot %d", over)
				c.Assert(over, qt.Equals, 0)
				time.Sleep(22 * time.Second)
				f.resetPeaks()
				time.Sleep(3 * time.Second)
				c.Assert(f.total(peak), qt.Equals, 3*full)
			})
		})
	}
}

// TestLeaving makes an endpoint leave by each source. After the bound no instance sends it a new
// request, not even one that sent it none meanwhile and so got no answer from it.
func TestLeaving(t *testing.T) {
	const bound = 3 * time.Second
	sources := map[string]func(f *fleet, e *endpoint){
		"list": func(f *fleet, e *endpoint) {
			e.state = infra.StateLeaving
			f.applyList()
		},
		"own report": func(_ *fleet, e *endpoint) {
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

// attempts returns the number of connections tried to an endpoint so far.
func (f *fleet) attempts(e *endpoint) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts
}

// TestQuietRestarts restarts all endpoints while no request is in flight: while their zone is out
// of service, or in a long idle time, after which their first answers report the restart. The load
// then returns at once.
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
					f.snapshot = in.Restrict(zoneOut("z"))
				}
				f.applyList()
				time.Sleep(75 * time.Second)
				for _, e := range f.endpoints {
					e.restart(false)
					e.restarted = !test.out
				}
				f.snapshot = in
				f.applyList()
				f.idle(false)
				time.Sleep(10 * time.Second)
				over := f.resetPeaks()
				t.Logf("overshoot %d, bound %d", over, test.bound)
				c.Assert(over <= test.bound, qt.IsTrue, qt.Commentf("overshoot %d", over))
				time.Sleep(20 * time.Second)
				f.resetPeaks()
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

// TestHomeReturns gives an endpoint a second home while the first one is cut off or paused. The
// first one then returns without the permits granted meanwhile, before the others see it as live,
// and must not exceed the limit with its own grants.
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
					f.network.Partition(func(from, to string) bool { return (from == id) != (to == id) })
					home.setLive(home.self)
				}
				for _, n := range f.nodes {
					if n != home {
						n.setLive(f.without(home)...)
					}
				}
				time.Sleep(suspicionTimeout)
				f.load(f.ctx, 100*time.Millisecond, samePriority)
				time.Sleep(suspicionTimeout)
				qt.Assert(t, f.total(starts) >= len(f.endpoints), qt.IsTrue) // the second homes serve
				f.network.Partition(nil)
				if paused {
					home.unpause()
				}
				home.idle.Store(false)
				home.setLive(f.without()...)
				time.Sleep(time.Second)
				for _, n := range f.nodes {
					n.setLive(f.without()...)
				}
				time.Sleep(8 * time.Second)
				qt.Assert(t, f.resetPeaks(), qt.Equals, 0)
			})
		})
	}
}
