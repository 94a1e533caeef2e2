// Package experiment compares the router's policies with baselines on the same arrivals and faults. It
// is a discrete-event simulation with simplified engines and instances. Its results must depend on the seed
// only, not on wall-clock time or map order.
package experiment

import (
	"container/heap"
	"time"
)

// loop is the event loop of a simulation. It runs events in order of virtual time; events at the same
// time run in the order in which they were added.
type loop struct {
	now    time.Duration
	events eventHeap
	added  uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after schedules run at delay from now; a negative delay counts as 0.
func (l *loop) after(delay time.Duration, run func()) {
	l.added++
	heap.Push(&l.events, event{at: l.now + max(delay, 0), order: l.added, run: run})
}

// run runs events until none are left.
func (l *loop) run() {
	for l.events.Len() > 0 {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.run()
	}
}

// clock returns the virtual time as a wall-clock time, epoch plus now.
func (l *loop) clock() time.Time { return epoch.Add(l.now) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
