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

// endpoint is a fake endpoint that knows how much load it can bear: the limit after its completed
// requests.
type endpoint struct {
	id          string
	homes       int // instances that take themselves for the home
	incarnation string
	service     time.Duration
	state       infra.State

	mu        sync.Mutex
	down      bool
	restarted bool // not yet told
	leaving   bool
	died      chan struct{}
	inFlight  int
	completed int
	attempts  int // connections tried
	starts    int // requests begun
	peak      int // most requests at once since the last mark
	overshoot int // most requests at once beyond the limit since the last mark
}

func (e *endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// bearable is the limit over all instances after the completed requests.
func (e *endpoint) bearable() int {
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
	e.overshoot = max(e.overshoot, e.inFlight-e.bearable())
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

// restart ends the endpoint's process: its requests are lost and it is cold again. With down set
// it refuses connections until up is called.
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
