package experiment

import "container/heap"

// requestQueue is a priority queue: highest priority first, then earliest deadline.
type requestQueue struct{ items requestHeap }

func (q *requestQueue) Len() int { return len(q.items) }

func (q *requestQueue) peek() *callerRequest { return q.items[0] }

func (q *requestQueue) pop() { heap.Pop(&q.items) }

func (q *requestQueue) push(req *callerRequest) { heap.Push(&q.items, req) }

// countAtLeast returns the number of requests with at least the given priority.
func (q *requestQueue) countAtLeast(priority int) int {
	n := 0
	for _, req := range q.items {
		if req.request.Customer.Priority >= priority {
			n++
		}
	}
	return n
}

type requestHeap []*callerRequest

var _ heap.Interface = (*requestHeap)(nil)

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool {
	a, b := h[i].request.Customer.Priority, h[j].request.Customer.Priority
	if a != b {
		return a > b
	}
	return h[i].deadline < h[j].deadline
}

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(*callerRequest)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
