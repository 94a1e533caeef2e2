package ledger

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// transferDivisor divides a home's allowance by its zone's members: each call passes this part of
	// a fair share on.
	transferDivisor = 2
	// refillThreshold is how many reservations a home has in stock at least, or else it draws.
	refillThreshold = 8
	// drawTimeout bounds how long an admission waits for the store.
	drawTimeout = 2 * time.Second
	// zoneDrawDivisor divides what is left of a budget: a zone draws this part of its fair share at most,
	// so that the last of it doesn't lie in one zone.
	zoneDrawDivisor = 4
)

var errMoveRefused = errors.New("the member could not move the allowance")

// homes returns the members of this instance's zone that draw a customer's budget, best first,
// without those behind this instance itself.
func (b *budgets) homes(customer string) []machine.Member {
	self := b.parts.Members.Self()
	var homes []machine.Member
	for _, member := range ranked(zoneMembers(b.parts.Members), budgetsPrefix+customer, homeCandidates) {
		if member.ID == self.ID {
			break
		}
		if !b.suspects.has(member) {
			homes = append(homes, member)
		}
	}
	return homes
}

func zoneMembers(members machine.Members) []machine.Member {
	var local []machine.Member
	for _, member := range members.Live() {
		if member.Zone == members.Self().Zone {
			local = append(local, member)
		}
	}
	return local
}

// obtain returns allowance from the zone's home, or from the store if there is none; 0 if the
// budget is used up.
func (b *budgets) obtain(ctx context.Context, a *allowance, budget, shortfall int64) (int64, error) {
	request := &ledgerpb.MoveAllowanceRequest{Customer: a.key.customer, Month: a.key.month, Budget: budget, Micros: shortfall}
	for _, home := range b.homes(a.key.customer) {
		response, err := b.requestMove(ctx, home, request)
		switch {
		case err != nil:
		case response.Status == ledgerpb.MoveAllowanceResponse_MOVED:
			b.count("moved")
			return response.Micros, nil
		case response.Status == ledgerpb.MoveAllowanceResponse_EXHAUSTED:
			return 0, nil
		}
	}
	return b.drawFromStore(ctx, a, budget, shortfall)
}

func (b *budgets) drawFromStore(ctx context.Context, a *allowance, budget, shortfall int64) (int64, error) {
	drawn, err := b.changeDrawn(ctx, a.key, func(total int64) int64 { return b.drawSize(budget, total, shortfall) })
	if err == nil && drawn > 0 {
		b.count("drawn")
	}
	return drawn, err
}

// drawSize returns how much to draw: a small part of the budget, less when little is left, at least
// what is missing, nothing if that much is not left.
func (b *budgets) drawSize(budget, drawn, shortfall int64) int64 {
	left := budget - drawn
	if left < shortfall {
		return 0
	}
	zones := make(map[string]struct{})
	for _, member := range b.parts.Members.Live() {
		zones[member.Zone] = struct{}{}
	}
	share := min(budget/int64(b.parts.Settings.AllowanceShare), left/int64(max(len(zones), 1)*zoneDrawDivisor))
	return min(left, max(shortfall, share))
}

// requestMove sends the request once: after an error the allowance may have left the other side.
func (b *budgets) requestMove(ctx context.Context, home machine.Member, request *ledgerpb.MoveAllowanceRequest) (*ledgerpb.MoveAllowanceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := b.parts.Peers.Conn(ctx, home)
	if err == nil {
		var response *ledgerpb.MoveAllowanceResponse
		response, err = ledgerpb.NewDRPCLedgerClient(conn).MoveAllowance(ctx, request)
		if err == nil {
			return response, nil
		}
	}
	b.count("home_failed")
	b.suspects.add(home)
	return nil, err
}

// refund gives micros back to the zone's home or to the store.
func (b *budgets) refund(ctx context.Context, key totalKey, micros int64) error {
	homes := b.homes(key.customer)
	if len(homes) == 0 {
		_, err := b.changeDrawn(ctx, key, func(int64) int64 { return -micros })
		return err
	}
	request := &ledgerpb.MoveAllowanceRequest{Customer: key.customer, Month: key.month, Micros: -micros}
	response, err := b.requestMove(ctx, homes[0], request)
	if err == nil && response.Status != ledgerpb.MoveAllowanceResponse_MOVED {
		err = errMoveRefused
	}
	return err
}

// handleMove serves move at a home.
func (b *budgets) handleMove(ctx context.Context, request *ledgerpb.MoveAllowanceRequest) *ledgerpb.MoveAllowanceResponse {
	a := b.allowance(totalKey{request.Customer, request.Month})
	if request.Micros < 0 {
		a.add(-request.Micros)
		return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_MOVED}
	}
	members := int64(len(zoneMembers(b.parts.Members)))
	if err := b.refill(ctx, a, request); err != nil {
		if verdict.Of(err).Reason == verdict.BudgetExhausted {
			return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_EXHAUSTED}
		}
		return &ledgerpb.MoveAllowanceResponse{}
	}
	micros := a.transferOut(request.Micros, transferDivisor*members)
	if micros == 0 {
		return &ledgerpb.MoveAllowanceResponse{}
	}
	return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_MOVED, Micros: micros}
}

// refill draws when the allowance is low. Its error matters only if the request can't be met.
func (b *budgets) refill(ctx context.Context, a *allowance, request *ledgerpb.MoveAllowanceRequest) error {
	if a.covers(refillThreshold * request.Micros) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	select {
	case a.drawSem <- struct{}{}:
	case <-ctx.Done():
		return refuseBudgetUnavailable()
	}
	defer func() { <-a.drawSem }()
	if a.covers(refillThreshold*request.Micros) || a.recentlyExhausted(request.Micros) && a.covers(request.Micros) {
		return nil
	}
	if a.recentlyExhausted(request.Micros) {
		return refuseBudgetExhausted(request.Customer)
	}
	drawn, err := b.drawFromStore(ctx, a, request.Budget, max(a.shortfall(request.Micros), 1))
	if err == nil && drawn == 0 {
		a.markExhausted(request.Micros)
		err = refuseBudgetExhausted(request.Customer)
	}
	a.add(drawn)
	if a.covers(request.Micros) {
		return nil
	}
	return err
}
