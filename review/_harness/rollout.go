package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	rolloutTime   = 16 * time.Second // duration_s of both orders
	secondOrderIn = time.Second      // after the first roll-out was reverted
	drainsIn      = 9 * time.Second  // after it: the engines of the reverted version drain
	rollbackTime  = 5 * time.Second  // rollback_ms
	badAnswers    = 50               // of EXPOSURE
	soundWork     = 60 * time.Millisecond
	slowness      = 8 // how many times longer half of v2's answers take
	callers       = 80
	callerPause   = 200 * time.Millisecond
)

// versionCounts counts the requests of each version's engines and keeps the times that EXPOSURE needs.
type versionCounts struct {
	mu      sync.Mutex
	sentAt  map[string]time.Time // by request, at the client
	ran     map[string]int       // by version, since the last summary
	ranBad  int                  // requests that the bad version has begun
	bad     int                  // slow answers of the bad version
	lastBad time.Time            // of the 50th
	late    int                  // requests at the bad version that were sent later than rollbackTime after it
}

// playReverted rolls out a bad version, v2, until the instances revert it, and then a good one, v3, while the engines of v2
// are still registered. Without trouble there is no second order.
func playReverted(p *play) bool {
	p.configure()
	counts := &versionCounts{sentAt: map[string]time.Time{}, ran: map[string]int{}}
	handle := func(e *engine, x *exchange) { counts.run(p, e, x) }
	start := func(version string) (engines []*engine) {
		for _, zone := range []string{"a", "b"} {
			engines = append(engines, p.newVersion("i-"+version+zone, "booking-app", "zone-"+zone, version, 16, handle))
		}
		return engines
	}
	start("v1")
	fronts := []*instance{p.newInstance("front-1", "zone-a"), p.newInstance("front-2", "zone-b")}
	for _, front := range fronts {
		front.start()
	}
	for _, front := range fronts {
		front.awaitReady()
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { counts.call(p, fronts[n%len(fronts)].callers, n, stop) })
	}
	time.Sleep(2 * time.Second)
	p.order("v2")
	ending := start("v2")
	if !p.awaitStatus("reverted", "v2", 2*rolloutTime) {
		p.end(exitFailed, "the bad version was not reverted")
	}
	reverted := time.Now()
	if p.trouble {
		time.Sleep(secondOrderIn)
		p.order("v3")
		start("v3")
	}
	for time.Since(reverted) < drainsIn {
		time.Sleep(time.Second)
		counts.summary(p)
	}
	for _, e := range ending {
		e.drain()
	}
	p.note("the engines of v2 drain")
	time.Sleep(2 * time.Second)
	counts.summary(p)
	close(stop)
	group.Wait()
	counts.mu.Lock()
	defer counts.mu.Unlock()
	p.note("v2 gave %d bad answers; %d requests reached it that were sent later than %v after the %dth", counts.bad, counts.late, rollbackTime, badAnswers)
	if counts.late > 0 {
		p.note("EXPOSURE: a bad version gets requests later than rollback_ms after its %dth bad answer", badAnswers)
		return false
	}
	return true
}

// order writes a roll-out order as the operator does.
func (p *play) order(version string) {
	p.store.put("op/rollout/booking-app", object{"service": "booking-app", "target": version, "duration_s": rolloutTime.Seconds()})
	p.note("the operator orders %s", version)
}

func (p *play) awaitStatus(state, target string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		p.store.mu.Lock()
		value := string(p.store.items["status/rollout/booking-app"].Value)
		p.store.mu.Unlock()
		if strings.Contains(value, `"`+state+`"`) && strings.Contains(value, `"`+target+`"`) {
			p.note("status/rollout/booking-app: %s", value)
			return true
		}
	}
	return false
}

// run is an engine's work on a request. Every second answer of v2 is slow.
func (c *versionCounts) run(p *play, e *engine, x *exchange) {
	c.mu.Lock()
	c.ran[e.version]++
	sentAt := c.sentAt[x.id]
	work, bad := soundWork, false
	if e.version == "v2" {
		c.ranBad++
		if bad = c.ranBad%2 == 1; bad {
			work *= slowness
		}
		if !c.lastBad.IsZero() && sentAt.Sub(c.lastBad) > rollbackTime {
			c.late++
			if c.late <= 20 {
				p.note("engine %s of v2 runs %s, sent %v after the %dth bad answer", e.id, x.id, sentAt.Sub(c.lastBad).Round(time.Millisecond), badAnswers)
			}
		}
	}
	c.mu.Unlock()
	time.Sleep(work)
	x.write(200, e.stamp(), "booked "+x.id)
	if !bad {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bad++; c.bad == badAnswers {
		c.lastBad = time.Now()
		p.note("v2 has given its %dth bad answer", badAnswers)
	}
}

// summary notes how many requests each version has run since the last summary.
func (c *versionCounts) summary(p *play) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.note("requests run since the last such line: v1 %d, v2 %d, v3 %d; bad answers of v2 so far: %d", c.ran["v1"], c.ran["v2"], c.ran["v3"], c.bad)
	for _, version := range []string{"v1", "v2", "v3"} {
		c.ran[version] = 0
	}
}

// call sends bookings on one connection until stop is closed.
func (c *versionCounts) call(p *play, address string, caller int, stop chan struct{}) {
	connection := &client{address: address, quiet: true}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(callerPause):
		}
		id := fmt.Sprintf("booking-%d-%d", caller, n)
		c.mu.Lock()
		c.sentAt[id] = time.Now()
		c.mu.Unlock()
		connection.do(p, "POST", "/booking/x", id, bookingTimeout, "", "a visit")
	}
}
