// Package machine holds the machines of the platform as one entry instance sees them: the
// endpoints it sends work to and the entry instances it shares work with.
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

// Endpoint is what an entry instance knows of an endpoint at one moment. It is a value; the
// tables hand out copies.
type Endpoint struct {
	ID          EndpointID
	Incarnation string
	Pool        string
	Zone        string
	Address     string // IP:port
	Version     contract.VersionID

	Leaving bool // by the list, by its own word or by refused connections
	Healthy bool // the breaker lets work through
	Cold    bool // freshly started; Limit climbs with completed work

	InFlight int // requests of this instance
	Limit    int // concurrent requests this instance may have in flight now
	// Reported load lags: requests running and queued at the endpoint.
	ReportedRunning int
	ReportedQueued  int
	ReportedAt      time.Time
	// Latency is the smoothed time to the first byte.
	Latency time.Duration
	// ErrorRate is the smoothed share of failed attempts, 0 to 1.
	ErrorRate float64
}

// Member is a live entry instance as this one sees it.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Zone        string
	Address     string // IP:port of its peer service
}

// Members gives the entry instances that this instance believes live, itself included, in the
// order of their ids. Two instances may see different members at the same moment.
type Members interface {
	Self() Member
	Live() []Member
}
