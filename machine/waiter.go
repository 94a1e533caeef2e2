package machine

import (
	"container/heap"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

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
