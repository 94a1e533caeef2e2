package machine

import (
	"context"
	"errors"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// PriorityQueue implements Queue: one bounded queue per pool, each under its own lock. Each freed
// permit wakes one waiter, the one of the highest priority and then of the earliest deadline.
type PriorityQueue struct {
	length  int
	maxWait time.Duration

	mu    sync.Mutex
	pools map[string]*poolQueue
}

var _ Queue = (*PriorityQueue)(nil)

// NewPriorityQueue returns an empty queue.
func NewPriorityQueue(settings Settings) *PriorityQueue {
	return &PriorityQueue{
		length:  settings.QueueLength,
		maxWait: millis(settings.QueueWaitMS),
		pools:   make(map[string]*poolQueue),
	}
}

// Wait implements Queue.
func (q *PriorityQueue) Wait(ctx context.Context, pool string, priority int, deadline time.Time) *verdict.Refusal {
	if err := ctx.Err(); err != nil {
		return refuseGone(err)
	}
	now := time.Now()
	if !deadline.After(now) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed before the request could start")
	}
	queue := q.pool(pool)
	w := &waiter{priority: priority, deadline: deadline, woken: make(chan struct{})}
	if refusal := queue.enqueue(w, q.length, now); refusal != nil {
		return refusal
	}
	return q.wait(ctx, queue, w, now)
}

func (q *PriorityQueue) wait(ctx context.Context, queue *poolQueue, w *waiter, now time.Time) *verdict.Refusal {
	limit := min(q.maxWait, w.deadline.Sub(now))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.woken:
		return w.refusal
	case <-ctx.Done():
		if queue.remove(w) {
			return refuseGone(ctx.Err())
		}
		queue.forwardWake() // woken just as its caller left: the next waiter takes the permit
		return refuseGone(ctx.Err())
	case <-timer.C:
	}
	if !queue.remove(w) {
		return w.refusal
	}
	if limit == q.maxWait {
		return verdict.Refuse(verdict.QueueTimeout, "no endpoint became free within %s", q.maxWait)
	}
	return verdict.Refuse(verdict.DeadlineExceeded, "no endpoint became free before the deadline")
}

// refuseGone returns the refusal of a request whose deadline passed or whose caller left.
func refuseGone(err error) *verdict.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the deadline passed while the request waited")
	}
	return verdict.Refuse(verdict.CallerGone, "the caller left while the request waited")
}

// PermitFreed wakes the pool's next waiter.
func (q *PriorityQueue) PermitFreed(pool string) { q.pool(pool).permitFreed(time.Now()) }

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
