package upstream

import (
	"context"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/waitheap"
)

// oldestEvery is how often a free place goes to the oldest request instead of the most urgent one: a
// sixth of the places keeps less urgent requests from starving while urgent ones fill all endpoints.
const oldestEvery = 6

// queue holds the requests that wait for a place at a service's endpoints, the most urgent first.
type queue struct {
	mu      sync.Mutex
	waiters waitheap.Heap[*waiter]
	turns   int
}

// next takes the request out whose turn it is. The caller holds the lock; some request waits.
func (q *queue) next() *waiter {
	q.turns++
	if q.turns%oldestEvery != 0 {
		return q.waiters.Next()
	}
	return q.waiters.Take(q.oldest())
}

type waiter struct {
	priority int
	arrived  time.Time // of the request; older ones go first
	index    int       // in the heap; -1 once removed
	turn     chan struct{}
}

var _ waitheap.Waiter[*waiter] = (*waiter)(nil)

// Before implements waitheap.Waiter.
func (w *waiter) Before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrived.Before(other.arrived)
}

// Place implements waitheap.Waiter.
func (w *waiter) Place(index int) { w.index = index }

// oldest is the index of the request that arrived first. The caller holds the lock; some request waits.
func (q *queue) oldest() int {
	oldest := 0
	for i, one := range q.waiters {
		if one.arrived.Before(q.waiters[oldest].arrived) {
			oldest = i
		}
	}
	return oldest
}

func (t *Table) queue(service string) *queue {
	found, ok := t.queues.Load(service)
	if !ok {
		found, _ = t.queues.LoadOrStore(service, &queue{})
	}
	return found.(*queue)
}

// Waiting returns the number of requests that wait for the service.
func (t *Table) Waiting(service string) int {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// Wait returns true when the service may have a place for the request, and false if ctx or the wait
// ended first. Places freed at other instances are not heard of, so a waiter's turn also comes after
// retryPlace.
func (t *Table) Wait(ctx context.Context, service string, priority int, arrived time.Time, wait time.Duration) bool {
	q := t.queue(service)
	one := &waiter{priority: priority, arrived: arrived, turn: make(chan struct{}, 1)}
	q.mu.Lock()
	q.waiters.Add(one)
	q.mu.Unlock()
	timer := time.NewTimer(min(wait, retryPlace))
	defer timer.Stop()
	served := false
	select {
	case <-one.turn:
		served = true
	case <-timer.C:
		served = wait > retryPlace
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if one.index >= 0 {
		q.waiters.Take(one.index)
	}
	return served
}

// retryPlace is how long a waiting request goes at most without looking for a place: the order of
// the exchange interval, after which the load of other instances is known anew.
const retryPlace = 100 * time.Millisecond

// Freed wakes the first request that waits for the service.
func (t *Table) Freed(service string) {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return
	}
	q.next().turn <- struct{}{}
}
