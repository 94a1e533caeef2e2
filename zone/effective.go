package zone

import (
	"sync"
	"sync/atomic"

	"plumbarrow.example/plumbarrow/contract"
)

// Effective is the accepted configuration as restricted by the orders in effect. The restricted
// snapshot is cached and rebuilt only when the configuration or the orders change. Safe for
// concurrent use.
type Effective struct {
	source contract.Source
	orders *Orders

	mu      sync.Mutex // serializes rebuilds
	overlay atomic.Pointer[overlay]
}

// overlay is a restricted snapshot with the inputs that it was computed from.
type overlay struct {
	accepted    *contract.Snapshot
	changeCount uint64 // Orders.changeCount
	result      *contract.Snapshot
}

var _ contract.Source = (*Effective)(nil)

// NewEffective returns the configuration of source as restricted by orders.
func NewEffective(source contract.Source, orders *Orders) *Effective {
	return &Effective{source: source, orders: orders}
}

// Current implements contract.Source.
func (e *Effective) Current() *contract.Snapshot {
	accepted := e.source.Current()
	if accepted == nil {
		return nil
	}
	if last := e.overlay.Load(); last != nil && last.accepted == accepted && last.changeCount == e.orders.changeCount.Load() {
		return last.result
	}
	return e.rebuild()
}

func (e *Effective) rebuild() *contract.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := e.source.Current()
	orders, changeCount := e.orders.unsettled(accepted)
	next := &overlay{accepted: accepted, changeCount: changeCount, result: accepted.Restrict(restrictions(orders))}
	e.overlay.Store(next)
	return next.result
}
