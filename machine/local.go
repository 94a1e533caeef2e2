package machine

// Acquire counts a request of this instance alone, without regard to the others.
//
// Deprecated: use Permits, which keeps the limit over all entry instances.
func (t *Table) Acquire(endpoint Endpoint) (release func(), ok bool) {
	one := t.get(endpoint.ID)
	if one == nil {
		return nil, false
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.leaving || one.endpoint.InFlight >= one.limits.full {
		return nil, false
	}
	one.endpoint.InFlight++
	return func() {
		one.mu.Lock()
		one.endpoint.InFlight--
		one.mu.Unlock()
	}, true
}
