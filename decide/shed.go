package decide

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Range of Priority.
const (
	MinPriority = -9
	MaxPriority = 18
)

// QueueState is the load of a pool without free capacity, as one instance sees it.
type QueueState struct {
	// Waiting is the number of queued requests with at least the request's own priority, MaxWaiting
	// the queue's capacity.
	Waiting, MaxWaiting int
	// Concurrent is the number of requests that the pool runs at a time for this instance,
	// ServiceTime the time that one of them takes.
	Concurrent  int
	ServiceTime time.Duration
}

// Priority returns a request's queueing priority, the sum of the customer's and the route's. Higher
// priorities are served first.
func Priority(customer *contract.Customer, route *contract.Route) int {
	return customer.Priority + route.Priority
}

// Shed refuses a request that should not be queued: because it would miss its deadline behind the
// requests ahead of it, or because the queue is too full for its priority. It returns nil if the request
// may wait; a refusal has the verdict NotRun. The lowest priority may fill half of the queue and the
// highest all of it, so that a burst of low-priority requests leaves capacity for the others.
func Shed(request *Request, queue QueueState, now time.Time) *verdict.Refusal {
	rounds := float64(queue.Waiting+1) / float64(max(queue.Concurrent, 1))
	wait := time.Duration(rounds * float64(queue.ServiceTime))
	if now.Add(wait).After(request.Deadline) {
		refusal := verdict.Refuse(verdict.ShedOverload, "the pool is overloaded and the deadline would pass")
		refusal.RetryAfter = wait
		return refusal
	}
	normalized := float64(Priority(request.Customer, request.Route)-MinPriority) / (MaxPriority - MinPriority)
	maxWaiting := (1 + min(max(normalized, 0), 1)) / 2 * float64(queue.MaxWaiting)
	if float64(queue.Waiting) < maxWaiting {
		return nil
	}
	refusal := verdict.Refuse(verdict.QueueFull, "the pool's queue is full for this priority")
	refusal.RetryAfter = wait
	return refusal
}
