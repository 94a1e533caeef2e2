package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

func billOf(id, customer string, micros int64) Bill {
	return Bill{RequestID: id, Customer: customer, Lines: []BillLine{{Micros: micros}}, At: time.Now()}
}

// TestBillsAppliedOnce records bills at several instances under store and network faults and at most
// one crash. After recovery the totals include every acknowledged bill exactly once, and every other
// bill at most once. Each bill has a customer of its own, so that the totals distinguish the bills.
func TestBillsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "fault chance")
		faults := rapid.IntRange(0, 5).Draw(rt, "faults")
		crash := rapid.Bool().Draw(rt, "crash")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = billsUnderFaults(seed, chance, faults, crash) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// billsUnderFaults returns a description of the violated invariant, or "".
func billsUnderFaults(seed uint64, chance float64, faults int, crash bool) string {
	random := rand.New(rand.NewPCG(seed, 4))
	f := newFleet(kv.New(), seed, chance, "a", "a", "a", "b", "b")
	stop := f.run()
	acknowledged := make(map[string]bool)
	var mu sync.Mutex
	var work sync.WaitGroup
	for i := range 40 {
		node, start := f.nodes[random.IntN(5)], pause(random, 6000)
		work.Go(func() {
			time.Sleep(start)
			customer := fmt.Sprint("customer-", i)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			err := node.ledger.Bills.Record(ctx, billOf(customer, customer, 7))
			mu.Lock()
			defer mu.Unlock()
			acknowledged[customer] = err == nil && !node.check(isDead)
		})
	}
	f.injectFaults(&work, random, faults, allFaults[1:], 6000, 4000)
	if crash {
		node, at := f.nodes[random.IntN(5)], pause(random, 6000)
		work.Go(func() { f.crash(node, at) })
	}
	work.Wait()
	f.clearFaults()
	time.Sleep(time.Minute)
	totals, err := Totals(context.Background(), f.store)
	stop()
	if err != nil {
		return err.Error()
	}
	return checkTotals(totals, acknowledged)
}

// checkTotals returns a description of a bill that was applied twice, or acknowledged and lost; ""
// if there is none.
func checkTotals(totals []Total, acknowledged map[string]bool) string {
	for _, total := range totals {
		if total.Bills != 1 || total.Micros != 7 {
			return fmt.Sprintf("%s was billed %d times, %d micros", total.Customer, total.Bills, total.Micros)
		}
		delete(acknowledged, total.Customer)
	}
	for customer, ok := range acknowledged {
		if ok {
			return customer + "'s bill is lost"
		}
	}
	return ""
}

// TestBillsOfCrashedWriterWithStaleMembership crashes the zone writer. Of the two members that hold
// copies of its bills, one still lists the crashed writer; the other one repeatedly forwards its
// copies to that member. The bill must be applied exactly once.
func TestBillsOfCrashedWriterWithStaleMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0, "a", "a", "a")
		stop := f.run()
		defer stop()
		byID := make(map[machine.InstanceID]*node)
		for _, n := range f.nodes {
			byID[n.self.ID] = n
		}
		order := ranked(f.nodes[0].Live(), billsPrefix+"a", 3)
		dead, stale, fresh := byID[order[0].ID], byID[order[1].ID], byID[order[2].ID]
		dead.set(func(n *node) { n.noStore = true })
		c.Assert(dead.ledger.Bills.Record(t.Context(), billOf("request", "acme", 7)), qt.IsNil)
		dead.set(func(n *node) { n.dead = true })
		fresh.set(func(n *node) { n.unlisted[string(dead.self.ID)] = true })
		bills, _ := dead.ledger.Bills.queue.after(0)
		fresh.ledger.Bills.copies.add(dead.ledger.Bills.holdRequest(bills, 0))
		time.Sleep(5 * time.Second)
		stale.ledger.Bills.copies.add(dead.ledger.Bills.holdRequest(bills, 0))
		time.Sleep(30 * time.Second)
		totals, err := Totals(t.Context(), f.store)
		c.Assert(err, qt.IsNil)
		c.Assert(totals, qt.HasLen, 1)
		c.Assert(totals[0].Bills, qt.Equals, int64(1))
	})
}

// TestBillsBacklog runs a single instance through a store outage until it refuses billable requests,
// and ends the outage. All admitted bills must reach the store, also those whose first writes lose
// their answers.
func TestBillsBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0)
		settings := DefaultSettings()
		settings.MaxPendingBills = 10
		bills := f.add("alone", "a", settings).ledger.Bills
		stop := f.run()
		defer stop()
		f.store.SetFaults(kv.Faults{Down: true})
		for i := range 10 {
			c.Assert(serveBill(bills, fmt.Sprint(i)), qt.ErrorMatches, "ledger_unavailable .ran.*")
		}
		refusal := verdict.RefusalOf(serveBill(bills, "too many"))
		c.Assert(refusal.Reason, qt.Equals, verdict.BillsBacklogged)
		c.Assert(refusal.Verdict, qt.Equals, verdict.NotRun)
		f.store.SetFaults(kv.Faults{LostAnswers: 2})
		time.Sleep(10 * time.Second)
		c.Assert(serveBill(bills, "after"), qt.IsNil)
		totals, err := bills.Totals(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(totals[0].Bills, qt.Equals, int64(11))
	})
}

// serveBill admits a request and records its bill, each attempt within one second.
func serveBill(bills *StoreBills, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	release, err := bills.Admit(ctx, &contract.Customer{Name: "acme"}, 0)
	if err != nil {
		return err
	}
	defer release()
	return bills.Record(ctx, billOf(id, "acme", 7))
}

// TestBudgetNeverExceeded admits requests at several instances until the budget is exhausted. Their
// total cost must stay within the budget under any faults. Without faults at least 80 % of it must
// be spent.
func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "fault chance")
		faults := rapid.IntRange(0, 5).Draw(rt, "faults")
		var spent int64
		synctest.Test(t, func(*testing.T) { spent = spendUnderFaults(seed, chance, faults) })
		if spent > testBudget {
			rt.Fatalf("%d of a budget of %d was spent", spent, testBudget)
		}
		if chance == 0 && faults == 0 && spent < testBudget*8/10 {
			rt.Fatalf("only %d of a budget of %d could be spent", spent, testBudget)
		}
	})
}

const testBudget = 10_000

// spendUnderFaults returns the total cost of the admitted requests in micro-units.
func spendUnderFaults(seed uint64, chance float64, faults int) (spent int64) {
	random := rand.New(rand.NewPCG(seed, 5))
	f := newFleet(kv.New(), seed, chance, "a", "a", "b")
	stop := f.run()
	customer := &contract.Customer{Name: "acme", MonthlyBudget: testBudget}
	var mu sync.Mutex
	var work sync.WaitGroup
	for i := range 150 {
		node, start, cost, during := f.nodes[random.IntN(3)], pause(random, 60_000), int64(random.IntN(300)), pause(random, 500)
		if i > 100 {
			start += 2 * time.Minute // after unused allowances were returned
		}
		work.Go(func() {
			time.Sleep(start)
			release, err := node.ledger.Bills.Admit(context.Background(), customer, 300)
			if err != nil {
				return
			}
			defer release()
			time.Sleep(during)
			mu.Lock()
			spent += cost
			mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = node.ledger.Bills.Record(ctx, billOf(fmt.Sprint(i), "acme", cost))
		})
	}
	f.injectFaults(&work, random, faults, allFaults, 60_000, 30_000)
	work.Wait()
	f.clearFaults()
	stop()
	return spent
}
