package zone

import (
	"sync"
	"sync/atomic"

	"plumbarrow.example/plumbarrow/contract"
)

// Effective is the accepted configuration with the orders in force laid over it. It is rebuilt
// only when either changes. Safe for concurrent use.
type Effective struct {
	source contract.Source
	orders *Orders

	mu    sync.Mutex // serializes rebuilds
	built atomic.Pointer[built]
}

// built is one result with what it was made from.
type built struct {
	accepted *contract.Snapshot
	version  uint64 // of the orders
	result   *contract.Snapshot
}

var _ contract.Source = (*Effective)(nil)

// NewEffective returns the overlay of orders over source.
func NewEffective(source contract.Source, orders *Orders) *Effective {
	return &Effective{source: source, orders: orders}
}

// Current implements contract.Source.
func (e *Effective) Current() *contract.Snapshot {
	accepted := e.source.Current()
	if accepted == nil {
		return nil
	}
	if last := e.built.Load(); last != nil && last.accepted == accepted && last.version == e.orders.changes.Load() {
		return last.result
	}
	return e.rebuild()
}

func (e *Effective) rebuild() *contract.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := e.source.Current()
	orders, version := e.orders.against(accepted)
	next := &built{accepted: accepted, version: version, result: accepted.Restrict(restrictions(orders))}
	e.built.Store(next)
	return next.result
}
