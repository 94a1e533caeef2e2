package ledger

import (
	"context"
	"errors"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// passedShare divides a home's allowance by its zone's members: each call passes this part of
	// a fair share on.
	passedShare = 2
	// lowStock is how many reservations a home has in stock at least, or else it draws.
	lowStock = 8
	// zoneShare divides what is left of a budget: a zone draws this part of its fair share at most,
	// so that the last of it doesn't lie in one zone.
	zoneShare = 4
)

var errMove = errors.New("the member could not move the allowance")

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
func (b *budgets) obtain(ctx context.Context, one *allowance, budget, missing int64) (int64, error) {
	request := &ledgerpb.MoveAllowanceRequest{Customer: one.key.customer, Month: one.key.month, Budget: budget, Micros: missing}
	for _, home := range b.homes(one.key.customer) {
		response, err := b.move(ctx, home, request)
		switch {
		case err != nil:
		case response.Status == ledgerpb.MoveAllowanceResponse_MOVED:
			b.count("moved")
			return response.Micros, nil
		case response.Status == ledgerpb.MoveAllowanceResponse_EXHAUSTED:
			return 0, nil
		}
	}
	return b.drawFromStore(ctx, one, budget, missing)
}

func (b *budgets) drawFromStore(ctx context.Context, one *allowance, budget, missing int64) (int64, error) {
	drawn, err := b.change(ctx, one.key, func(total int64) int64 { return b.portion(budget, total, missing) })
	if err == nil && drawn > 0 {
		b.count("drawn")
	}
	return drawn, err
}

// portion returns how much to draw: a small part of the budget, less when little is left, at least
// what is missing, nothing if that much is not left.
func (b *budgets) portion(budget, drawn, missing int64) int64 {
	left := budget - drawn
	if left < missing {
		return 0
	}
	zones := make(map[string]struct{})
	for _, member := range b.parts.Members.Live() {
		zones[member.Zone] = struct{}{}
	}
	share := min(budget/int64(b.parts.Settings.AllowanceShare), left/int64(max(len(zones), 1)*zoneShare))
	return min(left, max(missing, share))
}

// move sends the request once: after an error the allowance may have left the other side.
func (b *budgets) move(ctx context.Context, home machine.Member, request *ledgerpb.MoveAllowanceRequest) (*ledgerpb.MoveAllowanceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
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

// restore gives micros back to the zone's home or to the store.
func (b *budgets) restore(ctx context.Context, key totalKey, micros int64) error {
	homes := b.homes(key.customer)
	if len(homes) == 0 {
		_, err := b.change(ctx, key, func(int64) int64 { return -micros })
		return err
	}
	request := &ledgerpb.MoveAllowanceRequest{Customer: key.customer, Month: key.month, Micros: -micros}
	response, err := b.move(ctx, homes[0], request)
	if err == nil && response.Status != ledgerpb.MoveAllowanceResponse_MOVED {
		err = errMove
	}
	return err
}

// answerMove serves move at a home.
func (b *budgets) answerMove(ctx context.Context, request *ledgerpb.MoveAllowanceRequest) *ledgerpb.MoveAllowanceResponse {
	one := b.allowance(totalKey{request.Customer, request.Month})
	if request.Micros < 0 {
		one.add(-request.Micros)
		return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_MOVED}
	}
	members := int64(len(zoneMembers(b.parts.Members)))
	if err := b.stock(ctx, one, request); err != nil {
		if verdict.Of(err).Reason == verdict.BudgetExhausted {
			return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_EXHAUSTED}
		}
		return &ledgerpb.MoveAllowanceResponse{}
	}
	micros := one.pass(request.Micros, passedShare*members)
	if micros == 0 {
		return &ledgerpb.MoveAllowanceResponse{}
	}
	return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_MOVED, Micros: micros}
}

// stock draws when the allowance is low. Its error matters only if the request can't be met.
func (b *budgets) stock(ctx context.Context, one *allowance, request *ledgerpb.MoveAllowanceRequest) error {
	if one.covers(lowStock * request.Micros) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	select {
	case one.drawing <- struct{}{}:
	case <-ctx.Done():
		return refuseDraw()
	}
	defer func() { <-one.drawing }()
	if one.covers(lowStock*request.Micros) || one.exhausted(request.Micros) && one.covers(request.Micros) {
		return nil
	}
	if one.exhausted(request.Micros) {
		return refuseExhausted(request.Customer)
	}
	drawn, err := b.drawFromStore(ctx, one, request.Budget, max(one.missing(request.Micros), 1))
	if err == nil && drawn == 0 {
		one.exhaust(request.Micros)
		err = refuseExhausted(request.Customer)
	}
	one.add(drawn)
	if one.covers(request.Micros) {
		return nil
	}
	return err
}
