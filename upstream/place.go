package upstream

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// perRequestDelay is the expected delay of a prompt by each in-flight request at the endpoint: a
	// fraction of a batch step.
	perRequestDelay = 2 * time.Millisecond
	// crossZonePromptCost and crossZonePlainCost are added to the cost of an endpoint in another zone,
	// as expected wait. Cross-zone traffic of prompts is billed by the byte and their callers wait
	// seconds, of which the penalty is about a hundredth. Other requests are short and urgent, so their
	// penalty only decides between endpoints that are otherwise equal.
	crossZonePromptCost = 20 * time.Millisecond
	crossZonePlainCost  = 500 * time.Microsecond
	// crossZoneShare is added to the cost of a prompt at an endpoint in another zone, as a share of the expected time, where placement uses
	// stated loads: these are old enough that smaller differences are chance.
	crossZoneShare = 0.5
	// readingCostToOthers is what reading a prompt costs other requests, as a factor of the time that it takes. The same tokens, kept at
	// another endpoint, would have left that time to them.
	readingCostToOthers = 2
	// cachedShare is the share of a prompt that an endpoint must hold to be compared with the sampled ones.
	cachedShare = 0.25
	// nearSamples and farSamples are the endpoints without the prompt that are compared, in this and in other zones. All instances know
	// the same loads, somewhat late: if each took the best of all, they would take the same.
	nearSamples = 3
	farSamples  = 1
	// errorRateCost is added to the cost at an error rate of 1, in proportion below it. It exceeds the
	// prefill time of any prompt that another endpoint would have to process without a cache.
	errorRateCost = 400 * time.Millisecond
	// overcommitModel and overcommitPlain are the requests in flight per slot of an endpoint. Values
	// above 1 keep its queue filled despite the lag with which instances learn each other's load.
	// Requests to plain services are so short that several complete within that lag. An endpoint with
	// too many requests rejects them without running them.
	overcommitModel = 1.25
	overcommitPlain = 3
	// spreadLoad is the number of requests per slot up to which requests are confined to few endpoints of a plain service, see Need.Spread. Hardly
	// any waits there, but most meet others.
	spreadLoad = 0.75
)

// Need holds a request's requirements on an endpoint.
type Need struct {
	Service string
	// Version is the software version that the endpoint must have; empty for any. ExcludedVersions are those that it must not have.
	Version          string
	ExcludedVersions []string
	// Spread is the share of the matching endpoints, 0 to 1, to which the request is confined while they have free capacity; 0 means all.
	// For a plain service they are at least as many as its requests in progress need.
	Spread float64
	// PromptParts are the parts of the prompt in order; empty for requests without a prompt. The last
	// one is specific to the request, the others may be shared with other requests.
	PromptParts []PromptPart
	// PromptTokens is the length of the whole prompt; 0 if it is unknown.
	PromptTokens int
	// Model that is requested; empty for requests without a prompt.
	Model string
	// Avoid lists endpoints at which the request has failed. They are used only as a last resort.
	Avoid []machine.EndpointID
}

// Grant is a reservation of capacity at an endpoint for one request. Done must be called exactly once.
type Grant struct {
	table    *Table
	Endpoint *Endpoint
	Report   Report
	// Load is the known number of requests of all instances at the endpoint before this one.
	Load int
	// Expected is the expected time until the answer's first event.
	Expected time.Duration
	// Pace is how long work takes at the endpoint against the usual, 1, as far as that is known.
	Pace float64
	// MaxIdleConns is the maximum number of idle connections to the endpoint that this instance may keep;
	// 0 means no limit.
	MaxIdleConns int

	model          string
	uncachedTokens int           // prompt tokens that the endpoint has to prefill
	prefill        time.Duration // expected time of uncachedTokens; part of the load until the first event
	measurable     bool          // others hardly delay the request, see maxLearningDelay
	startedAt      time.Time
	probe          bool // see turnAway
	conditions     conditions
	sent           bool            // see RecordSent
	lender         *fragileService // nil unless the request exceeds this instance's part, see fragileRoom
}

// candidate is an endpoint that passed the filters.
type candidate struct {
	endpoint   *Endpoint
	cost       time.Duration // expected time to the request's first event, penalties, and what the request costs others
	cached     bool          // the endpoint is expected to hold a good part of the prompt
	near       bool          // in this instance's zone
	slots      int           // of the endpoint
	lastResort bool          // chosen only if all candidates are last resorts
}

