package machine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metrics that give an engine's load in its Prometheus text.
const (
	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
)

const (
	maxMetricsBytes = 1 << 20
	maxLoad         = 1 << 20          // requests; larger values are ignored as invalid
	pollBackoff     = 30 * time.Second // after a failed poll
)

// LoadFetch reads the load of the endpoint at address (IP:port): requests running and queued.
type LoadFetch func(ctx context.Context, address string) (running, queued int, err error)

// Poller polls the load of engines whose answers did not report it lately. Only an endpoint's home
// polls it; the others get the load through the state topic.
type Poller struct {
	permits *SharedPermits
	fetch   LoadFetch
	calls   sync.WaitGroup

	mu       sync.Mutex
	nextPoll map[EndpointID]time.Time
}

// NewPoller returns a poller over the permits' endpoints.
func NewPoller(permits *SharedPermits, fetch LoadFetch) *Poller {
	return &Poller{permits: permits, fetch: fetch, nextPoll: make(map[EndpointID]time.Time)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	defer p.calls.Wait()
	interval := millis(p.permits.Settings.PollMS)
	if interval == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.round(ctx, interval, now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Poller) round(ctx context.Context, interval time.Duration, now time.Time) {
	listed := p.permits.Table.all()
	p.mu.Lock()
	for id := range p.nextPoll {
		if listed[id] == nil {
			delete(p.nextPoll, id)
		}
	}
	p.mu.Unlock()
	for id, target := range listed {
		target.mu.Lock()
		wanted := target.exposesLoad && target.home.isSelf && !target.replicated.refusing && now.Sub(target.endpoint.ReportedAt) >= interval
		address := target.endpoint.Address
		target.mu.Unlock()
		if wanted && p.reserve(id, now) {
			p.calls.Go(func() { p.poll(ctx, target, address, interval) })
		}
	}
}

// reserve reserves a poll of the endpoint. It returns false while one is in flight or if one failed
// lately.
func (p *Poller) reserve(id EndpointID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextPoll[id]) {
		return false
	}
	p.nextPoll[id] = now.Add(pollBackoff)
	return true
}

func (p *Poller) poll(ctx context.Context, target *trackedEndpoint, address string, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	running, queued, err := p.fetch(ctx, address)
	if err != nil {
		p.permits.Counters.Inc("plumbarrow_load_polls_failed_total")
		return
	}
	now := time.Now()
	target.mu.Lock()
	target.observeLoad(Result{LoadReported: true, Running: running, Queued: queued}, now)
	id := target.endpoint.ID
	target.mu.Unlock()
	p.mu.Lock()
	delete(p.nextPoll, id)
	p.mu.Unlock()
}

// HTTPLoadFetch returns a LoadFetch that reads at most 1 MiB of Prometheus text from /metrics. It errs
// on a status other than 200 or without the metric of running requests; without that of queued ones it
// returns 0 of them. It has no timeout other than those of ctx and client.
func HTTPLoadFetch(client *http.Client) LoadFetch {
	return func(ctx context.Context, address string) (int, int, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
		if err != nil {
			return 0, 0, err
		}
		response, err := client.Do(request)
		if err != nil {
			return 0, 0, err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return 0, 0, fmt.Errorf("read metrics of %s: status %d", address, response.StatusCode)
		}
		return parseLoad(io.LimitReader(response.Body, maxMetricsBytes))
	}
}

// parseLoad reads the two gauges of an engine's load; labels are ignored and their values summed.
func parseLoad(r io.Reader) (running, queued int, err error) {
	found := false
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 2 {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "{")
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil || !(value >= 0 && value <= maxLoad) { // NaN fails too
			continue
		}
		switch name {
		case metricRunning:
			running += int(value)
			found = true
		case metricWaiting:
			queued += int(value)
		}
	}
	if !found {
		return 0, 0, fmt.Errorf("metric %s not found", metricRunning)
	}
	return running, queued, scanner.Err()
}
