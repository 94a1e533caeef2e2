// Package limit holds customers to their agreed request rates over all entry instances together.
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
	// burst is how long a customer may save up unused requests.
	burst = 2 * time.Second
	// idleAfter is how long an unused limiter is kept.
	idleAfter = 10 * time.Minute
)

// Customers limits requests per second. Each instance grants an equal share of a customer's rate:
// the balancer spreads a customer's requests evenly, and equal shares need no messages. While zones
// are cut off from each other each side shares the rate among the instances it still sees, so that
// a customer gets at most its rate on each side. Safe for concurrent use.
type Customers struct {
	members machine.Members
	seed    maphash.Seed
	shards  [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	limiters map[string]*limiter
	swept    time.Time
}

type limiter struct {
	*rate.Limiter
	used time.Time
}

// NewCustomers returns limits that nobody has used yet.
func NewCustomers(members machine.Members) *Customers {
	c := &Customers{members: members, seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].limiters = make(map[string]*limiter)
	}
	return c
}

// Allow takes one request of the customer's share. The refusal is rate_limited, not run, with the
// time after which the next request fits.
func (c *Customers) Allow(customer *contract.Customer, now time.Time) *verdict.Refusal {
	if customer.RequestsPerSecond == 0 {
		return nil
	}
	share := customer.RequestsPerSecond / float64(max(len(c.members.Live()), 1))
	part := &c.shards[maphash.String(c.seed, customer.Name)%shardCount]
	part.mu.Lock()
	defer part.mu.Unlock()
	part.sweep(now)
	found := part.limiter(customer.Name, share, now)
	found.used = now
	reservation := found.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	refusal := verdict.Refuse(verdict.RateLimited, "customer %s may send %g requests a second", customer.Name, customer.RequestsPerSecond)
	refusal.RetryAfter = delay
	return refusal
}

// limiter returns the customer's limiter at the present share; the shard is locked.
func (s *shard) limiter(name string, share float64, now time.Time) *limiter {
	tokens := max(1, int(share*burst.Seconds()))
	found := s.limiters[name]
	if found == nil {
		found = &limiter{Limiter: rate.NewLimiter(rate.Limit(share), tokens)}
		s.limiters[name] = found
	}
	if found.Limit() != rate.Limit(share) {
		found.SetLimitAt(now, rate.Limit(share))
		found.SetBurstAt(now, tokens)
	}
	return found
}

// sweep drops limiters of customers that have been idle; the shard is locked.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.swept) < idleAfter {
		return
	}
	s.swept = now
	for name, one := range s.limiters {
		if now.Sub(one.used) > idleAfter {
			delete(s.limiters, name)
		}
	}
}
