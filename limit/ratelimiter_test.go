package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/limit"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

type memberCount int

func (m memberCount) Self() machine.Member   { return machine.Member{} }
func (m memberCount) Live() []machine.Member { return make([]machine.Member, m) }

// TestFleetRate overloads six instances and checks that they grant a customer's rate in total, no more
// than that plus the burst.
func TestFleetRate(t *testing.T) {
	c := qt.New(t)
	const instances = 6
	const seconds = 30
	customer := &contract.Customer{Name: "acme", RequestsPerSecond: 12}
	start := time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)
	granted := 0
	var refusal *verdict.Refusal
	for range instances {
		limiter := limit.NewRateLimiter(memberCount(instances))
		for ms := 0; ms < seconds*1000; ms += 10 {
			if r := limiter.Allow(customer, start.Add(time.Duration(ms)*time.Millisecond)); r != nil {
				refusal = r
				continue
			}
			granted++
		}
	}
	c.Assert(granted <= 12*(seconds+2), qt.IsTrue, qt.Commentf("granted %d", granted)) // 2 s of burst
	c.Assert(granted >= 12*(seconds-1), qt.IsTrue, qt.Commentf("granted %d", granted))
	c.Assert(refusal.Reason, qt.Equals, verdict.RateLimited)
	c.Assert(refusal.Verdict, qt.Equals, verdict.NotRun)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	unlimited := limit.NewRateLimiter(memberCount(1)).Allow(&contract.Customer{Name: "free"}, start)
	c.Assert(unlimited == nil, qt.IsTrue)
}
