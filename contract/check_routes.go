package contract

import (
	"regexp"
	"slices"
	"strings"
)

const (
	maxDeadlineMS = 600_000
	apiPrefix     = "/v1" // reserved for the OpenAI-compatible API
)

var (
	httpMethodPattern = regexp.MustCompile(`^[A-Z]{3,16}$`)
	pathPrefixPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
)

// target is a model name or path prefix together with a customer. It must select at most one route.
type target struct{ key, customer string }

func (c *checker) routes() {
	routeByTarget := make(map[target]string)
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		at := location{table: "routes", index: i, entryName: route.Name}
		c.checkName(at, namePattern, c.snapshot.Routes[route.Name] == route)
		switch {
		case route.Model == "" && route.PathPrefix == "":
			c.add(at, "neither model nor path_prefix is set")
		case route.Model != "" && route.PathPrefix != "":
			c.add(at, "model and path_prefix are both set")
		case route.Model != "":
			c.checkModelRoute(at, route)
		default:
			c.checkServiceRoute(at, route)
		}
		c.checkRoutePools(at.withField("pools"), route)
		c.checkRouteCustomers(at.withField("customers"), route, routeByTarget)
		c.checkRouteSettings(at, route)
	}
}

func (c *checker) checkModelRoute(at location, route *Route) {
	if !modelNamePattern.MatchString(route.Model) {
		c.add(at.withField("model"), "bad model name %q", route.Model)
	}
	c.checkFraction(at.withField("quality_target"), route.QualityTarget)
	best, known := c.snapshot.bestQuality(route)
	if known && best < route.QualityTarget {
		c.addUnservable(at.withField("quality_target"), "unreachable: %v is above the best quality %v of the route's versions", route.QualityTarget, best)
	}
}

func (c *checker) checkServiceRoute(at location, route *Route) {
	prefix := route.PathPrefix
	switch {
	case !pathPrefixPattern.MatchString(prefix) || strings.Contains(prefix, "..") || strings.Contains(prefix, "//"):
		c.add(at.withField("path_prefix"), "bad path prefix %q: want /name or /name/name", prefix)
	case hasPathPrefix(prefix, apiPrefix):
		c.add(at.withField("path_prefix"), "%q lies within the model API %s", prefix, apiPrefix)
	}
	if route.QualityTarget != 0 {
		c.add(at.withField("quality_target"), "a service has no quality target")
	}
	if len(route.Pools) > 1 {
		c.add(at.withField("pools"), "a service route has one pool, not a cascade of %d", len(route.Pools))
	}
	c.checkUnique(at.withField("idempotent_methods"), route.IdempotentMethods)
	for _, method := range route.IdempotentMethods {
		if !httpMethodPattern.MatchString(method) {
			c.add(at.withField("idempotent_methods"), "%q is not an HTTP method in upper case", method)
		}
	}
}

// checkRoutePools checks that each pool that the route lists exists, lists the route and is of the
// route's kind.
func (c *checker) checkRoutePools(at location, route *Route) {
	if len(route.Pools) == 0 {
		c.add(at, "the route names no pool")
	}
	c.checkUnique(at, route.Pools)
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

func (c *checker) checkRouteCustomers(at location, route *Route, routeByTarget map[target]string) {
	if len(route.Customers) == 0 {
		c.add(at, "the route names no customer")
	}
	c.checkUnique(at, route.Customers)
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
		if other, found := routeByTarget[this]; found && other != route.Name {
			c.add(at, "route %q gives customer %q the same %s", other, name, key)
		}
		routeByTarget[this] = route.Name
		c.checkUsableVersions(at, route, customer)
	}
}

// checkUsableVersions checks that the customer may use at least one version of each engine pool of
// the route.
func (c *checker) checkUsableVersions(at location, route *Route, customer *Customer) {
	for _, name := range route.Pools {
		pool := c.snapshot.Pools[name]
		if pool == nil || pool.Kind != PoolEngine || !c.snapshot.anyServable(pool, nil) {
			continue // reported at the pool
		}
		if !c.snapshot.anyServable(pool, customer) {
			c.addUnservable(at, "customer %q may use no version of pool %q", customer.Name, name)
		}
	}
}

func (c *checker) checkRouteSettings(at location, route *Route) {
	c.checkRange(at.withField("deadline_ms"), route.DeadlineMS, 1, maxDeadlineMS)
	c.checkRange(at.withField("progress_ms"), route.ProgressMS, 1, maxDeadlineMS)
	c.checkRange(at.withField("priority"), route.Priority, -maxPriority, maxPriority)
	if route.OnWithdrawn != WithdrawnRefuse && route.OnWithdrawn != WithdrawnRestart {
		c.add(at.withField("on_withdrawn"), "%q is not refuse or restart", route.OnWithdrawn)
	}
	if route.WhenUnconfirmed != UnconfirmedServe && route.WhenUnconfirmed != UnconfirmedRefuse {
		c.add(at.withField("when_unconfirmed"), "%q is not serve or refuse", route.WhenUnconfirmed)
	}
}

// bestQuality returns the highest quality prior among the route's versions that are not withdrawn.
// known is false if there is no such version, one of them has no prior, or a pool or its model is not
// configured.
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
