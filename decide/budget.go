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

// RetryBuckets is a set of retry token buckets, one per name. It bounds retries to a share of the first
// attempts plus a burst: each first attempt adds tokens and each retry takes one, as in Finagle's
// RetryBudget. Buckets do not refill with time. Buckets are never removed, so memory use grows with the
// number of names. Safe for concurrent use.
type RetryBuckets struct {
	perAttempt float64
	burst      float64
	shards     [budgetShards]bucketShard
}

type bucketShard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRetryBuckets returns retry buckets that start full. perAttempt is the number of tokens that a first
// attempt adds, burst the capacity of a bucket.
func NewRetryBuckets(perAttempt, burst float64) *RetryBuckets {
	buckets := &RetryBuckets{perAttempt: perAttempt, burst: burst}
	for i := range buckets.shards {
		buckets.shards[i].tokens = make(map[string]float64)
	}
	return buckets
}

// Deposit adds the tokens of a first attempt to the bucket of name.
func (b *RetryBuckets) Deposit(name string) { b.credit(name, b.perAttempt) }

// Take reports whether a retry is allowed, and removes its token if so.
func (b *RetryBuckets) Take(name string) bool {
	shard := b.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	remaining := b.balance(shard, name)
	if remaining < 1 {
		return false
	}
	shard.tokens[name] = remaining - 1
	return true
}

func (b *RetryBuckets) credit(name string, tokens float64) {
	shard := b.shard(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.tokens[name] = min(b.balance(shard, name)+tokens, b.burst)
}

// balance returns the number of tokens in the bucket of name. The caller holds the shard's lock.
func (b *RetryBuckets) balance(shard *bucketShard, name string) float64 {
	if remaining, ok := shard.tokens[name]; ok {
		return remaining
	}
	return b.burst
}

func (b *RetryBuckets) shard(name string) *bucketShard {
	return &b.shards[xxhash.Sum64String(name)%budgetShards]
}

// RetryBudget bounds retries and hedged requests to a tenth of the first attempts plus a burst, per
// customer and per pool. Safe for concurrent use.
type RetryBudget struct {
	customers *RetryBuckets
	pools     *RetryBuckets
}

// NewRetryBudget returns a budget that starts with a full burst for every customer and pool.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{customers: NewRetryBuckets(retriesPerAttempt, retryBurst), pools: NewRetryBuckets(retriesPerAttempt, retryBurst)}
}

// Deposit counts a first attempt towards the budgets of the customer and the pool.
func (b *RetryBudget) Deposit(customer, pool string) {
	b.customers.Deposit(customer)
	b.pools.Deposit(pool)
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
