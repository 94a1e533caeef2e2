// Package upstream holds the endpoints as one entry instance knows them: what discovery reports, the
// load that instances cause, what attempts showed, and which of them may take the next request. The
// placement of a request follows the shape of the Gateway API Inference Extension's endpoint picker:
// filter, score, pick.
package upstream

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// Report is what discovery says of an endpoint.
type Report struct {
	ID      machine.EndpointID
	Service string
	Address string // IP:port
	Zone    string
	// Version of its software.
	Version string
	Slots   int // requests that it works on at once
	// Draining says that it has announced its end.
	Draining bool
	// ColdFor is how much longer it bears only the service's cold rate, at the time of the report.
	ColdFor time.Duration
	// Born is the time of its start in milliseconds since 1970, by its own clock; 0 if unknown. It
	// tells incarnations with the same id apart.
	Born int64
}

// Endpoint is one endpoint. Its state is guarded by its own lock.
type Endpoint struct {
	id   machine.EndpointID
	hash uint64

	mu       sync.Mutex
	report   Report
	known    bool      // listed by discovery
	lapsesAt time.Time // an unlisted endpoint is used until then
	coldEnds time.Time
	cold     bucket
	own      load
	peers    map[machine.InstanceID]peerLoad
	health   health
	cache    prefixes
}

// load is work under way at an endpoint.
type load struct {
	requests int
	// prefill is the expected time for reading the prompts of requests whose first event has not
	// come.
	prefill time.Duration
}

type peerLoad struct {
	load
	at time.Time
}

func newEndpoint(id machine.EndpointID) *Endpoint {
	return &Endpoint{
		id:    id,
		hash:  xxhash.Sum64String(string(id)),
		peers: make(map[machine.InstanceID]peerLoad),
		cache: newPrefixes(),
	}
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() machine.EndpointID { return e.id }

// Report returns the newest report of the endpoint.
func (e *Endpoint) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

// update takes over a report. The caller holds the lock.
func (e *Endpoint) update(report Report, now time.Time) (restarted bool) {
	restarted = e.known && (report.Born != e.report.Born || report.Address != e.report.Address)
	if restarted || !e.known {
		e.health = health{}
		e.cache = newPrefixes()
		e.coldEnds = time.Time{}
	}
	e.report = report
	e.known = true
	e.lapsesAt = time.Time{}
	if ends := now.Add(report.ColdFor); report.ColdFor > 0 && ends.After(e.coldEnds) {
		e.coldEnds = ends
	}
	return restarted
}

// listed says whether the endpoint may get requests as far as discovery goes. The caller holds the
// lock.
func (e *Endpoint) listed(now time.Time) bool {
	return (e.known || now.Before(e.lapsesAt)) && !e.report.Draining
}

// total is the load of all instances. The caller holds the lock.
func (e *Endpoint) total(now time.Time) load {
	sum := e.own
	for id, peer := range e.peers {
		if now.Sub(peer.at) > peerLoadAge {
			delete(e.peers, id)
			continue
		}
		sum.requests += peer.requests
		sum.prefill += peer.prefill
	}
	return sum
}
