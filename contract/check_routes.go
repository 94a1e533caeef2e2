package contract

import (
	"regexp"
	"slices"
	"strings"
)

const (
	maxDeadlineMS = 600_000
	apiPrefix     = "/v1" // the callers' model API
)

var (
	httpMethod = regexp.MustCompile(`^[A-Z]{3,16}$`)
	pathPrefix = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
)

// target is what a caller names; it selects at most one route for each customer.
type target struct{ key, customer string }

func (c *checker) routes() {
	taken := make(map[target]string)
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		at := place{table: "routes", index: i, entry: route.Name}
		c.nameOf(at, plainName, c.snapshot.Routes[route.Name] == route)
		switch {
		case route.Model == "" && route.PathPrefix == "":
			c.add(at, "neither model nor path_prefix is set")
		case route.Model != "" && route.PathPrefix != "":
			c.add(at, "model and path_prefix are both set")
		case route.Model != "":
			c.modelRoute(at, route)
		default:
			c.serviceRoute(at, route)
		}
		c.routePools(at.of("pools"), route)
		c.routeCustomers(at.of("customers"), route, taken)
		c.routeLimits(at, route)
	}
}

func (c *checker) modelRoute(at place, route *Route) {
	if !modelName.MatchString(route.Model) {
		c.add(at.of("model"), "bad model name %q", route.Model)
	}
	c.share(at.of("quality_target"), route.QualityTarget)
	best, known := c.snapshot.bestQuality(route)
	if known && best < route.QualityTarget {
		c.unservable(at.of("quality_target"), "unreachable: %v is above the best quality %v of the route's versions", route.QualityTarget, best)
	}
}

func (c *checker) serviceRoute(at place, route *Route) {
	prefix := route.PathPrefix
	switch {
	case !pathPrefix.MatchString(prefix) || strings.Contains(prefix, "..") || strings.Contains(prefix, "//"):
		c.add(at.of("path_prefix"), "bad path prefix %q: want /name or /name/name", prefix)
	case hasPathPrefix(prefix, apiPrefix):
		c.add(at.of("path_prefix"), "%q lies within the model API %s", prefix, apiPrefix)
	}
	if route.QualityTarget != 0 {
		c.add(at.of("quality_target"), "a service has no quality target")
	}
	if len(route.Pools) > 1 {
		c.add(at.of("pools"), "a service route has one pool, not a cascade of %d", len(route.Pools))
	}
	c.unique(at.of("idempotent_methods"), route.IdempotentMethods)
	for _, method := range route.IdempotentMethods {
		if !httpMethod.MatchString(method) {
			c.add(at.of("idempotent_methods"), "%q is not an HTTP method in upper case", method)
		}
	}
}

// routePools checks that both tables agree, seen from the route.
func (c *checker) routePools(at place, route *Route) {
	if len(route.Pools) == 0 {
		c.add(at, "the route names no pool")
	}
	c.unique(at, route.Pools)
	want := PoolEngine
	if route.PathPrefix != "" {
		want = PoolService
	}
	for _, name := range route.Pools {
		pool := c.snapshot.Pools[name]
		switch {
		case pool == nil:
			c.add(at, "unknown pool %q", name)
		case !slices.Contains(pool.Routes, route.Name):
			c.add(at, "pool %q does not list the route", name)
		case pool.Kind != want:
			c.add(at, "pool %q is of kind %s, the route needs %s", name, pool.Kind, want)
		}
	}
}

func (c *checker) routeCustomers(at place, route *Route, taken map[target]string) {
	if len(route.Customers) == 0 {
		c.add(at, "the route names no customer")
	}
	c.unique(at, route.Customers)
	key := "model " + route.Model
	if route.PathPrefix != "" {
		key = "path prefix " + strings.TrimSuffix(route.PathPrefix, "/")
	}
	for _, name := range route.Customers {
		customer := c.snapshot.Customers[name]
		if customer == nil {
			c.add(at, "unknown customer %q", name)
			continue
		}
		this := target{key, name}
		if other, twice := taken[this]; twice && other != route.Name {
			c.add(at, "route %q gives customer %q the same %s", other, name, key)
		}
		taken[this] = route.Name
		c.customerMayUse(at, route, customer)
	}
}

// customerMayUse checks that each cascade step has a version that the customer may use.
func (c *checker) customerMayUse(at place, route *Route, customer *Customer) {
	for _, name := range route.Pools {
		pool := c.snapshot.Pools[name]
		if pool == nil || pool.Kind != PoolEngine || !c.snapshot.anyServable(pool, nil) {
			continue // reported at the pool
		}
		if !c.snapshot.anyServable(pool, customer) {
			c.unservable(at, "customer %q may use no version of pool %q", customer.Name, name)
		}
	}
}

func (c *checker) routeLimits(at place, route *Route) {
	c.between(at.of("deadline_ms"), route.DeadlineMS, 1, maxDeadlineMS)
	c.between(at.of("progress_ms"), route.ProgressMS, 1, maxDeadlineMS)
	c.between(at.of("priority"), route.Priority, -maxPriority, maxPriority)
	if route.OnWithdrawn != WithdrawnRefuse && route.OnWithdrawn != WithdrawnRestart {
		c.add(at.of("on_withdrawn"), "%q is not refuse or restart", route.OnWithdrawn)
	}
	if route.WhenUnconfirmed != UnconfirmedServe && route.WhenUnconfirmed != UnconfirmedRefuse {
		c.add(at.of("when_unconfirmed"), "%q is not serve or refuse", route.WhenUnconfirmed)
	}
}

// bestQuality is the highest quality prior among the route's versions that are not withdrawn. It
// is not known if one of them has none.
func (s *Snapshot) bestQuality(route *Route) (best float64, known bool) {
	for _, name := range route.Pools {
		pool := s.Pools[name]
		if pool == nil || s.Models[pool.Model] == nil {
			return 0, false
		}
		model := s.Models[pool.Model]
		for i := range model.Versions {
			version := &model.Versions[i]
			if version.State == VersionWithdrawn || !pool.Serves(VersionID{model.Name, version.Name}) {
				continue
			}
			if version.Quality == 0 {
				return 0, false
			}
			best, known = max(best, version.Quality), true
		}
	}
	return best, known
}
