package ledger

import (
	"context"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// budgets enforces the customers' monthly budgets. An instance draws allowances from the store and
// spends only what it has drawn, so the sum over all instances never exceeds the budget. In each
// zone one member, the customer's home, draws for the others. Members that disagree about the home
// cost speed but no correctness, because a transfer leaves the home's own allowance. An allowance
// lost in a crash or an unanswered call counts as drawn until the month ends.
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

// allowance returns the allowance of a customer and month, which it creates if needed.
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

// reserve reserves micros of the customer's allowance until release is called, and draws from the
// budget if too little is left. Refusals have the reason budget_exhausted or ledger_unavailable.
func (b *budgets) reserve(ctx context.Context, customer *contract.Customer, micros int64) (release func(), err error) {
	if customer.MonthlyBudget <= 0 {
		return func() {}, nil
	}
	micros = max(micros, 1) // an exhausted budget refuses even requests without cost
	a := b.allowance(totalKey{customer.Name, monthOf(time.Now())})
	if !a.tryReserve(micros) {
		if err := b.draw(ctx, a, customer.MonthlyBudget, micros); err != nil {
			return nil, err
		}
	}
	return func() { a.release(micros) }, nil
}

// spend subtracts a bill from the allowance of its month. The request's reservation ends only
// afterwards, so the same micros are never available for another request in between.
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

// draw obtains budget until micros can be reserved, and reserves them.
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

// returnUnused returns allowances that were unused for at least idle, and forgets empty ones of
// earlier months.
func (b *budgets) returnUnused(ctx context.Context, idle time.Duration) {
	b.mu.Lock()
	var unused []*allowance
	for key, a := range b.allowances {
		switch isIdle, unspent := a.idleFor(idle); {
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

// returnIdle returns one idle allowance. It empties the allowance first, so that it can't be spent
// during the write. If the outcome of the write stays unknown, the allowance is lost until the month
// ends.
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
		b.parts.Log.Warn("allowance not returned", "customer", a.key.customer, "month", a.key.month, "micros", micros, "error", err)
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
