package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/pause"
)

// Plan configures a run. Arrivals are open-loop: a slow answer does not delay the next request.
type Plan struct {
	// Addresses are the IP:port addresses at which entry instances serve callers, used round-robin; at
	// least one.
	Addresses []string
	Mix       Mix
	// Rate is the mean number of requests per second of a Poisson process.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// MaxOutstanding is the highest number of concurrent requests; arrivals above it are not sent but
	// counted as skipped. Default 2,000.
	MaxOutstanding int
	// Timeout limits the duration of each request. Default 30 s.
	Timeout time.Duration
	// Progress, if set, is called about once a second with the number of arrivals, skipped ones
	// included, and of answers.
	Progress func(arrivals, answered int)
}

const (
	defaultOutstanding = 2000
	defaultTimeout     = 30 * time.Second
	idlePerHost        = 256
)

// Run sends the plan's requests, waits for their answers and returns the report. If ctx ends, it stops
// sending and cancels the outstanding requests.
func Run(ctx context.Context, plan Plan) *Report {
	if plan.MaxOutstanding == 0 {
		plan.MaxOutstanding = defaultOutstanding
	}
	if plan.Timeout == 0 {
		plan.Timeout = defaultTimeout
	}
	r := &runner{
		plan:        plan,
		client:      &client{http: &http.Client{Timeout: plan.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}},
		report:      newReport(plan),
		outstanding: make(chan struct{}, plan.MaxOutstanding),
	}
	r.run(ctx)
	r.client.http.CloseIdleConnections()
	return r.report
}

type runner struct {
	plan        Plan
	client      *client
	outstanding chan struct{}
	group       sync.WaitGroup

	mu       sync.Mutex
	report   *Report
	answered int
}

func (r *runner) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.plan.Seed, r.plan.Seed))
	start := time.Now()
	nextProgress := start.Add(time.Second)
	next := start
	for number := 0; ; number++ {
		next = next.Add(time.Duration(random.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if next.Sub(start) > r.plan.Duration || !sleepUntil(ctx, next) {
			break
		}
		request := r.plan.Mix.draw(random, number)
		address := r.plan.Addresses[number%len(r.plan.Addresses)]
		r.dispatch(ctx, address, request)
		if r.plan.Progress != nil && time.Now().After(nextProgress) {
			nextProgress = nextProgress.Add(time.Second)
			r.mu.Lock()
			answered := r.answered
			r.mu.Unlock()
			r.plan.Progress(number+1, answered)
		}
	}
	r.group.Wait()
	r.report.Elapsed = time.Since(start)
}

func (r *runner) dispatch(ctx context.Context, address string, request Request) {
	select {
	case r.outstanding <- struct{}{}:
	default:
		r.mu.Lock()
		r.report.Skipped++
		r.mu.Unlock()
		return
	}
	r.group.Go(func() {
		defer func() { <-r.outstanding }()
		sample := r.client.send(ctx, address, request)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.answered++
		r.report.add(sample)
	})
}

func sleepUntil(ctx context.Context, at time.Time) bool { return pause.Sleep(ctx, time.Until(at)) }
