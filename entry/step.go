package entry

import "plumbarrow.example/plumbarrow/decide"

// reachable says whether any endpoint of the pool is listed in this zone, or has room in another.
func (f *chatFlow) reachable(pool string) bool {
	if f.server.Table.Pool(pool).Len() > 0 {
		return true
	}
	if f.server.Zones == nil {
		return false
	}
	for _, zone := range f.server.Zones() {
		if zone.Spare[pool] > 0 {
			return true
		}
	}
	return false
}

// reachableStep returns the step, or, if its pool has run out altogether, the nearest better one
// with endpoints, else the nearest cheaper one. Its answer is delivered as it is: the route's other
// steps can't improve on it.
func (f *chatFlow) reachableStep(step decide.Step) decide.Step {
	if f.reachable(step.Pool) {
		return step
	}
	pools := f.request.Route.Pools
	for i := step.Index + 1; i < len(pools); i++ {
		if f.reachable(pools[i]) {
			return f.instead(step, i)
		}
	}
	for i := step.Index - 1; i >= 0; i-- {
		if f.reachable(pools[i]) {
			return f.instead(step, i)
		}
	}
	return step
}

func (f *chatFlow) instead(step decide.Step, index int) decide.Step {
	f.note(decide.Note{Stage: "cascade", Reason: "pool_without_endpoints:" + step.Pool})
	return decide.Step{Index: index, Pool: f.request.Route.Pools[index]}
}
