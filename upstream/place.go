package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// requestTokens is what a running request slows an endpoint down, in prompt tokens: about a step
	// of the whole batch for each token that it generates.
	requestTokens = 400
	// foreignZoneTokens is what a path between zones costs, in prompt tokens. It decides between
	// endpoints that are otherwise equal.
	foreignZoneTokens = 40
	// failureTokens is what an error rate of 1 costs, in prompt tokens: more than any prompt that
	// would have to be read elsewhere.
	failureTokens = 20_000
	// overcommit is the number of requests per slot that an endpoint is given, so that its queue
	// bridges the lag with which instances see each other's load.
	overcommit = 1.25
	// to be cold, as a multiple of its share of the cold rate: endpoints turn cold without notice.
)

// Need is what a request needs of an endpoint.
type Need struct {
	Service string
	// Version is the version of the service's software that it must have, NotVersion one that it must
	// not have; empty for any.
	Version    string
	NotVersion string
	// Parts of the prompt in order; empty for requests that are no prompts. The last one is the
	// request's own.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Avoid are endpoints that failed the request. They are used if there is no other.
	Avoid []machine.EndpointID
}

// Grant is an endpoint's place for one request. Done is called exactly once.
type Grant struct {
	table    *Table
	Endpoint *Endpoint
	Report   Report
	// Load is the number of requests at the endpoint when it was chosen, as far as known.
	Load   int
	tokens int // prompt tokens that count until the first event
}

// candidate is an endpoint that passed the filters.
type candidate struct {
	endpoint *Endpoint
	cost     float64
	reserve  bool // only if nothing better is there
}

// Blocked says why no endpoint was placed.
type Blocked uint8

const (
	// NotBlocked means that an endpoint was placed.
	NotBlocked Blocked = iota
	// Absent means that the service has no endpoint that may be used.
	Absent
	// Full means that its endpoints have no place free now.
	Full
)

// Place reserves a place at the endpoint that is expected to serve the request first.
func (t *Table) Place(need *Need) (*Grant, Blocked) {
	snapshot := t.current.Get()
	if snapshot == nil {
		return nil, Absent
	}
	service := snapshot.Services[need.Service]
	now := time.Now()
	candidates, full := t.filter(need, service, now)
	if len(candidates) == 0 {
		if full {
			return nil, Full
		}
		return nil, Absent
	}
	for len(candidates) > 0 {
		best := pick(candidates)
		if grant := t.grant(candidates[best].endpoint, need, service, now); grant != nil {
			return grant, NotBlocked
		}
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return nil, Full
}

// filter returns the endpoints that may take the request now. full says that others have no place.
func (t *Table) filter(need *Need, service *catalog.Service, now time.Time) (candidates []candidate, full bool) {
	endpoints := t.view.Load().byService[need.Service]
	evacuated := *t.evacuated.Load()
	preferred := preferredEndpoint(endpoints, need, func(e *Endpoint) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.listed(now) && !evacuated[e.report.Zone] && e.suits(need) && !e.health.open(now)
	})
	for _, endpoint := range endpoints {
		endpoint.mu.Lock()
		if endpoint.listed(now) && !evacuated[endpoint.report.Zone] && endpoint.suits(need) {
			if !t.hasPlace(endpoint, service, now) {
				full = true
			} else {
				candidates = append(candidates, t.score(endpoint, need, endpoint == preferred, now))
			}
		}
		endpoint.mu.Unlock()
	}
	return candidates, full
}

// suits says whether the endpoint's software may serve the request. The caller holds the lock.
func (e *Endpoint) suits(need *Need) bool {
	if need.NotVersion != "" && e.report.Version == need.NotVersion {
		return false
	}
	return need.Version == "" || e.report.Version == need.Version
}

// hasPlace says whether the endpoint may be given one more request. The caller holds the lock.
func (t *Table) hasPlace(e *Endpoint, service *catalog.Service, now time.Time) bool {
	if limit := int(float64(e.report.Slots) * overcommit); limit > 0 && e.total(now).requests >= limit {
		return false
	}
	if service == nil || service.ColdRate == 0 || !now.Before(e.coldEnds) {
		return true
	}
	return e.cold.ready(t.coldRate(e, service), now)
}

func (t *Table) coldRate(e *Endpoint, service *catalog.Service) float64 {
	return coldShare(e.hash, service.ColdRate, t.self, t.members.Live())
}

// preferredEndpoint is the endpoint that all instances choose for the shared parts of the prompt as
// long as it is not busy; nil without shared parts.
func preferredEndpoint(endpoints []*Endpoint, need *Need, usable func(*Endpoint) bool) *Endpoint {
	if len(need.Parts) < 2 {
		return nil
	}
	shared := bytesOf(need.Parts[len(need.Parts)-2].ID)
	var best *Endpoint
	var highest uint64
	for _, endpoint := range endpoints {
		rank := xxhash.Sum64(append(shared, bytesOf(endpoint.hash)...))
		if (best == nil || rank > highest) && usable(endpoint) {
			best, highest = endpoint, rank
		}
	}
	return best
}

