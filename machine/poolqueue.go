package machine

import (
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/waitheap"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// kickInterval is the time after which a pool's next waiter tries again although no permit was
	// seen to end here: permits also end at other instances, and limits climb.
	kickInterval = 20 * time.Millisecond
	gapSamples   = 8 // freed permits before the queue predicts its waits
)

// poolQueue holds the waiters of one pool.
type poolQueue struct {
	mu      sync.Mutex
	waiters waitheap.Heap[*waiter]
	arrived uint64
	kicking bool // a kick is scheduled
	freedAt time.Time
	freed   int
	gap     time.Duration // smoothed time between two freed permits while requests waited
}

// enter adds a waiter, unless its deadline cannot be met or the queue is full of others at least
// as important; else the least important one makes room.
func (p *poolQueue) enter(one *waiter, length int, now time.Time) *verdict.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived++
	one.arrival = p.arrived
	if expected, known := p.expected(one); known && now.Add(expected).After(one.deadline) {
		refusal := verdict.Refuse(verdict.ShedOverload, "the queue would take about %s, longer than the deadline allows", expected.Round(time.Millisecond))
		refusal.RetryAfter = expected
		return refusal
	}
	if len(p.waiters) >= length {
		last := p.last()
		if !one.Before(last) {
			return verdict.Refuse(verdict.QueueFull, "%d requests wait already", length)
		}
		p.waiters.Take(last.at)
		last.refusal = verdict.Refuse(verdict.ShedOverload, "a more urgent request took the place in the queue")
		close(last.woken)
	}
	p.waiters.Add(one)
	p.scheduleKick()
	return nil
}

func (p *poolQueue) scheduleKick() {
	if !p.kicking && len(p.waiters) > 0 {
		p.kicking = true
		time.AfterFunc(kickInterval, p.kick)
	}
}

// kick lets the next waiter try.
func (p *poolQueue) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kicking = false
	p.wake()
	p.scheduleKick()
}

// pass hands a wake-up that its receiver could not use to the next waiter.
func (p *poolQueue) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
}

func (p *poolQueue) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters.Next().woken)
	}
}

// expected predicts the wait from the number of waiters ahead and the pace of freed permits.
func (p *poolQueue) expected(one *waiter) (time.Duration, bool) {
	if p.freed < gapSamples {
		return 0, false
	}
	ahead := 0
	for _, other := range p.waiters {
		if other.Before(one) {
			ahead++
		}
	}
	return time.Duration(ahead) * p.gap, true
}

// last returns the least important waiter.
func (p *poolQueue) last() *waiter {
	last := p.waiters[0]
	for _, one := range p.waiters {
		if last.Before(one) {
			last = one
		}
	}
	return last
}

// leave takes a waiter out; false if it is out already.
func (p *poolQueue) leave(one *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one.at < 0 {
		return false
	}
	p.waiters.Take(one.at)
	return true
}

// free wakes the next waiter and measures the pace.
func (p *poolQueue) free(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) == 0 {
		p.freedAt = time.Time{} // the pace of an idle pool says nothing about waiting
		return
	}
	if !p.freedAt.IsZero() {
		p.freed++
		p.gap += time.Duration(smoothing * float64(now.Sub(p.freedAt)-p.gap))
	}
	p.freedAt = now
	p.wake()
}
