// Package waitheap is a heap of waiting requests that know their place in it, so that any of them can be
// taken out.
package waitheap

import "container/heap"

// Waiter is a waiting request.
type Waiter[T any] interface {
	// Before says whether the request's turn comes before the other's.
	Before(other T) bool
	// Place tells the request its index in the heap; -1 once it is out.
	Place(index int)
}

// Heap holds the one whose turn is next at index 0. It is used with container/heap.
type Heap[T Waiter[T]] []T

// Len implements heap.Interface.
func (h Heap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[T]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Place(i)
	h[j].Place(j)
}

// Push implements heap.Interface.
func (h *Heap[T]) Push(x any) {
	one := x.(T)
	one.Place(len(*h))
	*h = append(*h, one)
}

// Pop implements heap.Interface.
func (h *Heap[T]) Pop() any {
	last := len(*h) - 1
	one := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	one.Place(-1)
	return one
}

// Add puts a request in.
func (h *Heap[T]) Add(one T) { heap.Push(h, one) }

// Next takes out the request whose turn it is. The heap must not be empty.
func (h *Heap[T]) Next() T { return heap.Pop(h).(T) }

// Take takes out the request at an index.
func (h *Heap[T]) Take(index int) T { return heap.Remove(h, index).(T) }
