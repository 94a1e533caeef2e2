// Package upstream tracks endpoints from the view of one entry instance: their discovery reports, the
// load that all instances put on them and their health as observed by attempts. It selects the endpoint
// for each request in three stages, as the endpoint picker of the Gateway API Inference Extension does:
// filter, score, pick. It sends no requests; package gateway does, and reports each outcome to the Grant.
// Package machine is its counterpart for package entry.
package upstream

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// Report is an endpoint's state as published in discovery.
type Report struct {
	ID      machine.EndpointID
	Service string
	Address string // IP:port
	Zone    string
	// Version of the endpoint's software.
	Version string
	Slots   int // requests that the endpoint processes concurrently
	// Draining is set if the endpoint has announced that it will stop.
	Draining bool
	// ColdFor is how much longer, from the report on, the endpoint is cold: it can take no more than
	// the service's cold rate.
	ColdFor time.Duration
	// StartMillis is the endpoint's start time in milliseconds since the Unix epoch, by its own clock; 0 if
	// unknown. It distinguishes incarnations with the same id.
	StartMillis int64
}

// Endpoint is the state of one endpoint. mu guards the fields below it.
type Endpoint struct {
	id   machine.EndpointID
	hash uint64

	mu          sync.Mutex
	report      Report
	discovered  bool      // listed by discovery
	usableUntil time.Time // end of use after removal from discovery; zero while discovered
	leaving     bool      // this incarnation says in its answers that it leaves
	turnAway    turnAway
	coldUntil   time.Time
	slowStart   pacer // limits the request rate until coldUntil
	coldShare   rateShare
	ownLoad     load
	peers       map[machine.InstanceID]peerLoad
	peerTotal   load      // of all peers, computed at peerTotalAt
	peerTotalAt time.Time // zero if a peer's load has changed since
	health      health
	statedLimit statedLimit
	limiter     pacer // limits the request rate while statedLimit is in force
	limitShare  rateShare
	prefixes    prefixCache
	stated      statement // the newest one, by this instance or a peer
	ownAtStated int       // ownLoad.requests when stated was received
	ownStated   statement // the newest one that this instance has received itself
	pace        pace
	fragility   fragility
}

// load is the in-flight work at an endpoint.
type load struct {
	requests int
	// prefill is the expected prefill time of the requests that have not produced their first event.
	prefill time.Duration
}

type peerLoad struct {
	load
	receivedAt time.Time
}

func newEndpoint(id machine.EndpointID) *Endpoint {
	return &Endpoint{
		id:       id,
		hash:     xxhash.Sum64String(string(id)),
		peers:    make(map[machine.InstanceID]peerLoad),
		prefixes: newPrefixCache(),
	}
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() machine.EndpointID { return e.id }

// Report returns the endpoint's most recent report.
func (e *Endpoint) Report() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report
}

// update replaces the report. A restart, and a return to discovery, reset what was learned of the endpoint:
// its health, its cached prefixes, its stated limit and the end of its cold time. The caller holds the lock.
func (e *Endpoint) update(report Report, now time.Time) (restarted bool) {
	changed := report.incarnation() != e.report.incarnation()
	restarted = e.discovered && changed
	if changed {
		e.leaving, e.turnAway = false, turnAway{}
	}
	if restarted || !e.discovered {
		e.health = health{}
		e.prefixes = newPrefixCache()
		e.coldUntil = time.Time{}
		e.statedLimit = statedLimit{}
		e.stated, e.ownStated, e.pace = statement{}, statement{}, pace{}
		e.fragility = fragility{}
	}
	if restarted {
		// Peers may still report the limit of the process before.
		e.statedLimit.observedAt = now
	}
	e.report = report
	e.discovered = true
	e.usableUntil = time.Time{}
	if until := now.Add(report.ColdFor); report.ColdFor > 0 && until.After(e.coldUntil) {
		e.coldUntil = until
	}
	return restarted
}

// available reports whether the endpoint may get requests: it is discovered or was removed only recently, and neither discovery nor
// its own answers say that it leaves. The caller holds the lock.
func (e *Endpoint) available(now time.Time) bool {
	return (e.discovered || now.Before(e.usableUntil)) && !e.report.Draining && !e.leaving
}

// total returns the load that all instances put on the endpoint. The caller holds the lock.
func (e *Endpoint) total(now time.Time) load {
	if len(e.peers) > 0 && now.Sub(e.peerTotalAt) > peerTotalAge {
		e.addUpPeers(now)
	}
	return load{
		requests: max(e.ownLoad.requests+e.peerTotal.requests, e.statedRequests(now)),
		prefill:  e.ownLoad.prefill + e.peerTotal.prefill,
	}
}

// setPeer replaces a peer's load; an empty one removes it. The caller holds the lock.
func (e *Endpoint) setPeer(id machine.InstanceID, received load, now time.Time) {
	if _, known := e.peers[id]; !known && received.requests == 0 {
		return
	}
	e.peerTotalAt = time.Time{}
	if received.requests > 0 {
		e.peers[id] = peerLoad{load: received, receivedAt: now}
		return
	}
	delete(e.peers, id)
	if len(e.peers) == 0 {
		e.peerTotal = load{}
	}
}

// addUpPeers computes the peers' total load. It drops the loads that are older than peerLoadTTL. Of an older report
// the prefill that the endpoint has had time for since is left out. The caller holds the lock.
func (e *Endpoint) addUpPeers(now time.Time) {
	e.peerTotal, e.peerTotalAt = load{}, now
	for id, peer := range e.peers {
		age := now.Sub(peer.receivedAt)
		if age > peerLoadTTL {
			delete(e.peers, id)
			continue
		}
		e.peerTotal.requests += peer.requests
		e.peerTotal.prefill += max(peer.prefill-max(age-peerLoadFresh, 0), 0)
	}
}
