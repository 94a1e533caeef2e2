package contract

import "fmt"

// validate checks what no single field shows: names that dangle between the tables.
func validate(document *Document, snapshot *Snapshot) error {
	for i := range document.Routes {
		route := &document.Routes[i]
		if len(route.Pools) == 0 {
			return fmt.Errorf("route %s: names no pool", route.Name)
		}
		for _, name := range route.Pools {
			if snapshot.Pools[name] == nil {
				return fmt.Errorf("route %s: unknown pool %s", route.Name, name)
			}
		}
	}
	for i := range document.Pools {
		pool := &document.Pools[i]
		if pool.Kind == PoolEngine && snapshot.Models[pool.Model] == nil {
			return fmt.Errorf("pool %s: unknown model %s", pool.Name, pool.Model)
		}
	}
	return nil
}