// Blocked is the reason why no capacity was reserved for a request.
type Blocked uint8

const (
	// NotBlocked means that capacity was reserved.
	NotBlocked Blocked = iota
	// NoneEligible means that the service has no eligible endpoint.
	NoneEligible
	// Full means that all eligible endpoints are at capacity.
	Full
	// TurnedAway means that all eligible endpoints want no requests from this instance for a time, see Table.TurnedAwayFor.
	TurnedAway
	// PlacesElsewhere means that all eligible endpoints tolerate few rejections, and other instances share their places.
	PlacesElsewhere
)

// Place reserves capacity at the endpoint with the lowest cost: the expected time to the first event plus
// penalties. The Grant is nil unless the result is NotBlocked.
func (t *Table) Place(need *Need) (*Grant, Blocked) {
	snapshot := t.current.Get()
	if snapshot == nil {
		return nil, NoneEligible
	}
	service := snapshot.Services[need.Service]
	now := time.Now()
	candidates, blocked := t.filter(need, service, now)
	if len(candidates) == 0 {
		return nil, blocked
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

// filter returns the endpoints that may take the request now, and why there are none if so.
func (t *Table) filter(need *Need, service *catalog.Service, now time.Time) (candidates []candidate, blocked Blocked) {
	blocked = NoneEligible
	endpoints := t.view.Load().byService[need.Service]
	evacuated := *t.evacuated.Load()
	preferred := t.preferred(endpoints, need, evacuated, now)
	inProgress := 0 // at endpoints of all versions
	for _, endpoint := range endpoints {
		endpoint.mu.Lock()
		if need.Spread > 0 {
			inProgress += endpoint.total(now).requests
		}
		if endpoint.available(now) && !evacuated[endpoint.report.Zone] && endpoint.matchesVersion(need) {
			if t.hasCapacity(endpoint, service, now) {
				candidates = append(candidates, t.score(endpoint, need, endpoint == preferred, now))
			} else {
				blocked = t.blockedBy(endpoint, blocked, now)
			}
		}
		endpoint.mu.Unlock()
	}
	if need.Spread > 0 && need.Spread < 1 {
		needed := 0
		if service == nil || !service.Model {
			needed = endpointsFor(inProgress, candidates)
		}
		candidates = subset(candidates, need.Spread, needed)
	}
	if t.usesStatedLoads(need.Service) && len(need.PromptParts) > 0 {
		candidates = sample(candidates)
	}
	return candidates, blocked
}

// blockedBy returns why there is no capacity at the endpoint and those before it. The caller holds the lock.
func (t *Table) blockedBy(e *Endpoint, before Blocked, now time.Time) Blocked {
	switch {
	case e.turnAway.left(now) > 0 && before == NoneEligible:
		return TurnedAway
	case e.turnAway.left(now) > 0:
		return before
	case t.fragileRoom(e, now).none && (before == NoneEligible || before == PlacesElsewhere):
		return PlacesElsewhere
	default:
		return Full
	}
}

// endpointsFor returns how many of the candidates can serve a number of requests at spreadLoad.
func endpointsFor(requests int, candidates []candidate) int {
	slots := 0
	for _, c := range candidates {
		slots += c.slots
	}
	if slots == 0 {
		return 0
	}
	return int(math.Ceil(float64(requests*len(candidates)) / (spreadLoad * float64(slots))))
}

// subset returns the given share of the candidates, rounded up, and no fewer than a least number, without last resorts if there are
// others. It selects by hash, so that all instances choose the same endpoints.
func subset(candidates []candidate, share float64, least int) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.endpoint.hash, b.endpoint.hash) })
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.lastResort })
	if len(healthy) > 0 {
		candidates = healthy
	}
	return candidates[:min(len(candidates), max(least, int(math.Ceil(share*float64(len(candidates))))))]
}

// matchesVersion reports whether the endpoint's software version may serve the request. The caller holds
// the lock.
func (e *Endpoint) matchesVersion(need *Need) bool {
	if slices.Contains(need.ExcludedVersions, e.report.Version) {
		return false
	}
	return need.Version == "" || e.report.Version == need.Version
}

