package machine_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

var (
	complete   = machine.Result{Completed: true, FirstByte: 100 * time.Millisecond}
	late       = machine.Result{Completed: true, FirstByte: 900 * time.Millisecond}
	restarted  = machine.Result{Completed: true, FirstByte: 100 * time.Millisecond, Restarted: true}
	leaving    = machine.Result{Completed: true, FirstByte: 100 * time.Millisecond, Leaving: true}
	busy       = machine.Result{Completed: true, FirstByte: 900 * time.Millisecond, LoadReported: true, Queued: 5}
	refused    = machine.Result{ConnectionRefused: true, Failure: verdict.RetryNotSent}
	lost       = machine.Result{Failure: verdict.RetryConnection}
	overloaded = machine.Result{Failure: verdict.RetryOverloaded}
	broken     = machine.Result{Failure: verdict.RetryServerError}
	callerGone = machine.Result{Failure: verdict.CallerGone}
)

// TestSignals repeats one kind of result at a warm endpoint of a single instance and checks the
// state of the endpoint afterwards.
func TestSignals(t *testing.T) {
	type state struct {
		Leaving, Healthy, Cold bool
		Limit                  int
	}
	warm := state{Healthy: true, Limit: full}
	fresh := state{Healthy: true, Cold: true, Limit: cold}
	tests := []struct {
		name   string
		result machine.Result
		times  int
		want   state
	}{
		{"complete answers", complete, 50, warm},
		{"late answers, too few", late, 2, warm},
		{"late answers", late, 3, fresh},
		{"late answers with a queue", busy, 10, warm},
		{"restarted", restarted, 1, fresh},
		{"leaving", leaving, 1, state{Leaving: true, Healthy: true, Limit: full}},
		{"refused, then open to the home's probe", refused, 1, fresh},
		{"one lost connection", lost, 1, warm},
		{"two lost connections", lost, 2, fresh},
		{"overloaded once", overloaded, 1, state{Healthy: true, Limit: 22}}, // 0.7 of 32
		{"overloaded for long", overloaded, 40, state{Healthy: true, Limit: 3}},
		{"server errors", broken, 5, state{Cold: true, Limit: cold}}, // the breaker opened
		{"callers gone", callerGone, 50, warm},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(t, 1, 1, 0)
				n := f.nodes[0]
				time.Sleep(3 * time.Second)
				for range 60 { // 32 until the endpoint is warm, the rest as samples of its usual first byte
					n.finish(complete)
				}
				for range test.times {
					n.finish(test.result)
					time.Sleep(600 * time.Millisecond) // decreases are at least half a second apart
				}
				var seen machine.Endpoint
				n.table.Pool("p").At(0, &seen)
				c.Assert(state{seen.Leaving, seen.Healthy, seen.Cold, seen.Limit}, qt.Equals, test.want)
			})
		})
	}
}

// finish takes a permit and ends it with the result.
func (n *node) finish(result machine.Result) {
	var seen machine.Endpoint
	n.table.Pool("p").At(0, &seen)
	if permit, refusal := n.permits.Acquire(n.ctx, &seen); refusal == nil {
		permit.Done(result)
	}
}

// TestBreakerProbes opens the breaker. After its open time it admits one attempt at a time, and
// after a success it admits further ones.
func TestBreakerProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1, 1, 0)
		n := f.nodes[0]
		time.Sleep(3 * time.Second)
		for range 5 {
			n.finish(broken)
		}
		seen := machine.Endpoint{ID: "endpoint-0"}
		_, refusal := n.permits.Acquire(n.ctx, &seen)
		c.Assert(refusal.Reason, qt.Equals, verdict.RetryUnavailable)
		time.Sleep(3 * time.Second)
		probe, refusal := n.permits.Acquire(n.ctx, &seen)
		c.Assert(refusal == nil, qt.IsTrue)
		_, refusal = n.permits.Acquire(n.ctx, &seen)
		c.Assert(refusal.Reason, qt.Equals, verdict.RetryUnavailable)
		probe.Done(complete)
		again, refusal := n.permits.Acquire(n.ctx, &seen)
		c.Assert(refusal == nil, qt.IsTrue)
		again.Done(complete)
	})
}
