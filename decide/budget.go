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

// RetryBudget bounds retries and hedges to a tenth of the first attempts, plus a burst, per customer
// and per pool. First attempts pay tokens in and retries take them out, as in
// Finagle's RetryBudget; no clock is involved. Its size grows with the customers and pools in use.
// Safe for concurrent use.
type RetryBudget struct {
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu     sync.Mutex
	tokens map[budgetKey]float64
}

type budgetKey struct {
	customer bool
	name     string
}

// NewRetryBudget returns a budget with a full burst for everyone.
func NewRetryBudget() *RetryBudget {
	budget := &RetryBudget{}
	for i := range budget.shards {
		budget.shards[i].tokens = make(map[budgetKey]float64)
	}
	return budget
}

// Paid counts a first attempt.
func (b *RetryBudget) Paid(customer, pool string) {
	b.add(budgetKey{true, customer}, retryShare)
	b.add(budgetKey{false, pool}, retryShare)
}

// Take reports whether a retry is within both budgets, and takes it out of them if so.
func (b *RetryBudget) Take(customer, pool string) bool {
	if !b.take(budgetKey{true, customer}) {
		return false
	}
	if b.take(budgetKey{false, pool}) {
		return true
	}
	b.add(budgetKey{true, customer}, 1)
	return false
}

func (b *RetryBudget) shard(key budgetKey) *budgetShard {
	return &b.shards[xxhash.Sum64String(key.name)%budgetShards]
}

func (b *RetryBudget) add(key budgetKey, tokens float64) {
	shard := b.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if have, ok := shard.tokens[key]; ok {
		shard.tokens[key] = min(have+tokens, retryBurst)
		return
	}
	shard.tokens[key] = retryBurst
}

func (b *RetryBudget) take(key budgetKey) bool {
	shard := b.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	have, ok := shard.tokens[key]
	if !ok {
		have = retryBurst
	}
	if have < 1 {
		return false
	}
	shard.tokens[key] = have - 1
	return true
}
