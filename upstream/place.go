package upstream

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// requestCost is the delay of a prompt by one running request: a part of a step of its batch.
	requestCost = 2 * time.Millisecond
	// foreignPromptCost and foreignPlainCost are the waits that a path to another zone is worth. The bytes
	// of prompts are paid for, and their callers allow seconds, of which this is a hundredth; other requests
	// are short and urgent, so that the path only decides between endpoints that are otherwise equal.
	foreignPromptCost = 20 * time.Millisecond
	foreignPlainCost  = 500 * time.Microsecond
	// failureCost is what an error rate of 1 costs: more than any prompt that would have to be read
	// elsewhere.
	failureCost = 400 * time.Millisecond
	// overcommitModel and overcommitPlain are the numbers of requests per slot that an endpoint is
	// given, so that its queue bridges the lag with which instances see each other's load. Requests
	// to plain services are so short that the lag covers several of them; an endpoint that is too full
	// declines them unrun.
	overcommitModel = 1.25
	overcommitPlain = 3
)

// Need is what a request needs of an endpoint.
type Need struct {
	Service string
	// Version is the version of the service's software that it must have, NotVersion one that it must
	// not have; empty for any.
	Version    string
	NotVersion string
	// Spread is the part of the version's endpoints that it may use while they have room; 0 means all.
	Spread float64
	// Parts of the prompt in order; empty for requests that are no prompts. The last one is the
	// request's own.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Model that is asked; empty for requests that are no prompts.
	Model string
	// Avoid are endpoints that failed the request. They are used if there is no other.
	Avoid []machine.EndpointID
}

// Grant is an endpoint's place for one request. Done is called exactly once.
type Grant struct {
	table    *Table
	Endpoint *Endpoint
	Report   Report
	// Load is the number of requests at the endpoint when it was chosen, as far as known.
	Load int
	// Expected is the time until the answer's first event.
	Expected time.Duration
	// KeepIdle is the number of idle connections to the endpoint that this instance may keep; 0 means
	// no limit.
	KeepIdle int

	model     string
	tokens    int           // of the prompt that the endpoint has to read
	prefill   time.Duration // their expected time, which counts until the first event
	alone     bool          // little else stood before it
	startedAt time.Time
}

// candidate is an endpoint that passed the filters.
type candidate struct {
	endpoint *Endpoint
	cost     time.Duration
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
		return e.report.Zone == t.zone && e.listed(now) && !evacuated[e.report.Zone] && e.suits(need) && !e.health.open(now)
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
	if need.Spread > 0 && need.Spread < 1 {
		candidates = narrow(candidates, need.Spread)
	}
	return candidates, full
}

// narrow keeps the part of the candidates that all instances choose alike, at least one.
func narrow(candidates []candidate, part float64) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.endpoint.hash, b.endpoint.hash) })
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.reserve })
	if len(healthy) > 0 {
		candidates = healthy
	}
	return candidates[:min(len(candidates), int(math.Ceil(part*float64(len(candidates)))))]
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
	overcommit := float64(overcommitPlain)
	if service != nil && service.Model {
		overcommit = overcommitModel
	}
	if e.total(now).requests >= int(float64(e.report.Slots)*overcommit) {
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
	shared := append(bytesOf(need.Parts[len(need.Parts)-2].ID), need.Model...)
	var best *Endpoint
	var highest uint64
	for _, endpoint := range endpoints {
		rank := xxhash.Sum64(slices.Concat(shared, bytesOf(endpoint.hash)))
		if (best == nil || rank > highest) && usable(endpoint) {
			best, highest = endpoint, rank
		}
	}
	return best
}

// score is the expected time to the request's first event, and what else speaks against the endpoint.
// The caller holds the lock.
func (t *Table) score(e *Endpoint, need *Need, preferred bool, now time.Time) candidate {
	cost := t.expect(e, need, preferred, now)
	if e.report.Zone != t.zone {
		cost += foreignCost(need)
	}
	errors := e.health.errorRate(now)
	cost += time.Duration(errors * float64(failureCost))
	reserve := errors > errorRateHigh || e.health.open(now) || slices.Contains(need.Avoid, e.id)
	return candidate{endpoint: e, cost: cost, reserve: reserve}
}

