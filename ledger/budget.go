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
		found = &allowance{key: key, drawing: make(chan struct{}, 1), used: time.Now()}
		b.allowances[key] = found
	}
	return found
}

// reserve takes micros off the customer's allowance, drawing from the budget if need be, until
// giveBack is called. Refusals: budget_exhausted, ledger_unavailable.
func (b *budgets) reserve(ctx context.Context, customer *contract.Customer, micros int64) (giveBack func(), err error) {
	if customer.MonthlyBudget <= 0 {
		return func() {}, nil
	}
	micros = max(micros, 1) // a used-up budget admits nothing
	one := b.allowance(totalKey{customer.Name, monthOf(time.Now())})
	if !one.take(micros) {
		if err := b.draw(ctx, one, customer.MonthlyBudget, micros); err != nil {
			return nil, err
		}
	}
	return func() { one.giveBack(micros) }, nil
}

// spend takes a bill off the allowance of its month. The request's reservation is still in force
// and ends later, so that the sum is never too high in between.
func (b *budgets) spend(bill Bill) {
	b.mu.Lock()
	one := b.allowances[totalKey{bill.Customer, monthOf(bill.At)}]
	b.mu.Unlock()
	if one == nil {
		return
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.left -= bill.Total()
	if one.left+one.reserved < 0 {
		b.count("reserve_exceeded")
	}
}

// draw moves budget from the store into the allowance until the reservation fits.
func (b *budgets) draw(ctx context.Context, one *allowance, budget, micros int64) error {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	select {
	case one.drawing <- struct{}{}:
	case <-ctx.Done():
		return refuseDraw()
	}
	defer func() { <-one.drawing }()
	for !one.take(micros) {
		if one.exhausted(micros) {
			return refuseExhausted(one.key.customer)
		}
		drawn, err := b.obtain(ctx, one, budget, one.missing(micros))
		if err != nil {
			b.count("draw_failed")
			return refuseDraw()
		}
		if drawn == 0 && !one.covers(micros) {
			b.count("exhausted")
			one.exhaust(micros)
			return refuseExhausted(one.key.customer)
		}
		one.add(drawn)
	}
	return nil
}

// returnUnused gives the allowances back that were not used for idle.
func (b *budgets) returnUnused(ctx context.Context, idle time.Duration) {
	b.mu.Lock()
	var unused []*allowance
	for key, one := range b.allowances {
		switch idling, unspent := one.idle(idle); {
		case idling && unspent:
			unused = append(unused, one)
		case idling && key.month != monthOf(time.Now()):
			delete(b.allowances, key)
		}
	}
	b.mu.Unlock()
	for _, one := range unused {
		b.giveBack(ctx, one, idle)
	}
}

// giveBack empties the allowance first, so that it can't be spent while the write is on its way. A
// write of unknown outcome that can't be read back loses it until the month ends.
func (b *budgets) giveBack(ctx context.Context, one *allowance, idle time.Duration) {
	select {
	case one.drawing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-one.drawing }()
	micros := one.empty(idle)
	if micros == 0 {
		return
	}
	if err := b.restore(ctx, one.key, micros); err == nil {
		b.count("returned")
	} else {
		b.count("return_lost")
		b.parts.Log.Warn("allowance not returned", "customer", one.key.customer, "micros", micros, "error", err)
	}
}

func (b *budgets) count(event string) {
	b.parts.Counters.Add("plumbarrow_budgets_total", "event", event)
}

func refuseDraw() *verdict.Refusal {
	refusal := verdict.Refuse(verdict.LedgerUnavailable, "the budget could not be read")
	refusal.RetryAfter = retryLater
	return refusal
}

func refuseExhausted(customer string) *verdict.Refusal {
	return verdict.Refuse(verdict.BudgetExhausted, "the monthly budget of %s is used up", customer)
}
