package ledger

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestWriteBudget serves a steady load and checks what the whole fleet writes to the store: at most
// one write per shard and commit interval, one per zone and flush interval, however high the rate.
func TestWriteBudget(t *testing.T) {
	for _, size := range []struct{ zones, perZone, rate int }{{3, 2, 10}, {3, 2, 100}, {17, 4, 1000}} {
		t.Run(fmt.Sprintf("%d instances, %d per second", size.zones*size.perZone, size.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 10
				c := qt.New(t)
				f := newFleet(kv.New(), 1, 0)
				for i := range size.zones * size.perZone {
					f.add(fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%size.zones), DefaultSettings())
				}
				stop := f.run()
				load(f, size.rate, seconds)
				writes := maps.Clone(f.writes)
				stop()
				for _, one := range []struct {
					family      string
					items, most int
				}{
					{"claims", size.rate / 10 * seconds, claimShards * 20},
					{"pins", size.rate / 10 * seconds, pinShards * 10},
					{"bills", size.rate * seconds, 2 * size.zones},
					{"budgets", 0, 10 * size.zones},
				} {
					got := writes[one.family]
					t.Logf("%s: %d items, %.1f writes a second, %.1f items a write, %d bytes a write",
						one.family, one.items, float64(got.writes)/seconds, float64(one.items)/float64(got.writes), got.bytes/got.writes)
					c.Check(got.writes <= one.most*(seconds+2), qt.IsTrue, qt.Commentf("%s: %d writes", one.family, got.writes))
				}
				t.Logf("budgets: %d writes; store calls %v in %d s", writes["budgets"].writes, f.store.Calls(), seconds)
			})
		})
	}
}

// load sends requests at the rate: all are billed to one of 10 customers, a tenth are
// non-idempotent, a tenth start a session.
func load(f *fleet, rate, seconds int) {
	for i := range rate * seconds {
		n := f.nodes[i%len(f.nodes)]
		go func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
			id := fmt.Sprint("request-", i)
			customer := &contract.Customer{Name: fmt.Sprint("customer-", i%10), MonthlyBudget: 1 << 40}
			settle, err := n.ledger.Bills.Admit(context.Background(), customer, 1000)
			if err != nil {
				return
			}
			defer settle()
			switch i % 10 {
			case 0:
				serve(newService(), n, id, id, 0, 100*time.Millisecond)
			case 1:
				_, _ = n.ledger.Pins.Pin(context.Background(), customer.Name, id, version("v1"))
			}
			_ = n.ledger.Bills.Record(context.Background(), billOf(id, customer.Name, 700))
		}()
	}
	time.Sleep(time.Duration(seconds) * time.Second)
}

// TestBudgetDuringOutage shows that an instance spends what it has drawn while the store is down,
// and no more.
func TestBudgetDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0, "a", "b")
		customer := &contract.Customer{Name: "acme", MonthlyBudget: 8000}
		admit := func(n int) error {
			_, err := f.nodes[n].ledger.Bills.Admit(t.Context(), customer, 100)
			return err
		}
		c.Assert(admit(0), qt.IsNil)
		f.store.Fail(kv.Faults{Down: true})
		for range 9 {
			c.Assert(admit(0), qt.IsNil) // 8000 / 2 instances / AllowanceShare
		}
		for _, n := range []int{0, 1} {
			refusal := verdict.Of(admit(n))
			c.Assert(refusal.Reason, qt.Equals, verdict.LedgerUnavailable)
			c.Assert(refusal.Verdict, qt.Equals, verdict.NotRun)
		}
		f.store.Fail(kv.Faults{})
		for admit(0) == nil || admit(1) == nil {
		}
		c.Assert(verdict.Of(admit(1)).Reason, qt.Equals, verdict.BudgetExhausted)
	})
}
