package machine

// Acquire counts a request of this instance alone, up to the pool's full limit. It suits an entry
// instance that is alone in its zone; Permits keeps the limit over all of them.
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