// hasCapacity reports whether the endpoint may be given one more request: it has a free slot, counting
// overcommit, it does not turn this instance away, it has room without rejecting others, and neither the limit that it states nor that of a
// cold endpoint is used up. The caller holds the lock.
func (t *Table) hasCapacity(e *Endpoint, service *catalog.Service, now time.Time) bool {
	if e.total(now).requests >= maxRequests(e, service) {
		return false
	}
	if !t.fragileRoom(e, now).admits {
		return false
	}
	if !e.turnAway.admits(now) || e.statedLimit.inForce && !e.limiter.ready(t.ownStatedRate(e), now) {
		return false
	}
	if service == nil || service.ColdRate == 0 || !now.Before(e.coldUntil) {
		return true
	}
	return e.slowStart.ready(t.ownColdRate(e, service), now)
}

// maxRequests returns how many requests of all instances the endpoint may have. The caller holds the lock.
func maxRequests(e *Endpoint, service *catalog.Service) int {
	overcommit := float64(overcommitPlain)
	if service != nil && service.Model {
		overcommit = overcommitModel
	}
	return int(float64(e.report.Slots) * overcommit)
}

// ownColdRate returns the rate at which this instance may use a cold endpoint. The caller holds the lock.
func (t *Table) ownColdRate(e *Endpoint, service *catalog.Service) float64 {
	return e.coldShare.of(instanceColdRate, e.hash, service.ColdRate, t.self, t.members.Live())
}

// preferred returns the preferred endpoint of this zone that may be used.
func (t *Table) preferred(endpoints []*Endpoint, need *Need, evacuated map[string]bool, now time.Time) *Endpoint {
	return preferredEndpoint(endpoints, need, func(e *Endpoint) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.report.Zone == t.zone && e.available(now) && !evacuated[e.report.Zone] && e.matchesVersion(need) && !e.health.open(now)
	})
}

// preferredEndpoint returns the usable endpoint that rendezvous hashing selects for the shared parts of
// the prompt in this zone. All instances of the zone select the same one, so that its cache serves all
// requests with these parts, unless its load outweighs the benefit. It is nil without shared parts.
func preferredEndpoint(endpoints []*Endpoint, need *Need, usable func(*Endpoint) bool) *Endpoint {
	if len(need.PromptParts) < 2 {
		return nil
	}
	buffer := make([]byte, 0, 64) // on the stack
	shared := append(binary.LittleEndian.AppendUint64(buffer, need.PromptParts[len(need.PromptParts)-2].ID), need.Model...)
	var best *Endpoint
	var highest uint64
	for _, endpoint := range endpoints {
		rank := xxhash.Sum64(binary.LittleEndian.AppendUint64(shared, endpoint.hash))
		if (best == nil || rank > highest) && usable(endpoint) {
			best, highest = endpoint, rank
		}
	}
	return best
}

// score returns the endpoint as a candidate. Its cost is the expected time to the request's first event,
// plus penalties for another zone and for errors, plus what the request costs others. The caller holds the lock.
func (t *Table) score(e *Endpoint, need *Need, preferred bool, now time.Time) candidate {
	considered := t.consider(e, need, preferred, now)
	return candidate{
		endpoint: e, cost: considered.Cost, near: e.report.Zone == t.zone, slots: e.report.Slots,
		cached:     float64(considered.Cached) >= cachedShare*float64(need.PromptTokens),
		lastResort: considered.LastResort,
	}
}

// consider returns the endpoint with its cost, see score. The caller holds the lock.
func (t *Table) consider(e *Endpoint, need *Need, preferred bool, now time.Time) Considered {
	rate := e.health.errorRate(now)
	c := Considered{
		Endpoint: e.id, Zone: e.report.Zone, Version: e.report.Version, Requests: e.total(now).requests, Slots: e.report.Slots, Pace: e.pace.mean(now),
		Cached: t.estimateCachedTokens(e, need, preferred, now), Expected: t.expect(e, need, preferred, now),
		Errors:     time.Duration(rate * float64(errorRateCost)),
		LastResort: rate > errorRateHigh || e.health.open(now) || slices.Contains(need.Avoid, e.id),
	}
	if e.report.Zone != t.zone {
		c.OtherZone = t.crossZoneCost(need, c.Expected)
	}
	c.OthersWait = t.costToOthers(e, need, need.PromptTokens-c.Cached, now)
	c.Cost = c.Expected + c.OtherZone + c.Errors + c.OthersWait
	return c
}

