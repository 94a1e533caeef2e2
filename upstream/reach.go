package upstream

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// suspicionWindow is the time within which failed connections to two endpoints of a service raise a suspicion.
	suspicionWindow = 2 * time.Second
	// suspectEndpoints is the number of different endpoints whose connections failed: a single one may just have ended.
	suspectEndpoints = 2
	// reachTestInterval is the least time between two tests of a service. Each costs endpoints some connections.
	reachTestInterval = 500 * time.Millisecond
	// proofEndpoints is how many endpoints must all be out of reach for a service to count as unreachable. returnEndpoints is how many are
	// tried at a time while it does.
	proofEndpoints  = 8
	returnEndpoints = 3
	// reachTestTimeout bounds one test. It is longer than a dial to an endpoint takes at most.
	reachTestTimeout = 400 * time.Millisecond
)

// Prober opens a connection to an address (IP:port) and closes it.
type Prober interface {
	Probe(ctx context.Context, address string) error
}

// reach is what one instance knows of its links to a service's endpoints.
type reach struct {
	failed      []machine.EndpointID // whose connections failed since one was made, up to suspectEndpoints different ones
	since       time.Time            // the first of them
	suspected   bool
	unreachable bool
	testedAt    time.Time
}

// recordFailure records that a connection to the endpoint could not be made or was lost. known is the number of the service's usable endpoints.
// It reports whether the service has just become suspect.
func (r *reach) recordFailure(endpoint machine.EndpointID, known int, now time.Time) bool {
	if r.suspected || r.unreachable {
		return false
	}
	if now.Sub(r.since) > suspicionWindow {
		r.failed, r.since = r.failed[:0], now
	}
	for _, other := range r.failed {
		if other == endpoint {
			return false
		}
	}
	r.failed = append(r.failed, endpoint)
	r.suspected = len(r.failed) >= min(suspectEndpoints, max(known, 1))
	return r.suspected
}

// recordConnection records that a connection was made. It does not end a time in which the service is unreachable: it may have been made
// before that.
func (r *reach) recordConnection() {
	r.failed, r.since, r.suspected = r.failed[:0], time.Time{}, false
}

// due reports whether the service is to be tested.
func (r *reach) due(now time.Time) bool {
	return (r.suspected || r.unreachable) && now.Sub(r.testedAt) >= reachTestInterval
}

// recordTest records whether a test reached an endpoint. It reports whether unreachable has changed.
func (r *reach) recordTest(reached bool) bool {
	changed := r.unreachable == reached
	r.unreachable = !reached
	r.recordConnection()
	return changed
}

// serviceReach is a reach that is shared.
type serviceReach struct {
	mu          sync.Mutex
	reach       reach
	unreachable atomic.Bool
}

func (t *Table) reachOf(service string) *serviceReach {
	known, ok := t.reach.Load(service)
	if !ok {
		known, _ = t.reach.LoadOrStore(service, &serviceReach{})
	}
	return known.(*serviceReach)
}

// Reachable reports whether this instance reaches any endpoint of the service, as far as it knows.
func (t *Table) Reachable(service string) bool {
	known, ok := t.reach.Load(service)
	return !ok || !known.(*serviceReach).unreachable.Load()
}

// AnyReachable reports whether this instance reaches an endpoint of any service, as far as it knows. It is true without endpoints.
func (t *Table) AnyReachable() bool {
	services := t.view.Load().byService
	for service := range services {
		if t.Reachable(service) {
			return true
		}
	}
	return len(services) == 0
}

