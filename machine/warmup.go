package machine

import (
	"math"

	"plumbarrow.example/plumbarrow/contract"
)

// limits are a pool's bounds on one endpoint's concurrent requests, over all entry instances.
type limits struct {
	cold      int // of a fresh endpoint
	warmAfter int // completed requests that double the limit
	full      int // of a warm endpoint
}

func limitsOf(pool *contract.Pool) limits {
	full := max(pool.MaxConcurrent, 1)
	return limits{
		cold:      min(max(pool.ColdConcurrent, 1), full),
		warmAfter: max(pool.WarmAfter, 1),
		full:      full,
	}
}

// at returns the limit after progress completed requests. It doubles with each warmAfter of them
// in small steps, so that no completion opens many slots at once.
func (l limits) at(progress uint64) int {
	if progress >= l.fullProgress() {
		return l.full
	}
	doublings := float64(progress) / float64(l.warmAfter)
	return min(int(float64(l.cold)*math.Exp2(doublings)), l.full)
}

// fullProgress returns the completed requests after which the limit is full.
func (l limits) fullProgress() uint64 { return l.progressFor(l.full) }

// progressFor returns the completed requests after which the limit is at least n.
func (l limits) progressFor(n int) uint64 {
	if n <= l.cold {
		return 0
	}
	doublings := math.Log2(float64(n) / float64(l.cold))
	return uint64(math.Ceil(doublings * float64(l.warmAfter)))
}
