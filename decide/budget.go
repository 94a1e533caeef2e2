package decide

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// retriesPerAttempt is the number of retry tokens that each first attempt adds.
	retriesPerAttempt = 0.1
	// retryBurst is the largest number of retry tokens that can accumulate.
	retryBurst   = 10
	budgetShards = 16
)

// Allowance is a set of retry token buckets, one per name. It bounds retries to a share of the first
// attempts plus a burst: each first attempt adds tokens and each retry takes one, as in Finagle's
// RetryBudget. Buckets do not refill with time. Buckets are never removed, so memory use grows with the
// number of names. Safe for concurrent use.
type Allowance struct {
	perAttempt float64
	burst      float64
	shards     [budgetShards]bucketShard
}

type bucketShard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewAllowance returns an allowance whose buckets start full. perAttempt is the number of tokens that a
// first attempt adds, burst the capacity of a bucket.
func NewAllowance(perAttempt, burst float64) *Allowance {
	buckets := &Allowance{perAttempt: perAttempt, burst: burst}
	for i := range buckets.shards {
		buckets.shards[i].tokens = make(map[string]float64)
	}
	return buckets
}

// Paid adds the tokens of a first attempt to the bucket of name.
func (a *Allowance) Paid(name string) { a.credit(name, a.perAttempt) }

// Take reports whether a retry is allowed, and removes its token if so.
func (a *Allowance) Take(name string) bool {
	shard := a.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	remaining := a.balance(shard, name)
	if remaining < 1 {
		return false
	}
	shard.tokens[name] = remaining - 1
	return true
}

func (a *Allowance) credit(name string, tokens float64) {
	shard := a.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.tokens[name] = min(a.balance(shard, name)+tokens, a.burst)
}

// balance returns the number of tokens in the bucket of name. The caller holds the shard's lock.
func (a *Allowance) balance(shard *bucketShard, name string) float64 {
	if remaining, ok := shard.tokens[name]; ok {
		return remaining
	}
	return a.burst
}

func (a *Allowance) shard(name string) *bucketShard {
	return &a.shards[xxhash.Sum64String(name)%budgetShards]
}

// RetryBudget bounds retries and hedged requests to a tenth of the first attempts plus a burst, per
// customer and per pool. Safe for concurrent use.
type RetryBudget struct {
	customers *Allowance
	pools     *Allowance
}

// NewRetryBudget returns a budget that starts with a full burst for every customer and pool.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{customers: NewAllowance(retriesPerAttempt, retryBurst), pools: NewAllowance(retriesPerAttempt, retryBurst)}
}

// Paid counts a first attempt towards the budgets of the customer and the pool.
func (b *RetryBudget) Paid(customer, pool string) {
	b.customers.Paid(customer)
	b.pools.Paid(pool)
}

// Take reports whether both budgets allow a retry, and removes a token from each if so.
func (b *RetryBudget) Take(customer, pool string) bool {
	if !b.customers.Take(customer) {
		return false
	}
	if b.pools.Take(pool) {
		return true
	}
	b.customers.credit(customer, 1)
	return false
}
