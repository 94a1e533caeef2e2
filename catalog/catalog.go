// Package catalog holds the operators' configuration as the gateway uses it: one immutable snapshot
// of routes, customers, services and limits.
package catalog

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind says what may be done with a route's requests after a failed attempt.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that an unknown kind is
	// never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Streaming requests are answered with events. They may only be repeated by resuming them.
	Streaming
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Route says where requests go and within which bounds.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix    string
	Kind      Kind
	Resumable bool // an interrupted stream may go on at another endpoint
	Public    bool // needs no key
	// Affinity says that requests carry the parts of their prompt, of which endpoints cache some.
	Affinity bool
	Timeout  time.Duration // longest time that a caller is kept waiting
	Goal     time.Duration // time within which an answer has its full worth
	Pause    time.Duration // longest pause between two events of an answer that is on time
	Priority int           // 0 is the most urgent
	// MaxAttempts is the number of endpoints that may run one request; at least 1.
	MaxAttempts int
	// Models are the models that the router chooses from, smallest first; empty if the caller
	// names one.
	Models []string
	Shares []Share // at least one
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service picks the service for a request by a number that is uniform in [0, 1).
func (r *Route) Service(random float64) string {
	var total float64
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := random * total
	for _, share := range r.Shares {
		at -= share.Weight
		if at < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Allows says whether the route sends any request to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Customer is a firm that shares the API.
type Customer struct {
	Name string
	// Priority replaces that of routes where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Service is a group of endpoints that run the same software.
type Service struct {
	Name string
	// MaxConns is the number of connections that an endpoint accepts from all instances together;
	// 0 means no limit.
	MaxConns int
	// ColdRate is the number of requests a second that an endpoint bears while it is cold; 0 means
	// no limit.
	ColdRate float64
	// Model says that the endpoints are model engines.
	Model bool
	// ModelCosts are the prices of the service's models, in any one unit; empty if unknown.
	ModelCosts map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Snapshot is one configuration. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Version is the operators' number of the configuration.
	Version uint64
	// Revision is the store's revision of the document; it orders snapshots.
	Revision  uint64
	Limits    Limits
	Services  map[string]*Service
	customers map[string]*Customer // by key
	guarded   bool                 // there are customers, so that routes need keys
	byHost    map[string][]*Route  // longest prefix first
}

// Draft is what a snapshot is built from.
type Draft struct {
	Version   uint64
	Revision  uint64
	Routes    []*Route
	Services  []*Service
	Customers map[string]*Customer // by key
	// Guarded says that routes need a key unless they are public.
	Guarded bool
	Limits  Limits
}

// New builds the snapshot's indexes. Routes without shares are left out: they lead nowhere.
func New(draft *Draft) *Snapshot {
	s := &Snapshot{
		Version:   draft.Version,
		Revision:  draft.Revision,
		Limits:    draft.Limits,
		Services:  make(map[string]*Service, len(draft.Services)),
		customers: draft.Customers,
		guarded:   draft.Guarded,
		byHost:    make(map[string][]*Route),
	}
	for _, service := range draft.Services {
		s.Services[service.Name] = service
	}
	for _, route := range draft.Routes {
		if len(route.Shares) == 0 {
			continue
		}
		host := strings.ToLower(route.Host)
		s.byHost[host] = append(s.byHost[host], route)
	}
	for _, routes := range s.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return s
}

// Route returns the host's route with the longest prefix of the path, or nil. The host may carry a
// port.
func (s *Snapshot) Route(host, path string) *Route {
	for _, route := range s.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// NeedsKey says whether a request on the route must carry a customer's key.
func (s *Snapshot) NeedsKey(route *Route) bool { return s.guarded && !route.Public }

// Customer returns the customer that holds the key, or nil.
func (s *Snapshot) Customer(key string) *Customer { return s.customers[key] }

// Routes returns the number of routes.
func (s *Snapshot) Routes() int {
	n := 0
	for _, routes := range s.byHost {
		n += len(routes)
	}
	return n
}

// Current holds the snapshot in force. The zero value holds none. Safe for concurrent use.
type Current struct {
	snapshot atomic.Pointer[Snapshot]
}

// Get returns the snapshot in force, or nil before the first one.
func (c *Current) Get() *Snapshot { return c.snapshot.Load() }

// Set puts a snapshot in force unless a newer one is, and says whether it did.
func (c *Current) Set(next *Snapshot) bool {
	for {
		current := c.snapshot.Load()
		if current != nil && current.Revision >= next.Revision {
			return false
		}
		if c.snapshot.CompareAndSwap(current, next) {
			return true
		}
	}
}
