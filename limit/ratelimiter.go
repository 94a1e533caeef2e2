// Package limit enforces the request rates of the customers in package contract across all entry
// instances. It applies to package entry only; customers on the users' platform have no request rate.
package limit

import (
	"hash/maphash"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	shardCount = 16
	// burstDuration is the time for which unused requests accumulate; a customer's burst is its rate
	// times this.
	burstDuration = 2 * time.Second
	// idleTimeout is how long an unused limiter is kept.
	idleTimeout = 10 * time.Minute
)

// RateLimiter limits requests per second. Each instance grants an equal share of a customer's rate: the
// load balancer spreads a customer's requests evenly, and equal shares need no coordination. In a
// network partition each side divides the rate among the instances it still sees, so that a customer
// gets at most its rate on each side. Safe for concurrent use.
type RateLimiter struct {
	members machine.Members
	seed    maphash.Seed
	shards  [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	limiters  map[string]*limiter // by customer name
	lastSweep time.Time
}

type limiter struct {
	*rate.Limiter
	lastUsed time.Time
}

// NewRateLimiter returns a limiter with a full burst for every customer.
func NewRateLimiter(members machine.Members) *RateLimiter {
	r := &RateLimiter{members: members, seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].limiters = make(map[string]*limiter)
	}
	return r
}

// Allow takes one request from this instance's share of the customer's rate and returns nil, or a refusal
// with the reason RateLimited, the verdict NotRun and the time until the next request is allowed. A rate
// of 0 means no limit.
func (r *RateLimiter) Allow(customer *contract.Customer, now time.Time) *verdict.Refusal {
	if customer.RequestsPerSecond == 0 {
		return nil
	}
	share := customer.RequestsPerSecond / float64(max(len(r.members.Live()), 1))
	shard := &r.shards[maphash.String(r.seed, customer.Name)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
	l := shard.limiter(customer.Name, share, now)
	l.lastUsed = now
	reservation := l.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	refusal := verdict.Refuse(verdict.RateLimited, "customer %s may send %g requests a second", customer.Name, customer.RequestsPerSecond)
	refusal.RetryAfter = delay
	return refusal
}

// limiter returns the customer's limiter, set to the current share (requests per second). The caller
// holds the shard's lock.
func (s *shard) limiter(name string, share float64, now time.Time) *limiter {
	burst := max(1, int(share*burstDuration.Seconds()))
	l := s.limiters[name]
	if l == nil {
		l = &limiter{Limiter: rate.NewLimiter(rate.Limit(share), burst)}
		s.limiters[name] = l
	}
	if l.Limit() != rate.Limit(share) {
		l.SetLimitAt(now, rate.Limit(share))
		l.SetBurstAt(now, burst)
	}
	return l
}

// sweep drops limiters unused for idleTimeout, at most once in that time. The caller holds the shard's
// lock.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < idleTimeout {
		return
	}
	s.lastSweep = now
	for name, l := range s.limiters {
		if now.Sub(l.lastUsed) > idleTimeout {
			delete(s.limiters, name)
		}
	}
}