// score is the work in prompt tokens that stands before the request's first token, its own prompt
// included. The caller holds the lock.
func (t *Table) score(e *Endpoint, need *Need, preferred bool, now time.Time) candidate {
	total := e.total(now)
	cost := float64(total.requests*requestTokens + total.promptTokens)
	cost += float64(need.PromptTokens - t.expectCached(e, need, preferred, now))
	if e.report.Zone != t.zone {
		cost += foreignZoneTokens
	}
	errors := e.health.errorRate(now)
	cost += errors * failureTokens
	reserve := errors > errorRateHigh || e.health.open(now) || contains(need.Avoid, e.id)
	return candidate{endpoint: e, cost: cost, reserve: reserve}
}

// expectCached is the number of the prompt's tokens that the endpoint need not read.
func (t *Table) expectCached(e *Endpoint, need *Need, preferred bool, now time.Time) int {
	if len(need.Parts) < 2 {
		return 0
	}
	shared := need.Parts[:len(need.Parts)-1]
	if !preferred {
		return e.cache.cached(shared, now)
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	return tokens
}

func contains(ids []machine.EndpointID, id machine.EndpointID) bool {
	for _, one := range ids {
		if one == id {
			return true
		}
	}
	return false
}

// pick returns the index of the cheapest candidate; those in reserve come last. Equal ones are
// chosen at random, so that instances do not crowd one endpoint.
func pick(candidates []candidate) int {
	best := 0
	ties := 1
	for i := 1; i < len(candidates); i++ {
		a, b := &candidates[i], &candidates[best]
		switch {
		case a.reserve != b.reserve && a.reserve:
		case a.reserve != b.reserve || a.cost < b.cost:
			best, ties = i, 1
		case a.cost == b.cost:
			ties++
			if rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// grant reserves a place if the endpoint still has one.
func (t *Table) grant(e *Endpoint, need *Need, service *catalog.Service, now time.Time) *Grant {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listed(now) || !t.hasPlace(e, service, now) {
		return nil
	}
	cold := service != nil && service.ColdRate > 0 && now.Before(e.coldEnds)
	if cold && !e.cold.take(t.coldRate(e, service), now) {
		return nil
	}
	if !e.health.openUntil.IsZero() {
		e.health.trying = true
	}
	grant := &Grant{table: t, Endpoint: e, Report: e.report, Load: e.total(now).requests}
	if len(need.Parts) > 0 {
		grant.tokens = need.PromptTokens - e.cache.cached(need.Parts[:len(need.Parts)-1], now)
		e.cache.use(need.Parts, now)
	}
	e.own.requests++
	e.own.promptTokens += grant.tokens
	return grant
}

// Began notes that the answer's first event has come, so that the prompt is read.
func (g *Grant) Began() {
	g.Endpoint.mu.Lock()
	defer g.Endpoint.mu.Unlock()
	g.Endpoint.own.promptTokens -= g.tokens
	g.tokens = 0
}

// Done returns the place with what the attempt showed.
func (g *Grant) Done(outcome Outcome, signals Signals) {
	now := time.Now()
	e := g.Endpoint
	e.mu.Lock()
	e.own.requests--
	e.own.promptTokens -= g.tokens
	opened := e.health.observe(outcome, now)
	if ends := now.Add(signals.ColdFor); signals.ColdFor > 0 && ends.After(e.coldEnds) {
		e.coldEnds = ends
	}
	e.mu.Unlock()
	if opened {
		g.table.counters.Inc("plumbarrow_breaker_opened_total")
		g.table.log.Warn("breaker opened", "endpoint", e.id, "service", g.Report.Service, "for_ms", e.health.openFor.Milliseconds())
	}
	g.table.Freed(g.Report.Service)
}

// Signals are what an answer's header says of its endpoint.
type Signals struct {
	// ColdFor is how much longer the endpoint is cold.
	ColdFor time.Duration
}

// Busy returns the share of the service's places that are taken, 0 to 1 and beyond.
func (t *Table) Busy(service string) float64 {
	now := time.Now()
	evacuated := *t.evacuated.Load()
	taken, slots := 0, 0
	for _, endpoint := range t.view.Load().byService[service] {
		endpoint.mu.Lock()
		if endpoint.listed(now) && !evacuated[endpoint.report.Zone] && !endpoint.health.open(now) {
			taken += endpoint.total(now).requests
			slots += endpoint.report.Slots
		}
		endpoint.mu.Unlock()
	}
	if slots == 0 {
		return 0
	}
	return float64(taken) / float64(slots)
}
