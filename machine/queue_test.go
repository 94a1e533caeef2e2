package machine_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// waiting is one request that waits in a queue.
type waiting struct {
	id, priority int
	deadline     time.Time
	cancel       context.CancelFunc
}

// ended is the outcome of a wait; an empty reason means that the waiter was woken.
type ended struct {
	ID     int
	Reason verdict.Reason
}

// waits runs Wait calls and collects their outcomes.
type waits struct {
	queue   *machine.PriorityQueue
	running sync.WaitGroup
	mu      sync.Mutex
	ends    []ended
}

func (w *waits) start(one waiting) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	w.running.Go(func() {
		refusal := w.queue.Wait(ctx, "p", one.priority, one.deadline)
		end := ended{ID: one.id}
		if refusal != nil {
			end.Reason = refusal.Reason
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ends = append(w.ends, end)
	})
	synctest.Wait()
	return cancel
}

// take returns the outcomes since the last call.
func (w *waits) take() []ended {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := w.ends
	w.ends = nil
	return ends
}

// step is one event at a queue.
type step struct {
	kind                     int // 0, 1: a request arrives; 2: a permit is freed; 3: a caller leaves
	priority, deadline, left int
}

var steps = rapid.Custom(func(r *rapid.T) step {
	return step{
		kind:     rapid.IntRange(0, 3).Draw(r, "kind"),
		priority: rapid.IntRange(0, 2).Draw(r, "priority"),
		deadline: rapid.IntRange(0, 2).Draw(r, "deadline"),
		left:     rapid.IntRange(0, 100).Draw(r, "left"),
	}
})

// TestQueueOrder compares the queue with a sorted list under random arrivals, freed permits and
// callers that leave: each freed permit wakes exactly one waiter, the most urgent one, and a full
// queue sheds its least urgent waiter.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := rapid.SliceOfN(steps, 1, 40).Draw(r, "steps")
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = compareWithModel(all) })
		if fault != "" {
			r.Fatal(fault)
		}
	})
}

func compareWithModel(all []step) (fault string) {
	const length = 4
	settings := machine.DefaultSettings()
	settings.QueueLength = length
	w := &waits{queue: machine.NewPriorityQueue(settings)}
	start := time.Now()
	var model []waiting
	defer func() {
		for _, one := range model {
			one.cancel()
		}
		w.running.Wait()
	}()
	for id, step := range all {
		var want []ended
		switch {
		case step.kind <= 1:
			one := waiting{id: id, priority: step.priority, deadline: start.Add(time.Minute + time.Duration(step.deadline)*time.Second)}
			one.cancel = w.start(one)
			at, _ := slices.BinarySearchFunc(model, one, byUrgency)
			model = slices.Insert(model, at, one)
			if len(model) > length {
				last := model[length]
				model = model[:length]
				want = []ended{{last.id, verdict.ShedOverload}}
				if last.id == id {
					want[0].Reason = verdict.QueueFull
				}
			}
		case step.kind == 2 && len(model) > 0:
			w.queue.PermitFreed("p")
			want = []ended{{ID: model[0].id}}
			model = model[1:]
		case step.kind == 3 && len(model) > 0:
			at := step.left % len(model)
			model[at].cancel()
			want = []ended{{model[at].id, verdict.CallerGone}}
			model = slices.Delete(model, at, at+1)
		}
		if got := w.take(); !slices.Equal(got, want) {
			return fmt.Sprintf("step %d ended %v, want %v", id, got, want)
		}
	}
	return ""
}

// byUrgency orders as the queue should; equals are in the order of arrival.
func byUrgency(a, b waiting) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline), cmp.Compare(a.id, b.id))
}

// TestQueueDeadlines frees a permit of a pool every 10 ms. A request whose predicted wait exceeds
// its deadline is shed at once, one of higher priority is not, and a request whose deadline has
// passed is refused.
func TestQueueDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &waits{queue: machine.NewPriorityQueue(machine.DefaultSettings())}
		defer w.running.Wait()
		for i := range 200 {
			w.start(waiting{id: i, deadline: time.Now().Add(time.Minute)})
		}
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			w.queue.PermitFreed("p")
		}
		w.take()
		w.start(waiting{id: 1000, deadline: time.Now().Add(50 * time.Millisecond)})
		c.Assert(w.take(), qt.HasLen, 0, qt.Commentf("its deadline is the earliest: it is next"))
		w.start(waiting{id: 1001, deadline: time.Now().Add(time.Hour)})
		c.Assert(w.queue.Waiting("p") > 100, qt.IsTrue)
		w.queue.PermitFreed("p")
		c.Assert(w.take(), qt.DeepEquals, []ended{{ID: 1000}})
		w.start(waiting{id: 1002, priority: -1, deadline: time.Now().Add(300 * time.Millisecond)})
		c.Assert(w.take(), qt.DeepEquals, []ended{{1002, verdict.ShedOverload}})
		w.start(waiting{id: 1003, priority: 1, deadline: time.Now().Add(300 * time.Millisecond)})
		w.queue.PermitFreed("p")
		c.Assert(w.take(), qt.DeepEquals, []ended{{ID: 1003}})
		w.start(waiting{id: 1004, deadline: time.Now()})
		c.Assert(w.take(), qt.DeepEquals, []ended{{1004, verdict.DeadlineExceeded}})
	})
}

// TestZoneLossSheds raises the load of a warm zone beyond its capacity, as when another zone fails.
// All requests of high priority are served and others are shed, while the endpoints work at their
// capacity and within their limits.
func TestZoneLossSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 3, 2, 800*time.Millisecond)
		f.load(f.ctx, 60*time.Millisecond, func(i int) int { return i % 2 })
		time.Sleep(25 * time.Second)
		f.load(f.ctx, 40*time.Millisecond, samePriority)
		time.Sleep(5 * time.Second)
		f.resetPeaks()
		high, low, done := f.refused(1), f.refused(0), f.total(finished)
		time.Sleep(10 * time.Second)
		capacity := 10 * 2 * full * 10 / 8 // requests in ten seconds
		done = f.total(finished) - done
		t.Logf("served %d of a capacity of %d, shed %d of low and %d of high priority", done, capacity, f.refused(0)-low, f.refused(1)-high)
		c.Assert(done >= capacity*9/10, qt.IsTrue, qt.Commentf("%d of %d", done, capacity))
		c.Assert(f.refused(1)-high, qt.Equals, 0)
		c.Assert(f.refused(0)-low > 0, qt.IsTrue)
		c.Assert(f.resetPeaks(), qt.Equals, 0)
	})
}
