package ledger

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

var full = flag.Bool("full", false, "measure the write budget at the largest size too")

// TestWriteBudget serves a steady load and bounds the store writes of all instances together: about
// one write per shard and commit interval and one per zone and flush interval, at any request rate.
func TestWriteBudget(t *testing.T) {
	sizes := []struct{ zones, perZone, rate int }{{3, 2, 10}, {3, 2, 100}, {17, 4, 1000}}
	if *full {
		sizes = append(sizes, struct{ zones, perZone, rate int }{17, 23, 5800})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d instances, %d per second", size.zones*size.perZone, size.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 10
				c := qt.New(t)
				f := newFleet(kv.New(), 1, 0)
				for i := range size.zones * size.perZone {
					f.add(fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%size.zones), DefaultSettings())
				}
				stop := f.run()
				waits := load(f, size.rate, seconds)
				writes := maps.Clone(f.writes)
				stop()
				for _, limit := range []struct {
					family      string
					items, most int
				}{
					{"claims", size.rate / 10 * seconds, claimShards * 6},
					{"pins", size.rate / 10 * seconds, pinShards * 6},
					{"bills", size.rate * seconds, 2 * size.zones},
					{"budgets", 0, 10 * size.zones},
				} {
					written := writes[limit.family]
					t.Logf("%s: %d items, %.1f writes a second, %.1f items a write, %d bytes a write",
						limit.family, limit.items, float64(written.writes)/seconds, float64(limit.items)/float64(written.writes), written.bytes/written.writes)
					c.Check(written.writes <= limit.most*(seconds+2), qt.IsTrue, qt.Commentf("%s: %d writes", limit.family, written.writes))
				}
				t.Logf("claims wait %d ms at the median, %d ms at the 95th percentile", waits.ValueAtQuantile(50), waits.ValueAtQuantile(95))
				t.Logf("budgets: %d writes; store calls %v in %d s", writes["budgets"].writes, f.store.Calls(), seconds)
			})
		})
	}
}

// load sends rate requests per second, each billed to one of 10 customers. A tenth of them are
// non-idempotent and a tenth start a session. It returns the latency of the claims in milliseconds.
func load(f *fleet, rate, seconds int) *hdrhistogram.Histogram {
	var mu sync.Mutex
	waits := hdrhistogram.New(0, 10_000, 3)
	for i := range rate * seconds {
		n := f.nodes[i%len(f.nodes)]
		go func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
			id := fmt.Sprint("request-", i)
			customer := &contract.Customer{Name: fmt.Sprint("customer-", i%10), MonthlyBudget: 1 << 40}
			release, err := n.ledger.Bills.Admit(context.Background(), customer, 1000)
			if err != nil {
				return
			}
			defer release()
			switch i % 10 {
			case 0:
				started := time.Now()
				serve(newService(), n, id, id, 0, 0)
				mu.Lock()
				_ = waits.RecordValue(time.Since(started).Milliseconds())
				mu.Unlock()
			case 1:
				_, _ = n.ledger.Pins.Pin(context.Background(), customer.Name, id, version("v1"))
			}
			_ = n.ledger.Bills.Record(context.Background(), billOf(id, customer.Name, 700))
		}()
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return hdrhistogram.Import(waits.Export())
}

// TestBudgetDuringOutage checks that an instance can spend all it has drawn while the store is down,
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
		f.store.SetFaults(kv.Faults{Down: true})
		for range 9 {
			c.Assert(admit(0), qt.IsNil) // 8000 / AllowanceShare
		}
		for _, n := range []int{0, 1} {
			refusal := verdict.RefusalOf(admit(n))
			c.Assert(refusal.Reason, qt.Equals, verdict.LedgerUnavailable)
			c.Assert(refusal.Verdict, qt.Equals, verdict.NotRun)
		}
		f.store.SetFaults(kv.Faults{})
		for admit(0) == nil || admit(1) == nil {
		}
		c.Assert(verdict.RefusalOf(admit(1)).Reason, qt.Equals, verdict.BudgetExhausted)
	})
}

// TestCrashKeepsBudget crashes the budget's home five times in a row and then spends what is left of
// the budget. Each crash loses the home's allowance; together they may lose less than 2 %.
func TestCrashKeepsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0)
		for i := range 6 {
			f.add(fmt.Sprint("entry-", i), "a", DefaultSettings())
		}
		customer := &contract.Customer{Name: "acme", MonthlyBudget: 1_000_000}
		alive := f.nodes
		for range 5 {
			for _, n := range alive {
				_, err := n.ledger.Bills.Admit(t.Context(), customer, 100)
				c.Assert(err, qt.IsNil)
			}
			home := ranked(alive[0].Live(), budgetsPrefix+"acme", 1)[0]
			alive = slices.DeleteFunc(slices.Clone(alive), func(n *node) bool { return n.self.ID == home.ID })
			for _, n := range f.nodes {
				n.set(func(n *node) { n.dead = n.dead || n.self.ID == home.ID; n.unlisted[string(home.ID)] = true })
			}
		}
		spent := 0
		for _, err := alive[0].ledger.Bills.Admit(t.Context(), customer, 100); err == nil; spent += 100 {
			_, err = alive[0].ledger.Bills.Admit(t.Context(), customer, 100)
		}
		c.Assert(spent > 980_000, qt.IsTrue, qt.Commentf("%d could be spent", spent))
	})
}
