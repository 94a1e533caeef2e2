package daemon

import (
	"sync/atomic"

	"plumbarrow.example/plumbarrow/contract"
)

// restrictedSource is a contract.Source that applies this instance's own restrictions, its quarantines of bad
// versions, to the fleet's effective configuration. The snapshot is rebuilt only when either changes. Safe
// for concurrent use.
type restrictedSource struct {
	source       contract.Source
	restrictions atomic.Pointer[contract.Restrictions]
	cached       atomic.Pointer[restrictedSnapshot]
}

// restrictedSnapshot is the result of applying restrictions to base.
type restrictedSnapshot struct {
	base         *contract.Snapshot
	restrictions *contract.Restrictions
	result       *contract.Snapshot
}

var _ contract.Source = (*restrictedSource)(nil)

// set replaces the instance's own restrictions.
func (s *restrictedSource) set(restrictions contract.Restrictions) {
	s.restrictions.Store(&restrictions)
}

// Current implements contract.Source.
func (s *restrictedSource) Current() *contract.Snapshot {
	base := s.source.Current()
	restrictions := s.restrictions.Load()
	if base == nil || restrictions == nil {
		return base
	}
	if last := s.cached.Load(); last != nil && last.base == base && last.restrictions == restrictions {
		return last.result
	}
	result := base.Restrict(*restrictions)
	s.cached.Store(&restrictedSnapshot{base: base, restrictions: restrictions, result: result})
	return result
}
