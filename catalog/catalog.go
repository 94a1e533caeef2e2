// Package catalog holds the operators' configuration on the users' platform in the form that package
// gateway uses: immutable snapshots of routes, customers, services and limits, indexed for look-up. It
// does no decoding; package platform does. The configuration of package entry is in package contract.
package catalog

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Kind determines what may be done with a route's requests after a failed attempt.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that requests of an unknown
	// kind are never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Streaming requests are answered with a stream of events. They may be repeated only by resuming
	// the stream.
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

// Route maps requests to services, with their timeouts and retry rules.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix    string
	Kind      Kind
	Resumable bool // an interrupted stream may be continued at another endpoint
	Public    bool // needs no key
	// Affinity is set if requests identify the parts of their prompt, so that they can be sent to
	// endpoints that have them cached.
	Affinity  bool
	Timeout   time.Duration // longest time that a caller waits for an answer
	Goal      time.Duration // latency target; later answers have less value to the caller
	GapTarget time.Duration // longest interval between two events of an answer that meets its target
	Priority  int           // 0 is the most urgent
	// MaxAttempts is the maximum number of endpoints that may run one request; at least 1.
	MaxAttempts int
	// Models are the models that the router chooses from, smallest first; empty if the caller
	// chooses the model.
	Models []string
	Shares []Share // at least one
}

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64 // relative to the sum over the route's shares
}

// Repeatable reports whether a request of the route may be attempted again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request, drawn by weight. random is uniform in [0, 1).
func (r *Route) Service(random float64) string {
	var total float64
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := random * total
	for _, share := range r.Shares {
		remaining -= share.Weight
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Allows reports whether the route sends any requests to the service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Customer is a tenant of the API.
type Customer struct {
	Name string
	// Priority overrides the routes' priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Service is a group of endpoints that run the same software.
type Service struct {
	Name string
	// MaxConns is the number of connections that an endpoint accepts from all instances together;
	// 0 means no limit.
	MaxConns int
	// ColdRate is the number of requests per second that an endpoint can take while it is cold, from
	// all instances together; 0 means no limit.
	ColdRate float64
	// Model is set if the endpoints are model engines.
	Model bool
	// ModelCosts are the relative prices of the service's models, by name; empty if unknown.
	ModelCosts map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes bounds a request's header fields; 0 if they have no bound.
	HeaderBytes int64
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Snapshot is one version of the configuration. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Version is the version number that operators gave the configuration.
	Version uint64
	// Era and Revision are the store's position of the document. Snapshots are ordered by it.
	Era          uint64
	Revision     uint64
	Limits       Limits
	Services     map[string]*Service  // by name
	customers    map[string]*Customer // by key
	keysRequired bool                 // routes need a key unless they are public
	byHost       map[string][]*Route  // longest prefix first
}

// Draft is the content from which a snapshot is built.
type Draft struct {
	Version   uint64
	Era       uint64
	Revision  uint64
	Routes    []*Route
	Services  []*Service
	Customers map[string]*Customer // by key
	// KeysRequired is set if routes need a key unless they are public.
	KeysRequired bool
	Limits       Limits
}

// New builds a snapshot, which takes over the draft's contents. Routes without shares are left out, since
// they have no service to send requests to.
func New(draft *Draft) *Snapshot {
	s := &Snapshot{
		Version:      draft.Version,
		Era:          draft.Era,
		Revision:     draft.Revision,
		Limits:       draft.Limits,
		Services:     make(map[string]*Service, len(draft.Services)),
		customers:    draft.Customers,
		keysRequired: draft.KeysRequired,
		byHost:       make(map[string][]*Route),
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

// Route returns the host's route with the longest prefix of the path, or nil. The host may include a
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

// NeedsKey reports whether a request on the route must have a customer's key.
func (s *Snapshot) NeedsKey(route *Route) bool { return s.keysRequired && !route.Public }

// CustomerNamed returns the customer with the name, or nil.
func (s *Snapshot) CustomerNamed(name string) *Customer {
	for _, customer := range s.customers {
		if customer.Name == name {
			return customer
		}
	}
	return nil
}

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

// Set puts a snapshot in force and reports whether it did. It does nothing if the snapshot in force is
// as new or newer.
func (c *Current) Set(next *Snapshot) bool {
	for {
		current := c.snapshot.Load()
		if current != nil && !next.replaces(current) {
			return false
		}
		if c.snapshot.CompareAndSwap(current, next) {
			return true
		}
	}
}

// replaces reports whether the snapshot is newer than another one. A store that comes back from an older copy, in a new era, may have an
// older version than the one in force.
func (s *Snapshot) replaces(current *Snapshot) bool {
	if s.Era != current.Era {
		return s.Era > current.Era && s.Version >= current.Version
	}
	return s.Revision > current.Revision
}
