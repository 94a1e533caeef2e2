package upstream

import (
	"cmp"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
)

// String returns the reason as a word, "" for NotBlocked.
func (b Blocked) String() string {
	return [...]string{NotBlocked: "", NoneEligible: "none_eligible", Full: "full", TurnedAway: "turned_away", PlacesElsewhere: "places_elsewhere"}[b]
}

// Placement is where a request would go now, and why.
type Placement struct {
	// Endpoint is the one that Place would choose; empty if it would choose none, for the reason Blocked.
	Endpoint machine.EndpointID
	Blocked  Blocked
	Expected time.Duration // until the first event at Endpoint
	// Sampled means that Place compares only some of the candidates, drawn at random. Endpoint is then one draw of several possible ones.
	Sampled bool
	// Endpoints are all of the service, candidates first, those of the lowest cost before others.
	Endpoints []Considered
}

// Considered is an endpoint as the placement of a request sees it.
type Considered struct {
	Endpoint machine.EndpointID
	Zone     string
	Version  string
	// Excluded says why the endpoint may not get the request; empty for a candidate.
	Excluded Exclusion
	// LastResort means that it gets the request only if no other candidate is left.
	LastResort bool
	Requests   int // known at the endpoint, of all instances
	Slots      int
	Pace       float64 // how long work takes against the usual, 1
	Cached     int     // tokens of the prompt that it is expected to hold
	// Expected is the expected time to the first event. With OtherZone, Errors and OthersWait it adds up to Cost.
	Expected   time.Duration
	OtherZone  time.Duration // penalty of another zone
	Errors     time.Duration // penalty of the rate of errors
	OthersWait time.Duration // what the request costs others at the endpoint
	Cost       time.Duration
}

// Exclusion is the reason why an endpoint may not get a request.
type Exclusion string

// The exclusions.
const (
	ExcludedLeaving    Exclusion = "leaving"        // it stops, or discovery no longer lists it
	ExcludedZone       Exclusion = "zone_evacuated" // its zone is out of service
	ExcludedVersion    Exclusion = "version"        // the request needs another version
	ExcludedTurnedAway Exclusion = "turned_away"    // it wants no requests from this instance for a time
	ExcludedFull       Exclusion = "full"
	ExcludedFragile    Exclusion = "fragile" // it tolerates few rejections, and this instance's part of its places is in use
	ExcludedSpread     Exclusion = "spread"  // a roll-out confines the request to other endpoints of the version
	ExcludedRate       Exclusion = "rate"    // this instance's share of its rate is used up: it is cold, or states a limit
)

// Explain returns where Place would send the request now. It reserves nothing.
func (t *Table) Explain(need *Need) Placement {
	snapshot := t.current.Get()
	if snapshot == nil {
		return Placement{Blocked: NoneEligible}
	}
	service := snapshot.Services[need.Service]
	now := time.Now()
	candidates, blocked := t.filter(need, service, now)
	placement := Placement{Blocked: blocked, Sampled: t.usesStatedLoads(need.Service) && len(need.PromptParts) > 0}
	if len(candidates) > 0 {
		chosen := candidates[pick(candidates)].endpoint
		chosen.mu.Lock()
		placement.Endpoint, placement.Blocked, placement.Expected = chosen.id, NotBlocked, t.expect(chosen, need, false, now)
		chosen.mu.Unlock()
	}
	endpoints := t.view.Load().byService[need.Service]
	evacuated := *t.evacuated.Load()
	preferred := t.preferred(endpoints, need, evacuated, now)
	for _, e := range endpoints {
		e.mu.Lock()
		considered := t.consider(e, need, e == preferred, now)
		considered.Excluded = t.exclusion(e, need, service, evacuated, now)
		e.mu.Unlock()
		drawn := slices.ContainsFunc(candidates, func(c candidate) bool { return c.endpoint == e })
		if considered.Excluded == "" && !drawn && !placement.Sampled && need.Spread > 0 {
			considered.Excluded = ExcludedSpread
		}
		placement.Endpoints = append(placement.Endpoints, considered)
	}
	slices.SortStableFunc(placement.Endpoints, func(a, b Considered) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Cost, b.Cost))
	})
	return placement
}

// rank orders candidates before last resorts and these before excluded endpoints.
func (c *Considered) rank() int {
	switch {
	case c.Excluded != "":
		return 2
	case c.LastResort:
		return 1
	default:
		return 0
	}
}

// exclusion returns why the endpoint may not get the request, "" if it may. The caller holds the endpoint's lock.
func (t *Table) exclusion(e *Endpoint, need *Need, service *catalog.Service, evacuated map[string]bool, now time.Time) Exclusion {
	switch {
	case !e.available(now):
		return ExcludedLeaving
	case evacuated[e.report.Zone]:
		return ExcludedZone
	case !e.matchesVersion(need):
		return ExcludedVersion
	case t.hasCapacity(e, service, now):
		return ""
	case !e.turnAway.admits(now):
		return ExcludedTurnedAway
	case e.total(now).requests >= maxRequests(e, service):
		return ExcludedFull
	case !t.fragileRoom(e, now).admits:
		return ExcludedFragile
	default:
		return ExcludedRate
	}
}
