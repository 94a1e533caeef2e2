package contract

import "slices"

const (
	maxConcurrentLimit = 100_000
	maxWeight          = 1_000_000
)

func (c *checker) models() {
	for i := range c.document.Models {
		model := &c.document.Models[i]
		at := place{table: "models", index: i, entry: model.Name}
		c.nameOf(at, modelName, c.snapshot.Models[model.Name] == model)
		if len(model.Versions) == 0 {
			c.add(at, "the model has no version")
		}
		if c.snapshot.Models[model.Name] != model {
			continue // its versions would all be duplicates
		}
		for j := range model.Versions {
			id := VersionID{model.Name, model.Versions[j].Name}
			c.version(place{table: "models", index: i, sub: "versions", inner: j, entry: id.String()}, id, &model.Versions[j])
		}
	}
}

func (c *checker) version(at place, id VersionID, version *ModelVersion) {
	switch {
	case !plainName.MatchString(id.Name):
		c.add(at.of("name"), "bad name: want letters, digits and ._- after a letter or digit, at most 64")
	case c.snapshot.Versions[id] != version:
		c.add(at.of("name"), "duplicate name")
	}
	switch version.State {
	case VersionActive, VersionDraining, VersionWithdrawn:
	default:
		c.add(at.of("state"), "%q is not active, draining or withdrawn", version.State)
	}
	c.amount(at.of("weight"), *version.Weight)
	if *version.Weight > maxWeight {
		c.add(at.of("weight"), "%v is above %d", *version.Weight, maxWeight)
	}
	c.price(at.of("prompt_price_micros"), version.PromptPrice)
	c.price(at.of("output_price_micros"), version.OutputPrice)
	c.share(at.of("quality"), version.Quality)
}

func (c *checker) pools() {
	for i := range c.document.Pools {
		pool := &c.document.Pools[i]
		at := place{table: "pools", index: i, entry: pool.Name}
		c.nameOf(at, plainName, c.snapshot.Pools[pool.Name] == pool)
		switch pool.Kind {
		case PoolEngine:
			c.enginePool(at, pool)
		case PoolService:
			c.servicePool(at, pool)
		default:
			c.add(at.of("kind"), "%q is not engine or service", pool.Kind)
		}
		c.between(at.of("max_concurrent"), pool.MaxConcurrent, 1, maxConcurrentLimit)
		c.between(at.of("cold_concurrent"), pool.ColdConcurrent, 1, maxConcurrentLimit)
		if pool.ColdConcurrent > pool.MaxConcurrent {
			c.add(at.of("cold_concurrent"), "%d is above max_concurrent %d", pool.ColdConcurrent, pool.MaxConcurrent)
		}
		c.between(at.of("warm_after"), pool.WarmAfter, 1, maxConcurrentLimit)
		c.price(at.of("request_price_micros"), pool.RequestPrice)
		c.poolRoutes(at.of("routes"), pool)
	}
}

func (c *checker) enginePool(at place, pool *Pool) {
	if pool.DeduplicatesByKey {
		c.add(at.of("deduplicates_by_key"), "only a service pool may say so")
	}
	if c.snapshot.Models[pool.Model] == nil {
		c.add(at.of("model"), "unknown model %q", pool.Model)
		return
	}
	c.unique(at.of("versions"), pool.Versions)
	known := true
	for _, name := range pool.Versions {
		if c.snapshot.Versions[VersionID{pool.Model, name}] == nil {
			c.add(at.of("versions"), "unknown version %q of model %q", name, pool.Model)
			known = false
		}
	}
	if known && !c.snapshot.anyServable(pool, nil) {
		c.unservable(at, "every version that the pool may serve is withdrawn")
	}
}

func (c *checker) servicePool(at place, pool *Pool) {
	if pool.Model != "" {
		c.add(at.of("model"), "a service pool has no model")
	}
	if len(pool.Versions) > 0 {
		c.add(at.of("versions"), "a service pool has no versions")
	}
	if pool.ChecksFence {
		c.add(at.of("checks_fence"), "only an engine pool may say so")
	}
}

// poolRoutes checks that both tables agree, seen from the pool.
func (c *checker) poolRoutes(at place, pool *Pool) {
	c.unique(at, pool.Routes)
	for _, name := range pool.Routes {
		route := c.snapshot.Routes[name]
		switch {
		case route == nil:
			c.add(at, "unknown route %q", name)
		case !slices.Contains(route.Pools, pool.Name):
			c.add(at, "route %q does not list the pool", name)
		}
	}
}

// anyServable says whether the pool may serve a version that is not withdrawn and, if customer is
// not nil, that the customer may use.
func (s *Snapshot) anyServable(pool *Pool, customer *Customer) bool {
	model := s.Models[pool.Model]
	if model == nil {
		return false
	}
	for i := range model.Versions {
		id := VersionID{model.Name, model.Versions[i].Name}
		if model.Versions[i].State != VersionWithdrawn && pool.Serves(id) && (customer == nil || customer.Allows(id)) {
			return true
		}
	}
	return false
}
