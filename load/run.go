package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/pause"
)

// Plan says what to send. Arrivals are open-loop: a slow answer does not delay the next request.
type Plan struct {
	// Addresses of the callers' surface, IP:port; requests go to them in turn.
	Addresses []string
	Mix       Mix
	// Rate is the mean number of requests a second; arrivals are a Poisson process.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// MaxOutstanding requests wait for answers at once; arrivals beyond that are counted as
	// skipped. Default 2,000.
	MaxOutstanding int
	// Timeout bounds each request. Default 30 s.
	Timeout time.Duration
	// Progress, if set, is called about once a second with the counts so far.
	Progress func(sent, answered int)
}

const (
	defaultOutstanding = 2000
	defaultTimeout     = 30 * time.Second
	idlePerHost        = 256
)

// Run sends the plan's requests and returns a report of what came back.
func Run(ctx context.Context, plan Plan) *Report {
	if plan.MaxOutstanding == 0 {
		plan.MaxOutstanding = defaultOutstanding
	}
	if plan.Timeout == 0 {
		plan.Timeout = defaultTimeout
	}
	r := &runner{
		plan:   plan,
		client: &client{http: &http.Client{Timeout: plan.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}},
		report: newReport(plan),
		slots:  make(chan struct{}, plan.MaxOutstanding),
	}
	r.run(ctx)
	r.client.http.CloseIdleConnections()
	return r.report
}

type runner struct {
	plan   Plan
	client *client
	slots  chan struct{}
	group  sync.WaitGroup

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
	case r.slots <- struct{}{}:
	default:
		r.mu.Lock()
		r.report.Skipped++
		r.mu.Unlock()
		return
	}
	r.group.Go(func() {
		defer func() { <-r.slots }()
		sample := r.client.send(ctx, address, request)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.answered++
		r.report.add(sample)
	})
}

func sleepUntil(ctx context.Context, at time.Time) bool { return pause.Sleep(ctx, time.Until(at)) }
