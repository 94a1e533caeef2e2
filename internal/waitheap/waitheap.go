// Package waitheap provides a priority queue of waiting requests. Each request stores its index in the
// heap, so that a request that is cancelled can be removed from the middle.
package waitheap

import "container/heap"

// Waiter is a waiting request.
type Waiter[T any] interface {
	// Before reports whether the request is to be served before the other one.
	Before(other T) bool
	// SetIndex stores the request's index in the heap; -1 means that it was removed.
	SetIndex(index int)
}

// Heap is a min-heap ordered by Before; index 0 is served next. Len, Less, Swap, Push and Pop are for
// container/heap only. It is not safe for concurrent use.
type Heap[T Waiter[T]] []T

// Len implements heap.Interface.
func (h Heap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[T]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetIndex(i)
	h[j].SetIndex(j)
}

// Push implements heap.Interface.
func (h *Heap[T]) Push(x any) {
	waiter := x.(T)
	waiter.SetIndex(len(*h))
	*h = append(*h, waiter)
}

// Pop implements heap.Interface.
func (h *Heap[T]) Pop() any {
	last := len(*h) - 1
	waiter := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	waiter.SetIndex(-1)
	return waiter
}

// Add inserts a request.
func (h *Heap[T]) Add(waiter T) { heap.Push(h, waiter) }

// Next removes and returns the request that is to be served first. The heap must not be empty.
func (h *Heap[T]) Next() T { return heap.Pop(h).(T) }

// Remove removes and returns the request at an index.
func (h *Heap[T]) Remove(index int) T { return heap.Remove(h, index).(T) }