// costToOthers returns what the reading of uncached prompt tokens costs other requests, as a part of a candidate's cost. The endpoint reads them
// between the tokens of others, also of those that come later.
func (t *Table) costToOthers(e *Endpoint, need *Need, uncached int, now time.Time) time.Duration {
	if !t.usesStatedLoads(need.Service) {
		return 0
	}
	reading := time.Duration(uncached) * t.responseTimes.of(need.Service, need.Model).perToken()
	return time.Duration(readingCostToOthers * float64(reading) * e.pace.mean(now))
}

// crossZoneCost returns the penalty of an endpoint in another zone, at which the request's first event is expected after the given time.
func (t *Table) crossZoneCost(need *Need, expected time.Duration) time.Duration {
	switch {
	case len(need.PromptParts) == 0:
		return crossZonePlainCost
	case t.usesStatedLoads(need.Service):
		return crossZonePromptCost + time.Duration(crossZoneShare*float64(expected))
	default:
		return crossZonePromptCost
	}
}

// expect returns the expected time to the request's first event. A preferred endpoint is taken to have
// all shared parts of the prompt cached. The caller holds the lock.
func (t *Table) expect(e *Endpoint, need *Need, preferred bool, now time.Time) time.Duration {
	total := e.total(now)
	uncached := need.PromptTokens - t.estimateCachedTokens(e, need, preferred, now)
	if t.usesStatedLoads(need.Service) {
		expected := t.responseTimes.of(need.Service, need.Model).expected(conditions{uncached, total.requests, total.prefill})
		return time.Duration(float64(expected) * e.pace.mean(now))
	}
	cost := time.Duration(total.requests)*perRequestDelay + total.prefill
	if len(need.PromptParts) == 0 {
		return cost
	}
	base, perToken := t.prefillTimes.estimate(need.Service, need.Model)
	return cost + base + time.Duration(uncached)*perToken
}