func foreignCost(need *Need) time.Duration {
	if len(need.Parts) > 0 {
		return foreignPromptCost
	}
	return foreignPlainCost
}

// expect is the expected time to the request's first event. The caller holds the lock.
func (t *Table) expect(e *Endpoint, need *Need, preferred bool, now time.Time) time.Duration {
	total := e.total(now)
	uncached := need.PromptTokens - t.expectCached(e, need, preferred, now)
	cost := time.Duration(total.requests)*requestCost + total.prefill
	if len(need.Parts) == 0 {
		return cost
	}
	base, pace := t.paces.get(need.Service, need.Model)
	return cost + base + time.Duration(uncached)*pace
}

// expectCached is the number of the prompt's tokens that the endpoint need not read.
func (t *Table) expectCached(e *Endpoint, need *Need, preferred bool, now time.Time) int {
	if len(need.Parts) < 2 {
		return 0
	}
	shared := need.Parts[:len(need.Parts)-1]
	if !preferred {
		return e.cache.cached(need.Model, shared, now)
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	return tokens
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
	grant := &Grant{table: t, Endpoint: e, Report: e.report, Load: e.total(now).requests, Expected: t.expect(e, need, false, now)}
	if service != nil {
		grant.KeepIdle = t.keepIdle(service)
	}
	t.charge(grant, need, now)
	return grant
}

// idlePart is the part of an endpoint's connections that all instances together may keep idle; the rest
// is for requests.
const idlePart = 0.5

func (t *Table) keepIdle(service *catalog.Service) int {
	if service.MaxConns == 0 {
		return 0
	}
	return max(1, int(idlePart*float64(service.MaxConns)/float64(max(len(t.members.Live()), 1))))
}

// charge counts the request into the endpoint's load. The caller holds the endpoint's lock.
func (t *Table) charge(grant *Grant, need *Need, now time.Time) {
	e := grant.Endpoint
	e.own.requests++
	if len(need.Parts) == 0 {
		return
	}
	shared := need.Parts[:len(need.Parts)-1]
	grant.model = need.Model
	grant.startedAt = now
	grant.tokens = need.PromptTokens - e.cache.cached(need.Model, shared, now)
	_, pace := t.paces.get(need.Service, need.Model)
	grant.prefill = time.Duration(grant.tokens) * pace
	before := e.total(now)
	grant.alone = before.prefill+time.Duration(before.requests-1)*requestCost <= aloneLimit
	e.own.prefill += grant.prefill
	e.cache.use(need.Model, need.Parts, now)
}

// Cold takes the endpoint's word that it stays cold for a while; 0 says nothing.
func (g *Grant) Cold(left time.Duration) {
	if left <= 0 {
		return
	}
	ends := time.Now().Add(left)
	g.Endpoint.mu.Lock()
	defer g.Endpoint.mu.Unlock()
	if ends.After(g.Endpoint.coldEnds) {
		g.Endpoint.coldEnds = ends
	}
}

// Began notes that the answer's first event has come, so that the prompt is read.
func (g *Grant) Began() {
	e := g.Endpoint
	e.mu.Lock()
	e.own.prefill -= g.prefill
	g.prefill = 0
	e.mu.Unlock()
	if g.alone {
		g.alone = false
		g.table.paces.learn(g.Report.Service, g.model, g.tokens, time.Since(g.startedAt))
	}
}

// Done returns the place with what the attempt showed.
func (g *Grant) Done(outcome Outcome) {
	e := g.Endpoint
	e.mu.Lock()
	e.own.requests--
	e.own.prefill -= g.prefill
	opened := e.health.observe(outcome, time.Now())
	openFor := e.health.openFor
	e.mu.Unlock()
	if opened {
		g.table.counters.Inc("plumbarrow_breaker_opened_total")
		g.table.log.Warn("breaker opened", "endpoint", e.id, "service", g.Report.Service, "for_ms", openFor.Milliseconds())
	}
	g.table.Freed(g.Report.Service)
}

// Expect returns the shortest expected time to the first event of a request over the endpoints that
// have a place; false if none has.
func (t *Table) Expect(need *Need) (time.Duration, bool) {
	snapshot := t.current.Get()
	if snapshot == nil {
		return 0, false
	}
	candidates, _ := t.filter(need, snapshot.Services[need.Service], time.Now())
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[pick(candidates)].cost, true
}
