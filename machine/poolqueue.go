package machine

import (
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/waitheap"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// retryInterval is the time after which the next waiter of a pool tries again although no
	// permit was freed at this instance: permits are also freed at other instances, and limits
	// grow.
	retryInterval = 20 * time.Millisecond
	gapSamples    = 8 // freed permits before waits are predicted
)

// poolQueue holds the waiters of one pool.
type poolQueue struct {
	mu             sync.Mutex
	waiters        waitheap.Heap[*waiter]
	arrivals       uint64 // requests enqueued so far, the refused ones included
	retryScheduled bool
	freedAt        time.Time     // last freed permit; zero after the queue was empty
	freed          int           // permits freed while requests waited
	meanGap        time.Duration // exponentially weighted time between permits freed while requests waited
}

// enqueue adds a waiter, or refuses it if its predicted wait exceeds its deadline. If the queue is
// full, the less urgent of the new waiter and the least urgent one in the queue is refused.
func (p *poolQueue) enqueue(w *waiter, length int, now time.Time) *verdict.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	w.arrival = p.arrivals
	if expected, known := p.expectedWait(w); known && now.Add(expected).After(w.deadline) {
		refusal := verdict.Refuse(verdict.ShedOverload, "the queue would take about %s, longer than the deadline allows", expected.Round(time.Millisecond))
		refusal.RetryAfter = expected
		return refusal
	}
	if len(p.waiters) >= length {
		last := p.leastUrgent()
		if !w.Before(last) {
			return verdict.Refuse(verdict.QueueFull, "%d requests wait already", length)
		}
		p.waiters.Remove(last.index)
		last.refusal = verdict.Refuse(verdict.ShedOverload, "a more urgent request took the place in the queue")
		close(last.woken)
	}
	p.waiters.Add(w)
	p.scheduleRetry()
	return nil
}

func (p *poolQueue) scheduleRetry() {
	if !p.retryScheduled && len(p.waiters) > 0 {
		p.retryScheduled = true
		time.AfterFunc(retryInterval, p.retryNext)
	}
}

// retryNext wakes the next waiter without a freed permit.
func (p *poolQueue) retryNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryScheduled = false
	p.wake()
	p.scheduleRetry()
}

// forwardWake wakes the next waiter in place of one whose caller left just as it was woken.
func (p *poolQueue) forwardWake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
}

func (p *poolQueue) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters.Next().woken)
	}
}

// expectedWait predicts the wait from the number of waiters ahead and the mean time between freed
// permits; false means that there are too few samples.
func (p *poolQueue) expectedWait(w *waiter) (time.Duration, bool) {
	if p.freed < gapSamples {
		return 0, false
	}
	ahead := 0
	for _, other := range p.waiters {
		if other.Before(w) {
			ahead++
		}
	}
	return time.Duration(ahead) * p.meanGap, true
}

// leastUrgent returns the last waiter in order. There is at least one.
func (p *poolQueue) leastUrgent() *waiter {
	last := p.waiters[0]
	for _, w := range p.waiters {
		if last.Before(w) {
			last = w
		}
	}
	return last
}

// remove takes a waiter out; it returns false if the waiter is out already.
func (p *poolQueue) remove(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.index < 0 {
		return false
	}
	p.waiters.Remove(w.index)
	return true
}

// permitFreed wakes the next waiter and updates the mean time between freed permits.
func (p *poolQueue) permitFreed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 {
		p.freedAt = time.Time{} // gaps while no request waits do not predict a wait
		return
	}
	if !p.freedAt.IsZero() {
		p.freed++
		p.meanGap += time.Duration(ewmaWeight * float64(now.Sub(p.freedAt)-p.meanGap))
	}
	p.freedAt = now
	p.wake()
}
