package experiment

import "container/heap"

// waitingHeap holds requests by priority, then by deadline.
type waitingHeap struct{ items askHeap }

func (w *waitingHeap) Len() int { return len(w.items) }

func (w *waitingHeap) first() *ask { return w.items[0] }

func (w *waitingHeap) drop() { heap.Pop(&w.items) }

func (w *waitingHeap) add(one *ask) { heap.Push(&w.items, one) }

// atLeast is the number of requests with at least the priority.
func (w *waitingHeap) atLeast(priority int) int {
	n := 0
	for _, one := range w.items {
		if one.request.Customer.Priority >= priority {
			n++
		}
	}
	return n
}

type askHeap []*ask

var _ heap.Interface = (*askHeap)(nil)

// Len implements heap.Interface.
func (h askHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h askHeap) Less(i, j int) bool {
	a, b := h[i].request.Customer.Priority, h[j].request.Customer.Priority
	if a != b {
		return a > b
	}
	return h[i].deadline < h[j].deadline
}

// Swap implements heap.Interface.
func (h askHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *askHeap) Push(x any) { *h = append(*h, x.(*ask)) }

// Pop implements heap.Interface.
func (h *askHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
