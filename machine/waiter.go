package machine

import (
	"time"

	"plumbarrow.example/plumbarrow/internal/waitheap"
	"plumbarrow.example/plumbarrow/verdict"
)

// waiter is one waiting request. woken is closed once it may try again or, with refusal set, is
// refused.
type waiter struct {
	priority int
	deadline time.Time
	arrival  uint64
	woken    chan struct{}
	refusal  *verdict.Refusal
	index    int // in the heap; -1 once out
}

// Before implements waitheap.Waiter: by priority, then by deadline, then by arrival.
func (w *waiter) Before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.arrival < other.arrival
}

// SetIndex implements waitheap.Waiter.
func (w *waiter) SetIndex(index int) { w.index = index }

var _ waitheap.Waiter[*waiter] = (*waiter)(nil)
