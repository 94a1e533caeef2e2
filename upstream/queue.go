package upstream

import (
	"context"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/waitheap"
)

// oldestEvery is the number of wake-ups of which one goes to the oldest request; the others go to the
// most urgent one. It keeps less urgent requests from starving while urgent ones fill all endpoints.
const oldestEvery = 6

// queue holds the requests that wait for capacity at a service's endpoints, the most urgent first.
type queue struct {
	mu       sync.Mutex
	waiters  waitheap.Heap[*waiter]
	dequeued int
	drain    drain
}

// next removes and returns the request to wake next. The caller holds the lock; the queue must not be
// empty.
func (q *queue) next() *waiter {
	q.dequeued++
	if q.dequeued%oldestEvery != 0 {
		return q.waiters.Next()
	}
	return q.waiters.Remove(q.oldest())
}

type waiter struct {
	priority int       // 0 is the most urgent
	arrived  time.Time // of the request; older ones go first
	index    int       // in the heap; -1 once removed
	ready    chan struct{}
}

var _ waitheap.Waiter[*waiter] = (*waiter)(nil)

// Before implements waitheap.Waiter.
func (w *waiter) Before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrived.Before(other.arrived)
}

// SetIndex implements waitheap.Waiter.
func (w *waiter) SetIndex(index int) { w.index = index }

// oldest returns the index of the request that arrived first. The caller holds the lock; the queue must
// not be empty.
func (q *queue) oldest() int {
	oldest := 0
	for i, w := range q.waiters {
		if w.arrived.Before(q.waiters[oldest].arrived) {
			oldest = i
		}
	}
	return oldest
}

func (t *Table) queue(service string) *queue {
	q, ok := t.queues.Load(service)
	if !ok {
		q, _ = t.queues.LoadOrStore(service, &queue{})
	}
	return q.(*queue)
}

// Waiting returns the number of requests that wait for the service.
func (t *Table) Waiting(service string) int {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// Wait blocks until the service may have capacity for the request, and then returns true. It returns
// false if ctx is cancelled or wait elapses first. Other instances do not signal capacity that they
// free, so Wait also returns true after retryInterval.
func (t *Table) Wait(ctx context.Context, service string, priority int, arrived time.Time, wait time.Duration) bool {
	q := t.queue(service)
	w := &waiter{priority: priority, arrived: arrived, ready: make(chan struct{}, 1)}
	q.mu.Lock()
	q.waiters.Add(w)
	q.mu.Unlock()
	timer := time.NewTimer(min(wait, retryInterval))
	defer timer.Stop()
	retry := false
	select {
	case <-w.ready:
		retry = true
	case <-timer.C:
		retry = wait > retryInterval
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		q.waiters.Remove(w.index)
	}
	return retry
}

// retryInterval is the longest time that a waiting request goes without retrying to reserve capacity. It
// is of the order of the gateway's exchange interval (daemon.GatewaySettings.Exchange), at which the loads
// of other instances are updated.
const retryInterval = 100 * time.Millisecond

// recordEnd records that a request of the service was completed.
func (t *Table) recordEnd(service string, now time.Time) {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drain.record(now)
}

// WakeNext wakes one request that waits for the service.
func (t *Table) WakeNext(service string) {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return
	}
	q.next().ready <- struct{}{}
}
