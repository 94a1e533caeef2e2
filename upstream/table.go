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
	// removedRetention is how long a removed endpoint is kept in the table after its last use, so that
	// attempts still in flight can be attributed to it.
	removedRetention = 30 * time.Second
)

// Table holds the endpoints of all services. Safe for concurrent use: each endpoint has its own lock, and
// readers of the table's index take none.
type Table struct {
	self     machine.InstanceID
	zone     string
	current  *catalog.Current
	members  machine.Members
	counters *telemetry.Counters
	log      *slog.Logger

	mu            sync.Mutex // held by writers of byID and view
	byID          map[machine.EndpointID]*Endpoint
	view          atomic.Pointer[view]
	evacuated     atomic.Pointer[map[string]bool] // by zone
	queues        sync.Map                        // *queue by service
	prefillTimes  prefillTimes
	responseTimes responseTimes
	statedLoads   StatedLoads
	paced         sync.Map      // names of services whose endpoints state a pace
	reach         sync.Map      // *serviceReach by service
	reachDue      chan struct{} // has an element if a service has become suspect
	fragile       fragileServices
	sharers       sharers
}

// view is an immutable index of the endpoints.
type view struct {
	byService map[string][]*Endpoint
	byHash    map[uint64]*Endpoint
	addresses map[string]bool // IP:port, of endpoints that do not say that they leave
}

// NewTable returns an empty table for the instance self in the given zone.
func NewTable(self machine.InstanceID, zone string, current *catalog.Current, members machine.Members,
	counters *telemetry.Counters, log *slog.Logger,
) *Table {
	t := &Table{
		self: self, zone: zone, current: current, members: members, counters: counters, log: log,
		byID: make(map[machine.EndpointID]*Endpoint), reachDue: make(chan struct{}, 1),
	}
	t.view.Store(&view{})
	t.evacuated.Store(&map[string]bool{})
	return t
}

// StatedLoads says where placement uses the load and pace that endpoints state, instead of the loads that peers report alone. Zero means nowhere.
type StatedLoads struct {
	// From is the number of live instances from which on they are used; 0 means never. With few instances the loads that peers report are
	// complete.
	From int
	// Unpaced also uses them for services whose endpoints state no pace. The pace is then learned from the answers.
	Unpaced bool
}

// UseStatedLoads must be called before the table is used.
func (t *Table) UseStatedLoads(where StatedLoads) { t.statedLoads = where }

// usesStatedLoads reports whether placement uses stated loads for the service.
func (t *Table) usesStatedLoads(service string) bool {
	if t.statedLoads.From == 0 || len(t.members.Live()) < t.statedLoads.From {
		return false
	}
	_, paced := t.paced.Load(service)
	return paced || t.statedLoads.Unpaced
}

// notePace records that endpoints of the service state a pace, if the statement does.
func (t *Table) notePace(service string, s statement) {
	if s.pace > 0 && !s.measured {
		t.paced.LoadOrStore(service, struct{}{})
	}
}

// Apply adds or updates an endpoint from its report, and wakes a request that waits for its service.
func (t *Table) Apply(report Report) {
	now := time.Now()
	t.mu.Lock()
	endpoint := t.byID[report.ID]
	if endpoint == nil {
		endpoint = newEndpoint(report.ID)
		t.byID[report.ID] = endpoint
	}
	endpoint.mu.Lock()
	reindex := !endpoint.discovered || endpoint.leaving || endpoint.report.Service != report.Service || endpoint.report.Address != report.Address
	startsDraining := report.Draining && !endpoint.report.Draining
	restarted := endpoint.update(report, now)
	endpoint.mu.Unlock()
	if reindex {
		t.rebuild(now)
	}
	t.mu.Unlock()
	if reindex || startsDraining || restarted || report.ColdFor > 0 {
		t.log.Info("endpoint updated", "endpoint", report.ID, "service", report.Service, "address", report.Address, "zone", report.Zone,
			"version", report.Version, "draining", report.Draining, "cold_ms", report.ColdFor.Milliseconds(), "restarted", restarted)
	}
	t.WakeNext(report.Service)
}

// Remove records that an endpoint is gone from discovery. It is still used until provisionalUntil, because
// after an outage of the store its entry may have expired and may be registered again.
func (t *Table) Remove(id machine.EndpointID, provisionalUntil time.Time) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.byID[id]
	if endpoint == nil {
		return
	}
	endpoint.mu.Lock()
	discovered := endpoint.discovered
	endpoint.discovered = false
	endpoint.usableUntil = now
	if discovered && !endpoint.report.Draining && provisionalUntil.After(now) {
		endpoint.usableUntil = provisionalUntil
	}
	service := endpoint.report.Service
	endpoint.mu.Unlock()
	if discovered {
		t.log.Info("endpoint removed from discovery", "endpoint", id, "service", service, "used_for_ms", endpoint.usableUntil.Sub(now).Milliseconds())
	}
	t.rebuild(now)
}

// rebuild replaces the index and drops endpoints that were removed long ago. The caller holds the table's
// lock.
func (t *Table) rebuild(now time.Time) {
	next := &view{
		byService: make(map[string][]*Endpoint),
		byHash:    make(map[uint64]*Endpoint),
		addresses: make(map[string]bool),
	}
	for id, endpoint := range t.byID {
		endpoint.mu.Lock()
		report, discovered, usableUntil, leaving := endpoint.report, endpoint.discovered, endpoint.usableUntil, endpoint.leaving
		endpoint.mu.Unlock()
		if !discovered && now.Sub(usableUntil) > removedRetention {
			delete(t.byID, id)
			continue
		}
		next.byHash[endpoint.hash] = endpoint
		if discovered || now.Before(usableUntil) {
			next.byService[report.Service] = append(next.byService[report.Service], endpoint)
			if !leaving {
				next.addresses[report.Address] = true
			}
		}
	}
	for _, endpoints := range next.byService {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.id, b.id) })
	}
	t.view.Store(next)
}

// Evacuate sets the zones whose endpoints get no requests. The table keeps the map, which must not be
// changed afterwards. Endpoints of a zone that is back in service may have become cold meanwhile and are
// treated as cold.
func (t *Table) Evacuate(zones map[string]bool) {
	previous := *t.evacuated.Load()
	t.evacuated.Store(&zones)
	for zone := range zones {
		if !previous[zone] {
			t.log.Info("zone evacuated", "zone", zone)
		}
	}
	for zone := range previous {
		if !zones[zone] {
			t.log.Info("zone back in service", "zone", zone)
			t.markCold(zone)
		}
	}
}

// markCold treats the endpoints of a zone as cold for backInServiceRamp.
func (t *Table) markCold(zone string) {
	until := time.Now().Add(backInServiceRamp)
	for _, endpoints := range t.view.Load().byService {
		for _, endpoint := range endpoints {
			endpoint.mu.Lock()
			if endpoint.report.Zone == zone && until.After(endpoint.coldUntil) {
				endpoint.coldUntil = until
			}
			endpoint.mu.Unlock()
		}
	}
}

// backInServiceRamp is how long the endpoints of a zone that is back in service are limited to the cold
// rate. Within a heartbeat their discovery entries report how long they are really cold.
const backInServiceRamp = 3 * time.Second

// HasAddress reports whether an endpoint in use has the address (IP:port).
func (t *Table) HasAddress(address string) bool { return t.view.Load().addresses[address] }

// Ready reports whether any endpoint is in use.
func (t *Table) Ready() bool { return len(t.view.Load().byService) > 0 }
