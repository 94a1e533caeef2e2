package decide

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Priorities of queued requests: the customer's plus the route's.
const (
	MinPriority = -9
	MaxPriority = 18
)

// Pressure is what an instance knows of a full pool.
type Pressure struct {
	// Waiting requests with at least the request's own priority, and the most that may wait.
	Waiting, MaxWaiting int
	// Concurrent requests that the pool runs for this instance, and how long one takes.
	Concurrent int
	Service    time.Duration
}

// Priority is a request's place in queues; higher goes first.
func Priority(customer *contract.Customer, route *contract.Route) int {
	return customer.Priority + route.Priority
}

// Shed says whether to refuse a request now rather than let it wait: when it would miss its deadline
// behind those that go first, or when the queue is too full for its priority. nil means wait; a
// refusal has the verdict NotRun. The lowest priority may fill half of the queue, the highest all of
// it, so that a flood of unimportant requests leaves room for the others.
func Shed(request *Request, pressure Pressure, now time.Time) *verdict.Refusal {
	turns := float64(pressure.Waiting+1) / float64(max(pressure.Concurrent, 1))
	wait := time.Duration(turns * float64(pressure.Service))
	if now.Add(wait).After(request.Deadline) {
		refusal := verdict.Refuse(verdict.ShedOverload, "the pool is overloaded and the deadline would pass")
		refusal.RetryAfter = wait
		return refusal
	}
	rank := float64(Priority(request.Customer, request.Route)-MinPriority) / (MaxPriority - MinPriority)
	allowed := (1 + min(max(rank, 0), 1)) / 2 * float64(pressure.MaxWaiting)
	if float64(pressure.Waiting) < allowed {
		return nil
	}
	refusal := verdict.Refuse(verdict.QueueFull, "the pool's queue is full for this priority")
	refusal.RetryAfter = wait
	return refusal
}
