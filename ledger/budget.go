package ledger

import (
	"context"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// budgets hands out the customers' monthly budgets. An instance draws allowances from the store
// and spends only what it has drawn, so the sum over all instances never exceeds the budget. One
// member of each zone draws for the others; which one is a matter of speed only, because what it
// passes on leaves its own allowance. What a crash or an unanswered call loses stays drawn until
// the month ends.
type budgets struct {
	parts    Parts
	nonces   *nonceSource
	suspects *suspects

	mu         sync.Mutex
	allowances map[totalKey]*allowance
}

func newBudgets(parts Parts) *budgets {
	return &budgets{
		parts:      parts,
		suspects:   newSuspects(),
		nonces:     newNonceSource(parts.Members.Self().Incarnation),
		allowances: make(map[totalKey]*allowance),
	}
}

func (b *budgets) allowance(key totalKey) *allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.allowances[key]
	if found == nil {
		found = &allowance{key: key, drawSem: make(chan struct{}, 1), lastUsed: time.Now()}
		b.allowances[key] = found
	}
	return found
}

// reserve takes micros off the customer's allowance, drawing from the budget if need be, until
// giveBack is called. Refusals: budget_exhausted, ledger_unavailable.
func (b *budgets) reserve(ctx context.Context, customer *contract.Customer, micros int64) (release func(), err error) {
	if customer.MonthlyBudget <= 0 {
		return func() {}, nil
	}
	micros = max(micros, 1) // a used-up budget admits nothing
	a := b.allowance(totalKey{customer.Name, monthOf(time.Now())})
	if !a.tryReserve(micros) {
		if err := b.draw(ctx, a, customer.MonthlyBudget, micros); err != nil {
			return nil, err
		}
	}
	return func() { a.release(micros) }, nil
}

// spend takes a bill off the allowance of its month. The request's reservation is still in force
// and ends later, so that the sum is never too high in between.
func (b *budgets) spend(bill Bill) {
	b.mu.Lock()
	a := b.allowances[totalKey{bill.Customer, monthOf(bill.At)}]
	b.mu.Unlock()
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left -= bill.Total()
	if a.left+a.reserved < 0 {
		b.count("reserve_exceeded")
	}
}

// draw moves budget from the store into the allowance until the reservation fits.
func (b *budgets) draw(ctx context.Context, a *allowance, budget, micros int64) error {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	select {
	case a.drawSem <- struct{}{}:
	case <-ctx.Done():
		return refuseBudgetUnavailable()
	}
	defer func() { <-a.drawSem }()
	for !a.tryReserve(micros) {
		if a.recentlyExhausted(micros) {
			return refuseBudgetExhausted(a.key.customer)
		}
		drawn, err := b.obtain(ctx, a, budget, a.shortfall(micros))
		if err != nil {
			b.count("draw_failed")
			return refuseBudgetUnavailable()
		}
		if drawn == 0 && !a.covers(micros) {
			b.count("exhausted")
			a.markExhausted(micros)
			return refuseBudgetExhausted(a.key.customer)
		}
		a.add(drawn)
	}
	return nil
}

// returnUnused gives the allowances back that were not used for idle.
func (b *budgets) returnUnused(ctx context.Context, idle time.Duration) {
	b.mu.Lock()
	var unused []*allowance
	for key, a := range b.allowances {
		switch isIdle, unspent := a.idle(idle); {
		case isIdle && unspent:
			unused = append(unused, a)
		case isIdle && key.month != monthOf(time.Now()):
			delete(b.allowances, key)
		}
	}
	b.mu.Unlock()
	for _, a := range unused {
		b.returnIdle(ctx, a, idle)
	}
}

// returnIdle empties the allowance first, so that it can't be spent while the write is on its way. A
// write of unknown outcome that can't be read back loses it until the month ends.
func (b *budgets) returnIdle(ctx context.Context, a *allowance, idle time.Duration) {
	select {
	case a.drawSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-a.drawSem }()
	micros := a.takeIdle(idle)
	if micros == 0 {
		return
	}
	if err := b.refund(ctx, a.key, micros); err == nil {
		b.count("returned")
	} else {
		b.count("return_lost")
		b.parts.Log.Warn("allowance not returned", "customer", a.key.customer, "micros", micros, "error", err)
	}
}

func (b *budgets) count(event string) {
	b.parts.Counters.Add("plumbarrow_budgets_total", "event", event)
}

func refuseBudgetUnavailable() *verdict.Refusal {
	refusal := verdict.Refuse(verdict.LedgerUnavailable, "the budget could not be read")
	refusal.RetryAfter = retryAfter
	return refusal
}

func refuseBudgetExhausted(customer string) *verdict.Refusal {
	return verdict.Refuse(verdict.BudgetExhausted, "the monthly budget of %s is used up", customer)
}
