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

// Names of an engine's load in its Prometheus text.
const (
	metricRunning = "engine_requests_running"
	metricWaiting = "engine_requests_waiting"
)

const (
	maxMetricsBytes = 1 << 20
	maxLoad         = 1 << 20          // requests; more is taken as garbage
	pollBackoff     = 30 * time.Second // after an endpoint gave no load
)

// Fetch reads an endpoint's load: requests running and queued.
type Fetch func(ctx context.Context, address string) (running, queued int, err error)

// Poller reads the load of those engines whose answers did not report it lately. Only an
// endpoint's home polls it; the state topic tells the others.
type Poller struct {
	permits *SharedPermits
	fetch   Fetch
	calls   sync.WaitGroup

	mu   sync.Mutex
	next map[EndpointID]time.Time
}

// NewPoller returns a poller over the permits' endpoints.
func NewPoller(permits *SharedPermits, fetch Fetch) *Poller {
	return &Poller{permits: permits, fetch: fetch, next: make(map[EndpointID]time.Time)}
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
	for id := range p.next {
		if listed[id] == nil {
			delete(p.next, id)
		}
	}
	p.mu.Unlock()
	for id, one := range listed {
		one.mu.Lock()
		wanted := one.polled && one.home.self && !one.warmth.refusing && now.Sub(one.endpoint.ReportedAt) >= interval
		address := one.endpoint.Address
		one.mu.Unlock()
		if wanted && p.due(id, now) {
			p.calls.Go(func() { p.poll(ctx, one, address, interval) })
		}
	}
}

// due books the endpoint's poll; false while one is under way or was in vain lately.
func (p *Poller) due(id EndpointID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.next[id]) {
		return false
	}
	p.next[id] = now.Add(pollBackoff)
	return true
}

func (p *Poller) poll(ctx context.Context, one *tracked, address string, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	running, queued, err := p.fetch(ctx, address)
	if err != nil {
		p.permits.Counters.Inc("plumbarrow_load_polls_failed_total")
		return
	}
	now := time.Now()
	one.mu.Lock()
	one.observeLoad(Result{Reported: true, Running: running, Queued: queued}, now)
	id := one.endpoint.ID
	one.mu.Unlock()
	p.mu.Lock()
	delete(p.next, id)
	p.mu.Unlock()
}

// HTTPFetch returns a Fetch that reads Prometheus text from /metrics.
func HTTPFetch(client *http.Client) Fetch {
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
			return 0, 0, fmt.Errorf("status %d", response.StatusCode)
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
		return 0, 0, fmt.Errorf("no %s", metricRunning)
	}
	return running, queued, scanner.Err()
}
