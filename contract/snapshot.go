package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// Revision is the number of an accepted configuration. Revisions increase monotonically; 0 means
// none.
type Revision uint64

// VersionID identifies a version of a model.
type VersionID struct {
	Model string
	Name  string
}

// String returns model@version.
func (v VersionID) String() string { return v.Model + "@" + v.Name }

// Snapshot is a validated document at a revision with its indexes. It is safe for concurrent use,
// because neither it nor its maps may be modified.
type Snapshot struct {
	Revision  Revision
	Document  *Document
	Zones     map[string]*Zone
	Customers map[string]*Customer
	Models    map[string]*Model
	Versions  map[VersionID]*ModelVersion
	Pools     map[string]*Pool
	Routes    map[string]*Route

	customersByKeyHash map[string]*Customer
	routesByModel      map[string][]*Route
	serviceRoutes      []*Route // longest prefix first
}

// Source returns the snapshot in force at an entry instance, or nil before there is one.
type Source interface {
	Current() *Snapshot
}

// HashKey returns the hex SHA-256 of an API key, as listed in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey returns the customer that owns an API key, or nil.
func (s *Snapshot) CustomerByKey(key string) *Customer {
	return s.customersByKeyHash[HashKey(key)]
}

// ModelRoute returns the customer's route for the model name, or nil. known reports whether any
// customer has such a route.
func (s *Snapshot) ModelRoute(model, customer string) (route *Route, known bool) {
	routes := s.routesByModel[model]
	for _, route := range routes {
		if route.allowsCustomer(customer) {
			return route, true
		}
	}
	return nil, len(routes) > 0
}

// ServiceRoute returns the route with the longest matching path prefix that the customer may use,
// or nil. known reports whether any customer has such a route.
func (s *Snapshot) ServiceRoute(path, customer string) (route *Route, known bool) {
	for _, route := range s.serviceRoutes {
		if !hasPathPrefix(path, route.PathPrefix) {
			continue
		}
		known = true
		if route.allowsCustomer(customer) {
			return route, true
		}
	}
	return nil, known
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}

func (r *Route) allowsCustomer(name string) bool {
	for _, customer := range r.Customers {
		if customer == name {
			return true
		}
	}
	return false
}

// Allows reports whether the customer may use the version.
func (c *Customer) Allows(version VersionID) bool {
	for _, name := range c.Models {
		if name == version.Model || name == version.String() {
			return true
		}
	}
	return false
}

// Serves reports whether the pool may serve the version.
func (p *Pool) Serves(version VersionID) bool {
	if p.Model != version.Model {
		return false
	}
	if len(p.Versions) == 0 {
		return true
	}
	for _, name := range p.Versions {
		if name == version.Name {
			return true
		}
	}
	return false
}

// Deadline is the longest allowed time to the first byte.
func (r *Route) Deadline() time.Duration { return time.Duration(r.DeadlineMS) * time.Millisecond }

// Progress is the longest allowed gap between two parts of a stream.
func (r *Route) Progress() time.Duration { return time.Duration(r.ProgressMS) * time.Millisecond }

// Idempotent reports whether a request with this method may be repeated. Chat requests are always
// idempotent, as an engine has no side effects.
func (r *Route) Idempotent(method string) bool {
	if r.PathPrefix == "" {
		return true
	}
	for _, idempotent := range r.IdempotentMethods {
		if idempotent == method {
			return true
		}
	}
	return false
}

// ZoneInService reports whether the zone is configured and in service.
func (s *Snapshot) ZoneInService(name string) bool {
	zone := s.Zones[name]
	return zone != nil && !zone.OutOfService
}
