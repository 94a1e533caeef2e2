package contract

import "slices"

const (
	maxConcurrentLimit = 100_000
	maxWeight          = 1_000_000
)

func (c *checker) models() {
	for i := range c.document.Models {
		model := &c.document.Models[i]
		at := location{table: "models", index: i, entryName: model.Name}
		c.checkName(at, modelNamePattern, c.snapshot.Models[model.Name] == model)
		if len(model.Versions) == 0 {
			c.add(at, "the model has no version")
		}
		if c.snapshot.Models[model.Name] != model {
			continue // its versions would all be duplicates
		}
		for j := range model.Versions {
			id := VersionID{model.Name, model.Versions[j].Name}
			c.version(location{table: "models", index: i, subTable: "versions", subIndex: j, entryName: id.String()}, id, &model.Versions[j])
		}
	}
}

func (c *checker) version(at location, id VersionID, version *ModelVersion) {
	switch {
	case !namePattern.MatchString(id.Name):
		c.add(at.withField("name"), "bad name: want letters, digits and ._- after a letter or digit, at most 64")
	case c.snapshot.Versions[id] != version:
		c.add(at.withField("name"), "duplicate name")
	}
	switch version.State {
	case VersionActive, VersionDraining, VersionWithdrawn:
	default:
		c.add(at.withField("state"), "%q is not active, draining or withdrawn", version.State)
	}
	c.checkNonNegative(at.withField("weight"), *version.Weight)
	if *version.Weight > maxWeight {
		c.add(at.withField("weight"), "%v is above %d", *version.Weight, maxWeight)
	}
	c.checkPrice(at.withField("prompt_price_micros"), version.PromptPrice)
	c.checkPrice(at.withField("output_price_micros"), version.OutputPrice)
	c.checkFraction(at.withField("quality"), version.Quality)
}

func (c *checker) pools() {
	for i := range c.document.Pools {
		pool := &c.document.Pools[i]
		at := location{table: "pools", index: i, entryName: pool.Name}
		c.checkName(at, namePattern, c.snapshot.Pools[pool.Name] == pool)
		switch pool.Kind {
		case PoolEngine:
			c.checkEnginePool(at, pool)
		case PoolService:
			c.checkServicePool(at, pool)
		default:
			c.add(at.withField("kind"), "%q is not engine or service", pool.Kind)
		}
		c.checkRange(at.withField("max_concurrent"), pool.MaxConcurrent, 1, maxConcurrentLimit)
		c.checkRange(at.withField("cold_concurrent"), pool.ColdConcurrent, 1, maxConcurrentLimit)
		if pool.ColdConcurrent > pool.MaxConcurrent {
			c.add(at.withField("cold_concurrent"), "%d is above max_concurrent %d", pool.ColdConcurrent, pool.MaxConcurrent)
		}
		c.checkRange(at.withField("warm_after"), pool.WarmAfter, 1, maxConcurrentLimit)
		c.checkPrice(at.withField("request_price_micros"), pool.RequestPrice)
		c.checkPoolRoutes(at.withField("routes"), pool)
	}
}

func (c *checker) checkEnginePool(at location, pool *Pool) {
	if pool.DeduplicatesByKey {
		c.add(at.withField("deduplicates_by_key"), "only a service pool may say so")
	}
	if c.snapshot.Models[pool.Model] == nil {
		c.add(at.withField("model"), "unknown model %q", pool.Model)
		return
	}
	c.checkUnique(at.withField("versions"), pool.Versions)
	known := true
	for _, name := range pool.Versions {
		if c.snapshot.Versions[VersionID{pool.Model, name}] == nil {
			c.add(at.withField("versions"), "unknown version %q of model %q", name, pool.Model)
			known = false
		}
	}
	if known && !c.snapshot.anyServable(pool, nil) {
		c.addUnservable(at, "every version that the pool may serve is withdrawn")
	}
}

func (c *checker) checkServicePool(at location, pool *Pool) {
	if pool.Model != "" {
		c.add(at.withField("model"), "a service pool has no model")
	}
	if len(pool.Versions) > 0 {
		c.add(at.withField("versions"), "a service pool has no versions")
	}
	if pool.ChecksFence {
		c.add(at.withField("checks_fence"), "only an engine pool may say so")
	}
}

// checkPoolRoutes checks that each route that the pool lists exists and lists the pool.
func (c *checker) checkPoolRoutes(at location, pool *Pool) {
	c.checkUnique(at, pool.Routes)
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

// anyServable reports whether the pool may serve a version that is not withdrawn and, if customer is
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
