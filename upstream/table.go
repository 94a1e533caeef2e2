package upstream

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// forgetAfter is how long an endpoint that is gone is remembered, so that answers on their way
	// find it.
	forgetAfter = 30 * time.Second
)

// Table holds the endpoints of all services. Safe for concurrent use; each endpoint has a lock of its
// own, and readers of the table take none.
type Table struct {
	self     machine.InstanceID
	zone     string
	current  *catalog.Current
	members  machine.Members
	counters *telemetry.Counters
	log      *slog.Logger

	mu        sync.Mutex // of writers
	byID      map[machine.EndpointID]*Endpoint
	view      atomic.Pointer[view]
	evacuated atomic.Pointer[map[string]bool]
	queues    sync.Map // *queue by service
	paces     paces
}

// view is an immutable index of the endpoints.
type view struct {
	byService map[string][]*Endpoint
	byHash    map[uint64]*Endpoint
	addresses map[string]bool
}

// NewTable returns an empty table of the instance.
func NewTable(self machine.InstanceID, zone string, current *catalog.Current, members machine.Members,
	counters *telemetry.Counters, log *slog.Logger,
) *Table {
	t := &Table{
		self: self, zone: zone, current: current, members: members, counters: counters, log: log,
		byID: make(map[machine.EndpointID]*Endpoint),
	}
	t.view.Store(&view{})
	t.evacuated.Store(&map[string]bool{})
	return t
}

// Apply takes over a report of an endpoint.
func (t *Table) Apply(report Report) {
	now := time.Now()
	t.mu.Lock()
	endpoint := t.byID[report.ID]
	if endpoint == nil {
		endpoint = newEndpoint(report.ID)
		t.byID[report.ID] = endpoint
	}
	endpoint.mu.Lock()
	moved := !endpoint.known || endpoint.report.Service != report.Service || endpoint.report.Address != report.Address
	drains := report.Draining && !endpoint.report.Draining
	restarted := endpoint.update(report, now)
	endpoint.mu.Unlock()
	if moved {
		t.rebuild(now)
	}
	t.mu.Unlock()
	if moved || drains || restarted || report.ColdFor > 0 {
		t.log.Info("endpoint", "endpoint", report.ID, "service", report.Service, "address", report.Address, "zone", report.Zone,
			"version", report.Version, "draining", report.Draining, "cold_ms", report.ColdFor.Milliseconds(), "restarted", restarted)
	}
	t.Freed(report.Service)
}

// Remove takes an endpoint out. Until lapseEnds it is still used: after an outage of the store its entry
// may have lapsed and come back.
func (t *Table) Remove(id machine.EndpointID, lapseEnds time.Time) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.byID[id]
	if endpoint == nil {
		return
	}
	endpoint.mu.Lock()
	known := endpoint.known
	endpoint.known = false
	endpoint.lapsesAt = now
	if known && !endpoint.report.Draining && lapseEnds.After(now) {
		endpoint.lapsesAt = lapseEnds
	}
	service := endpoint.report.Service
	endpoint.mu.Unlock()
	if known {
		t.log.Info("endpoint gone from discovery", "endpoint", id, "service", service, "used_for_ms", endpoint.lapsesAt.Sub(now).Milliseconds())
	}
	t.rebuild(now)
}

// rebuild makes the index anew. The caller holds the table's lock.
func (t *Table) rebuild(now time.Time) {
	next := &view{
		byService: make(map[string][]*Endpoint),
		byHash:    make(map[uint64]*Endpoint),
		addresses: make(map[string]bool),
	}
	for id, endpoint := range t.byID {
		endpoint.mu.Lock()
		report, known, lapsesAt := endpoint.report, endpoint.known, endpoint.lapsesAt
		endpoint.mu.Unlock()
		if !known && now.Sub(lapsesAt) > forgetAfter {
			delete(t.byID, id)
			continue
		}
		next.byHash[endpoint.hash] = endpoint
		if known || now.Before(lapsesAt) {
			next.byService[report.Service] = append(next.byService[report.Service], endpoint)
			next.addresses[report.Address] = true
		}
	}
	for _, endpoints := range next.byService {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.id, b.id) })
	}
	t.view.Store(next)
}

// Evacuate sets the zones whose endpoints get nothing. Endpoints of a zone that is taken back may
// have become cold meanwhile.
func (t *Table) Evacuate(zones map[string]bool) {
	before := *t.evacuated.Load()
	t.evacuated.Store(&zones)
	for zone := range zones {
		if !before[zone] {
			t.log.Info("zone evacuated", "zone", zone)
		}
	}
	for zone := range before {
		if !zones[zone] {
			t.log.Info("zone taken back", "zone", zone)
			t.chill(zone)
		}
	}
}

// chill treats the endpoints of a zone as cold.
func (t *Table) chill(zone string) {
	ends := time.Now().Add(returnRamp)
	for _, endpoints := range t.view.Load().byService {
		for _, endpoint := range endpoints {
			endpoint.mu.Lock()
			if endpoint.report.Zone == zone && ends.After(endpoint.coldEnds) {
				endpoint.coldEnds = ends
			}
			endpoint.mu.Unlock()
		}
	}
}

// returnRamp is how long endpoints of a zone that was taken back get no more than cold ones: their
// entries tell within a heartbeat how long they stay cold.
const returnRamp = 3 * time.Second

// Live says whether an endpoint is listed at the address.
func (t *Table) Live(address string) bool { return t.view.Load().addresses[address] }

// Ready says whether any endpoint is known.
func (t *Table) Ready() bool { return len(t.view.Load().addresses) > 0 }
