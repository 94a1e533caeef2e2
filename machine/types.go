// Package machine holds the state that one entry instance keeps of the platform's machines: the
// endpoints it sends requests to, the permits and queues that limit their load, and the entry
// instances it shares these limits with. It neither chooses endpoints nor sends callers' requests;
// its own calls to endpoints only check connections and read the load.
package machine

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// EndpointID names an endpoint in the platform's list.
type EndpointID string

// InstanceID names an entry instance in the platform's list.
type InstanceID string

// Incarnation names one run of an entry instance. It is unique over all restarts.
type Incarnation string

// Endpoint is the state of an endpoint at one entry instance at one moment. It is a value; the
// tables return copies.
type Endpoint struct {
	ID          EndpointID
	Incarnation string // changes with each start of the endpoint; empty if unknown
	Pool        string
	Zone        string
	Address     string // IP:port
	Version     contract.VersionID

	Leaving bool // according to the platform's list or to the endpoint's own report
	Healthy bool // listed, accepts connections, and the circuit breaker admits requests
	Cold    bool // freshly started; Limit grows with completed work

	InFlight int // requests of this instance
	// Limit is how many requests this instance may have in flight now. While the endpoint's home
	// grants permits, it is the limit over all instances. While no permit can be had, it equals
	// InFlight.
	Limit int
	// Load last reported, which lags: requests running and queued at the endpoint.
	ReportedRunning int
	ReportedQueued  int
	ReportedAt      time.Time // zero if no load was reported
	// Latency is the exponentially weighted mean time to first byte, without late answers; 0 before
	// the first answer.
	Latency time.Duration
	// ErrorRate is the exponentially weighted share of failed attempts, 0 to 1.
	ErrorRate float64
}

// Member is a live entry instance as this one sees it.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Zone        string
	Address     string // IP:port of its peer service
	// LinkMbps is the rate of its network link in Mbit/s, as its registration states it; 0 if that is not known.
	LinkMbps float64
}

// Members gives the entry instances that this instance considers live, itself included, in the
// order of their ids. Two instances may see different members at the same moment. Callers of Live must not
// modify the result.
type Members interface {
	Self() Member
	Live() []Member
}
