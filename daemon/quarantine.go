package daemon

import (
	"sync/atomic"

	"plumbarrow.example/plumbarrow/contract"
)

// quarantine lays this instance's own restrictions over the fleet's effective configuration. It is
// rebuilt only when either changes. Safe for concurrent use.
type quarantine struct {
	source       contract.Source
	restrictions atomic.Pointer[contract.Restrictions]
	built        atomic.Pointer[overlaid]
}

type overlaid struct {
	base         *contract.Snapshot
	restrictions *contract.Restrictions
	result       *contract.Snapshot
}

var _ contract.Source = (*quarantine)(nil)

// set replaces the instance's own restrictions.
func (q *quarantine) set(restrictions contract.Restrictions) { q.restrictions.Store(&restrictions) }

// Current implements contract.Source.
func (q *quarantine) Current() *contract.Snapshot {
	base := q.source.Current()
	restrictions := q.restrictions.Load()
	if base == nil || restrictions == nil {
		return base
	}
	if last := q.built.Load(); last != nil && last.base == base && last.restrictions == restrictions {
		return last.result
	}
	result := base.Restrict(*restrictions)
	q.built.Store(&overlaid{base: base, restrictions: restrictions, result: result})
	return result
}
