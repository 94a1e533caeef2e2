package decide

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.1
	// retryBurst is the most retries that can be saved up.
	retryBurst   = 10
	budgetShards = 16
)

// Allowance bounds retries to a share of the first attempts, plus a burst, by name. First attempts pay
// tokens in and retries take them out, as in Finagle's RetryBudget; no clock is involved. Its size grows
// with the names in use. Safe for concurrent use.
type Allowance struct {
	share  float64
	burst  float64
	shards [budgetShards]allowanceShard
}

type allowanceShard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewAllowance returns an allowance with a full burst for every name: share is the number of retries that
// a first attempt pays for, burst the most that can be saved up.
func NewAllowance(share, burst float64) *Allowance {
	allowance := &Allowance{share: share, burst: burst}
	for i := range allowance.shards {
		allowance.shards[i].tokens = make(map[string]float64)
	}
	return allowance
}

// Paid counts a first attempt.
func (a *Allowance) Paid(name string) { a.add(name, a.share) }

// Take reports whether a retry is allowed, and takes it out if so.
func (a *Allowance) Take(name string) bool {
	shard := a.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	have := a.left(shard, name)
	if have < 1 {
		return false
	}
	shard.tokens[name] = have - 1
	return true
}

func (a *Allowance) add(name string, tokens float64) {
	shard := a.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.tokens[name] = min(a.left(shard, name)+tokens, a.burst)
}

// left is what a name has. The caller holds the shard's lock.
func (a *Allowance) left(shard *allowanceShard, name string) float64 {
	if have, ok := shard.tokens[name]; ok {
		return have
	}
	return a.burst
}

func (a *Allowance) shard(name string) *allowanceShard {
	return &a.shards[xxhash.Sum64String(name)%budgetShards]
}

// RetryBudget bounds retries and hedges to a tenth of the first attempts, plus a burst, per customer
// and per pool. Safe for concurrent use.
type RetryBudget struct {
	customers *Allowance
	pools     *Allowance
}

// NewRetryBudget returns a budget with a full burst for everyone.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{customers: NewAllowance(retryShare, retryBurst), pools: NewAllowance(retryShare, retryBurst)}
}

// Paid counts a first attempt.
func (b *RetryBudget) Paid(customer, pool string) {
	b.customers.Paid(customer)
	b.pools.Paid(pool)
}

// Take reports whether a retry is within both budgets, and takes it out of them if so.
func (b *RetryBudget) Take(customer, pool string) bool {
	if !b.customers.Take(customer) {
		return false
	}
	if b.pools.Take(pool) {
		return true
	}
	b.customers.add(customer, 1)
	return false
}