// RecordConnection records that the attempt made a connection to the endpoint.
func (g *Grant) RecordConnection() {
	s := g.table.reachOf(g.Report.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach.recordConnection()
}

// recordUnreachable records that the connection to a service's endpoint could not be made or was lost.
func (t *Table) recordUnreachable(service string, endpoint machine.EndpointID) {
	s := t.reachOf(service)
	s.mu.Lock()
	suspected := s.reach.recordFailure(endpoint, len(t.usableAddresses(service)), time.Now())
	s.mu.Unlock()
	if !suspected {
		return
	}
	select {
	case t.reachDue <- struct{}{}:
	default: // a test is due already
	}
}

// forgetFailures drops what failed connections have taught about the health of a service's endpoints.
func (t *Table) forgetFailures(service string) {
	for _, endpoint := range t.view.Load().byService[service] {
		endpoint.mu.Lock()
		endpoint.health = health{}
		endpoint.mu.Unlock()
	}
}

// ReachMonitor tests whether services whose endpoints seem to be out of reach are.
type ReachMonitor struct {
	table    *Table
	prober   Prober
	counters *telemetry.Counters
	log      *slog.Logger
}

// NewReachMonitor returns a monitor for the table's services.
func NewReachMonitor(table *Table, prober Prober, counters *telemetry.Counters, log *slog.Logger) *ReachMonitor {
	m := &ReachMonitor{table: table, prober: prober, counters: counters, log: log}
	counters.Gauge("plumbarrow_unreachable_services", m.unreachableServices)
	return m
}

func (m *ReachMonitor) unreachableServices() float64 {
	count := 0
	m.table.reach.Range(func(_, known any) bool {
		if known.(*serviceReach).unreachable.Load() {
			count++
		}
		return true
	})
	return float64(count)
}

// Run tests services until ctx ends.
func (m *ReachMonitor) Run(ctx context.Context) error {
	timer := time.NewTimer(reachTestInterval)
	defer timer.Stop()
	for {
		select {
		case <-m.table.reachDue:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		m.testDue(ctx)
		timer.Reset(reachTestInterval)
	}
}

// testDue tests the services whose test is due, at the same time. When one has become unreachable, all others are tested too.
func (m *ReachMonitor) testDue(ctx context.Context) {
	if !m.test(ctx, func(r *reach, now time.Time) bool { return r.due(now) }) {
		return
	}
	for service := range m.table.view.Load().byService {
		m.table.reachOf(service)
	}
	m.test(ctx, func(r *reach, now time.Time) bool { return !r.unreachable && now.Sub(r.testedAt) >= reachTestInterval })
}

// test tests the services that are selected. It reports whether any of them has become unreachable.
func (m *ReachMonitor) test(ctx context.Context, selected func(r *reach, now time.Time) bool) bool {
	var tests sync.WaitGroup
	var lost atomic.Bool
	m.table.reach.Range(func(name, known any) bool {
		service, s := name.(string), known.(*serviceReach)
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		if !selected(&s.reach, now) {
			return true
		}
		s.reach.testedAt = now
		addresses := m.table.sampleAddresses(service, s.reach.unreachable)
		tests.Go(func() {
			if m.testService(ctx, service, s, addresses) {
				lost.Store(true)
			}
		})
		return true
	})
	tests.Wait()
	return lost.Load()
}

// testService tries the addresses and records the result. It reports whether the service has become unreachable. A service without
// endpoints is not unreachable: there is none that a peer could reach.
func (m *ReachMonitor) testService(ctx context.Context, service string, s *serviceReach, addresses []string) bool {
	reached := len(addresses) == 0 || m.anyOpens(ctx, addresses)
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	changed := s.reach.recordTest(reached)
	s.unreachable.Store(s.reach.unreachable)
	s.mu.Unlock()
	switch {
	case changed && !reached:
		m.counters.Inc("plumbarrow_services_unreachable_total")
		m.log.Warn("service unreachable", "service", service, "endpoints_tried", len(addresses))
	case changed:
		m.table.forgetFailures(service)
		m.log.Info("service reachable again", "service", service)
		m.table.WakeNext(service)
	}
	return changed && !reached
}

// anyOpens reports whether any of the addresses accepts a connection.
func (m *ReachMonitor) anyOpens(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTestTimeout)
	defer cancel()
	opened := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { opened <- m.prober.Probe(ctx, address) == nil }()
	}
	for range addresses {
		if <-opened {
			return true
		}
	}
	return false
}

// usableAddresses returns the addresses of the service's endpoints that may get requests.
func (t *Table) usableAddresses(service string) []string {
	now, evacuated := time.Now(), *t.evacuated.Load()
	var addresses []string
	for _, endpoint := range t.view.Load().byService[service] {
		endpoint.mu.Lock()
		if endpoint.available(now) && !evacuated[endpoint.report.Zone] {
			addresses = append(addresses, endpoint.report.Address)
		}
		endpoint.mu.Unlock()
	}
	return addresses
}

// sampleAddresses returns addresses of usable endpoints of the service, drawn at random: proofEndpoints, or returnEndpoints if the service is
// known to be unreachable.
func (t *Table) sampleAddresses(service string, unreachable bool) []string {
	addresses := t.usableAddresses(service)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	limit := proofEndpoints
	if unreachable {
		limit = returnEndpoints
	}
	return addresses[:min(limit, len(addresses))]
}
