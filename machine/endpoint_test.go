package machine_test

import (
	"context"
	"math"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// endpoint is a fake endpoint that checks how many requests are in flight against the limit for its
// completed requests.
type endpoint struct {
	id          string
	homes       int // instances that consider themselves its home
	incarnation string
	service     time.Duration
	state       infra.State

	mu        sync.Mutex
	down      bool
	restarted bool          // restart not reported yet
	leaving   bool          // reported with each answer
	died      chan struct{} // closed when the process ends
	inFlight  int
	completed int
	attempts  int // connections tried
	starts    int // requests begun
	peak      int // most requests in flight since resetPeaks
	overshoot int // most requests in flight beyond the limit since resetPeaks
}

func (e *endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// limit returns the limit over all instances after the completed requests, times the instances that
// consider themselves home.
func (e *endpoint) limit() int {
	return max(e.homes, 1) * int(min(full, cold*math.Exp2(float64(e.completed)/warmAfter)))
}

func (e *endpoint) serve(ctx context.Context) machine.Result {
	e.mu.Lock()
	e.attempts++
	if e.down {
		e.mu.Unlock()
		return machine.Result{ConnectionRefused: true, Failure: verdict.RetryNotSent}
	}
	e.inFlight++
	e.starts++
	e.peak = max(e.peak, e.inFlight)
	e.overshoot = max(e.overshoot, e.inFlight-e.limit())
	died, leaving, service := e.died, e.leaving, e.service
	e.mu.Unlock()
	select {
	case <-time.After(service):
	case <-died:
		return machine.Result{Failure: verdict.RetryConnection}
	case <-ctx.Done(): // the instance died and its connections with it
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.died != died {
		return machine.Result{Failure: verdict.RetryConnection}
	}
	e.inFlight--
	if ctx.Err() != nil {
		return machine.Result{Failure: verdict.CallerGone}
	}
	e.completed++
	restarted := e.restarted
	e.restarted = false
	return machine.Result{Completed: true, FirstByte: service / 2, Leaving: leaving, Restarted: restarted}
}

// restart ends the endpoint's process: its requests fail and it is cold again. If down is set it
// refuses connections until up is called.
func (e *endpoint) restart(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.died)
	e.died = make(chan struct{})
	e.inFlight, e.completed, e.down = 0, 0, down
	e.peak, e.overshoot = 0, 0
}

func (e *endpoint) up() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}
