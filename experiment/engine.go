package experiment

import (
	"math/rand/v2"
	"time"
)

// engine simulates a model engine with slots for concurrent requests, a FIFO queue, and a period in
// which every request fails fast.
type engine struct {
	loop        *loop
	random      *rand.Rand
	slots       int
	meanService time.Duration // mean time in a slot; each call's is drawn uniformly from 0.5 to 1.5 times it
	running     int
	queue       []*call
	failing     func(now time.Duration) bool
	// loadHistory is the history of the load, oldest first, for readers with a lag.
	loadHistory []loadSample
}

// call is one attempt at an engine.
type call struct {
	deadline time.Duration
	started  func()              // called when the call gets a slot
	finished func(complete bool) // called once, also for calls that got no slot
}

type loadSample struct {
	at              time.Duration
	running, queued int
}

// accept queues a call, or fails it while the engine fails. A call whose deadline passes in the queue is
// dropped, as if its caller had cancelled it.
func (e *engine) accept(c *call) {
	if e.failing(e.loop.now) {
		e.loop.after(failureDelay, func() { c.finished(false) })
		return
	}
	e.queue = append(e.queue, c)
	e.startQueued()
}

// startQueued starts queued calls while there are free slots.
func (e *engine) startQueued() {
	for e.running < e.slots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if e.loop.now > c.deadline {
			c.finished(false)
			continue
		}
		e.running++
		c.started()
		spread := 0.5 + e.random.Float64() // mean 1
		e.loop.after(time.Duration(spread*float64(e.meanService)), func() {
			e.running--
			c.finished(true)
			e.startQueued()
		})
	}
}

// recordLoad appends the current load to the history.
func (e *engine) recordLoad() {
	e.loadHistory = append(e.loadHistory, loadSample{e.loop.now, e.running, len(e.queue)})
}

// loadBefore returns the newest report that is at least lag old, zero if there is none.
func (e *engine) loadBefore(lag time.Duration) loadSample {
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if e.loadHistory[i].at <= e.loop.now-lag {
			return e.loadHistory[i]
		}
	}
	return loadSample{}
}
