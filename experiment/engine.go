package experiment

import (
	"math/rand/v2"
	"time"
)

// engine is a fake model engine: slots that run requests at a time, a queue before them, and a time
// in which it fails everything at once.
type engine struct {
	loop    *loop
	random  *rand.Rand
	slots   int
	service time.Duration // mean
	running int
	queue   []*call
	failing func(now time.Duration) bool
	// history of what it reports, for readers that lag.
	reports []report
}

// call is one attempt at an engine.
type call struct {
	deadline time.Duration
	begun    func()           // the first byte
	done     func(whole bool) // called once, also for calls that were never begun
}

type report struct {
	at              time.Duration
	running, queued int
}

// take accepts a call. A call whose deadline passes in the queue is dropped, as a cancelled one.
func (e *engine) take(c *call) {
	if e.failing(e.loop.now) {
		e.loop.after(failFast, func() { c.done(false) })
		return
	}
	e.queue = append(e.queue, c)
	e.begin()
}

// begin starts queued calls while slots are free.
func (e *engine) begin() {
	for e.running < e.slots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if e.loop.now > c.deadline {
			c.done(false)
			continue
		}
		e.running++
		c.begun()
		spread := 0.5 + e.random.Float64() // mean 1
		e.loop.after(time.Duration(spread*float64(e.service)), func() {
			e.running--
			c.done(true)
			e.begin()
		})
	}
}

// report notes the present load.
func (e *engine) report() {
	e.reports = append(e.reports, report{e.loop.now, e.running, len(e.queue)})
}

// reported is the newest report that is at least lag old.
func (e *engine) reported(lag time.Duration) report {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].at <= e.loop.now-lag {
			return e.reports[i]
		}
	}
	return report{}
}
