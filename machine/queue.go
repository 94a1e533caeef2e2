package machine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// kickInterval is the time after which a pool's next waiter tries again although no permit was
	// seen to end here: permits also end at other instances, and limits climb.
	kickInterval = 20 * time.Millisecond
	gapSamples   = 8 // freed permits before the queue predicts its waits
)

// PriorityQueue implements Queue: one bounded queue per pool, each under its own lock. Each freed
// permit wakes one waiter, the one of the highest priority and then of the earliest deadline.
type PriorityQueue struct {
	length  int
	longest time.Duration

	mu    sync.Mutex
	pools map[string]*poolQueue
}

var _ Queue = (*PriorityQueue)(nil)

// NewQueue returns an empty queue.
func NewQueue(settings Settings) *PriorityQueue {
	return &PriorityQueue{
		length:  settings.QueueLength,
		longest: millis(settings.QueueWaitMS),
		pools:   make(map[string]*poolQueue),
	}
}

// poolQueue holds the waiters of one pool.
type poolQueue struct {
	mu      sync.Mutex
	waiters waiters
	arrived uint64
	kicking bool // a kick is scheduled
	freedAt time.Time
	freed   int
	gap     time.Duration // smoothed time between two freed permits while requests waited
}

// waiter is one waiting request. woken is closed with refusal set or nil.
type waiter struct {
	priority int
	deadline time.Time
	arrival  uint64
	woken    chan struct{}
	refusal  *verdict.Refusal
	at       int // position in the heap; -1 once out
}

// before orders waiters: by priority, then by deadline, then by arrival.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

// waiters is a heap with the next one to wake on top.
type waiters []*waiter

var _ heap.Interface = (*waiters)(nil)

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].at, w[j].at = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	one := x.(*waiter)
	one.at = len(*w)
	*w = append(*w, one)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	last.at = -1
	return last
}

// Wait implements Queue.
func (q *PriorityQueue) Wait(ctx context.Context, pool string, priority int, deadline time.Time) *verdict.Refusal {
	if err := ctx.Err(); err != nil {
		return gone(err)
	}
	now := time.Now()
	if !deadline.After(now) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed before the request could start")
	}
	queue := q.pool(pool)
	one := &waiter{priority: priority, deadline: deadline, woken: make(chan struct{})}
	if refusal := queue.enter(one, q.length, now); refusal != nil {
		return refusal
	}
	return q.wait(ctx, queue, one, now)
}

func (q *PriorityQueue) wait(ctx context.Context, queue *poolQueue, one *waiter, now time.Time) *verdict.Refusal {
	limit := min(q.longest, one.deadline.Sub(now))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-one.woken:
		return one.refusal
	case <-ctx.Done():
		if queue.leave(one) {
			return gone(ctx.Err())
		}
		queue.pass() // woken and gone at once: the next one takes its turn
		return gone(ctx.Err())
	case <-timer.C:
	}
	if !queue.leave(one) {
		return one.refusal
	}
	if limit == q.longest {
		return verdict.Refuse(verdict.QueueTimeout, "no endpoint became free within %s", q.longest)
	}
	return verdict.Refuse(verdict.DeadlineExceeded, "no endpoint became free before the deadline")
}

// gone refuses a request whose caller no longer waits.
func gone(err error) *verdict.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed while the request waited")
	}
	return verdict.Refuse(verdict.CallerGone, "the caller left while the request waited")
}

// Freed wakes the pool's next waiter.
func (q *PriorityQueue) Freed(pool string) { q.pool(pool).free(time.Now()) }

// Waiting returns the number of waiting requests of a pool.
func (q *PriorityQueue) Waiting(pool string) int {
	queue := q.pool(pool)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.waiters)
}

func (q *PriorityQueue) pool(name string) *poolQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.pools[name]
	if queue == nil {
		queue = &poolQueue{}
		q.pools[name] = queue
	}
	return queue
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
		if !one.before(last) {
			return verdict.Refuse(verdict.QueueFull, "%d requests wait already", length)
		}
		heap.Remove(&p.waiters, last.at)
		last.refusal = verdict.Refuse(verdict.ShedOverload, "a more urgent request took the place in the queue")
		close(last.woken)
	}
	heap.Push(&p.waiters, one)
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
		one := heap.Pop(&p.waiters).(*waiter)
		close(one.woken)
	}
}

// expected predicts the wait from the number of waiters ahead and the pace of freed permits.
func (p *poolQueue) expected(one *waiter) (time.Duration, bool) {
	if p.freed < gapSamples {
		return 0, false
	}
	ahead := 0
	for _, other := range p.waiters {
		if other.before(one) {
			ahead++
		}
	}
	return time.Duration(ahead) * p.gap, true
}

// last returns the least important waiter.
func (p *poolQueue) last() *waiter {
	last := p.waiters[0]
	for _, one := range p.waiters {
		if last.before(one) {
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
	heap.Remove(&p.waiters, one.at)
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