// estimateCachedTokens returns the number of the prompt's tokens that the endpoint is expected to have in
// its prefix cache. The caller holds the lock.
func (t *Table) estimateCachedTokens(e *Endpoint, need *Need, preferred bool, now time.Time) int {
	if len(need.PromptParts) < 2 {
		return 0
	}
	shared := need.PromptParts[:len(need.PromptParts)-1]
	if !preferred {
		return e.prefixes.cachedTokens(need.Model, shared, now)
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	return tokens
}

// sample returns the candidates that hold a good part of the prompt, and a few others at random. Last resorts are left out if any other
// candidate is left.
func sample(candidates []candidate) []candidate {
	var sampled, near, far []candidate
	for _, c := range candidates {
		switch {
		case c.lastResort:
		case c.cached:
			sampled = append(sampled, c)
		case c.near:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	sampled = append(sampled, draw(near, nearSamples)...)
	sampled = append(sampled, draw(far, farSamples)...)
	if len(sampled) == 0 {
		return candidates
	}
	return sampled
}

// draw returns n of the candidates at random, or all if there are fewer. It reorders them.
func draw(candidates []candidate, n int) []candidate {
	n = min(n, len(candidates))
	for i := range n {
		j := i + rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// pick returns the index of the candidate with the lowest cost, last resorts after all others. Ties are
// broken at random, so that instances do not all choose the same endpoint.
func pick(candidates []candidate) int {
	best := 0
	ties := 1
	for i := 1; i < len(candidates); i++ {
		a, b := &candidates[i], &candidates[best]
		switch {
		case a.lastResort != b.lastResort && a.lastResort:
		case a.lastResort != b.lastResort || a.cost < b.cost:
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

// grant reserves capacity at the endpoint, or returns nil if it has become unavailable or full since it
// was filtered.
func (t *Table) grant(e *Endpoint, need *Need, service *catalog.Service, now time.Time) *Grant {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.available(now) || !t.hasCapacity(e, service, now) {
		return nil
	}
	slowStart := service != nil && service.ColdRate > 0 && now.Before(e.coldUntil)
	if slowStart && !e.slowStart.take(t.ownColdRate(e, service), now) {
		return nil
	}
	if e.statedLimit.inForce && !e.limiter.take(t.ownStatedRate(e), now) {
		return nil
	}
	if !e.health.openUntil.IsZero() {
		e.health.probing = true
	}
	current := e.total(now)
	grant := &Grant{table: t, Endpoint: e, Report: e.report, Load: current.requests, Expected: t.expect(e, need, false, now)}
	grant.Pace = e.pace.mean(now)
	grant.conditions = conditions{requests: current.requests, prefill: current.prefill}
	if !e.turnAway.until.IsZero() {
		e.turnAway.probing, grant.probe = true, true
	}
	if service != nil {
		grant.MaxIdleConns = t.maxIdleConns(service)
	}
	if room := t.fragileRoom(e, now); room.borrows {
		grant.borrow(room.rate, now)
	}
	t.addLoad(grant, need, now)
	return grant
}

// idleConnShare is the share of an endpoint's connections that all instances together may keep idle. The
// rest stays free for new requests.
const idleConnShare = 0.5

func (t *Table) maxIdleConns(service *catalog.Service) int {
	if service.MaxConns == 0 {
		return 0
	}
	return max(1, int(idleConnShare*float64(service.MaxConns)/float64(max(len(t.members.Live()), 1))))
}

// addLoad adds the request to the endpoint's load. The caller holds the endpoint's lock.
func (t *Table) addLoad(grant *Grant, need *Need, now time.Time) {
	e := grant.Endpoint
	e.ownLoad.requests++
	grant.startedAt = now
	if len(need.PromptParts) == 0 {
		return
	}
	shared := need.PromptParts[:len(need.PromptParts)-1]
	grant.model = need.Model
	grant.uncachedTokens = need.PromptTokens - e.prefixes.cachedTokens(need.Model, shared, now)
	grant.conditions.tokens = grant.uncachedTokens
	perToken := t.perToken(need)
	grant.prefill = time.Duration(grant.uncachedTokens) * perToken
	current := e.total(now)
	grant.measurable = current.prefill+time.Duration(current.requests-1)*perRequestDelay <= maxLearningDelay
	e.ownLoad.prefill += grant.prefill
	e.prefixes.touch(need.Model, need.PromptParts, now)
}

// perToken returns the expected prefill time of one prompt token at an endpoint of the usual pace.
func (t *Table) perToken(need *Need) time.Duration {
	if t.usesStatedLoads(need.Service) {
		return t.responseTimes.of(need.Service, need.Model).perToken()
	}
	_, perToken := t.prefillTimes.estimate(need.Service, need.Model)
	return perToken
}

// ExtendCold records the endpoint's report of how much longer it is cold. It never shortens the known time; 0
// or less has no effect.
func (g *Grant) ExtendCold(remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	until := time.Now().Add(remaining)
	g.Endpoint.mu.Lock()
	defer g.Endpoint.mu.Unlock()
	if until.After(g.Endpoint.coldUntil) {
		g.Endpoint.coldUntil = until
	}
}

// RecordFirstEvent records that the answer's first event has arrived, which ends the prefill.
func (g *Grant) RecordFirstEvent() {
	e := g.Endpoint
	e.mu.Lock()
	e.ownLoad.prefill -= g.prefill
	g.prefill = 0
	e.mu.Unlock()
	if g.measurable {
		g.measurable = false
		g.table.prefillTimes.observe(g.Report.Service, g.model, g.uncachedTokens, time.Since(g.startedAt))
	}
}

// Done releases the reserved capacity and records the outcome of the attempt.
func (g *Grant) Done(outcome Outcome) {
	e := g.Endpoint
	e.mu.Lock()
	e.ownLoad.requests--
	e.ownLoad.prefill -= g.prefill
	if g.probe {
		e.turnAway.probing = false
	}
	now := time.Now()
	g.recordFragileEnd(outcome, now)
	opened := e.health.record(outcome, now)
	openDuration := e.health.openDuration
	e.mu.Unlock()
	if opened {
		g.table.counters.Inc("plumbarrow_breaker_opened_total")
		g.table.log.Warn("breaker opened", "endpoint", e.id, "service", g.Report.Service, "for_ms", openDuration.Milliseconds())
	}
	switch outcome {
	case Answered:
		g.table.recordEnd(g.Report.Service, now)
	case Unreachable:
		g.table.recordUnreachable(g.Report.Service, e.id)
	}
	g.table.WakeNext(g.Report.Service)
}

// Alternative returns the cost at which Place would now choose a sound endpoint other than those to avoid, see Expect. It returns
// false if none has capacity.
func (t *Table) Alternative(need *Need) (time.Duration, bool) {
	snapshot := t.current.Get()
	if snapshot == nil {
		return 0, false
	}
	candidates, _ := t.filter(need, snapshot.Services[need.Service], time.Now())
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.lastResort })
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[pick(candidates)].cost, true
}

// Expect returns the cost at which Place would now choose an endpoint: the expected time to the first event, plus
// penalties, plus what the request costs others. It returns false if no endpoint has capacity.
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
