package entry

import "plumbarrow.example/plumbarrow/decide"

// reachable reports whether the pool has an endpoint in this zone, or spare capacity in another
// zone.
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

// reachableStep returns the step if its pool is reachable, else the next later (better) step whose
// pool is, else the nearest earlier (cheaper) one. The answer of a substitute is delivered unrated:
// on a route with two pools no other step could improve on it.
func (f *chatFlow) reachableStep(step decide.Step) decide.Step {
	if f.reachable(step.Pool) {
		return step
	}
	pools := f.request.Route.Pools
	for i := step.Index + 1; i < len(pools); i++ {
		if f.reachable(pools[i]) {
			return f.substituteStep(step, i)
		}
	}
	for i := step.Index - 1; i >= 0; i-- {
		if f.reachable(pools[i]) {
			return f.substituteStep(step, i)
		}
	}
	return step
}

// substituteStep returns the unrated step at index and notes why it replaces step.
func (f *chatFlow) substituteStep(step decide.Step, index int) decide.Step {
	f.note(decide.Note{Stage: "cascade", Reason: "pool_without_endpoints:" + step.Pool})
	return decide.Step{Index: index, Pool: f.request.Route.Pools[index]}
}
