package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// transferDivisor sets what one call transfers: a home's allowance divided by transferDivisor and
	// by the number of the zone's members, which is half of an equal share.
	transferDivisor = 2
	// refillThreshold is the number of reservations below which a home draws from the store.
	refillThreshold = 8
	// drawTimeout bounds how long an admission waits for the store.
	drawTimeout = 2 * time.Second
	// zoneDrawDivisor bounds what a zone draws at a time: what is left of a budget divided by
	// zoneDrawDivisor and by the number of zones, which is a quarter of an equal share. So the rest of
	// the budget isn't held by one zone.
	zoneDrawDivisor = 4
)

var errMoveRefused = errors.New("the zone's home did not accept the allowance")

// homes returns the members of this zone that may draw the customer's budget for this instance, in
// rendezvous order. It leaves out suspects and the members that rank after this instance.
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

// zoneMembers returns the live members of this instance's zone.
func zoneMembers(members machine.Members) []machine.Member {
	var local []machine.Member
	for _, member := range members.Live() {
		if member.Zone == members.Self().Zone {
			local = append(local, member)
		}
	}
	return local
}

// obtain gets allowance from a home, or from the store if no home answers. It returns the obtained
// micros, 0 if the budget is exhausted.
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

// drawFromStore draws from the budget's document and returns the drawn micros.
func (b *budgets) drawFromStore(ctx context.Context, a *allowance, budget, shortfall int64) (int64, error) {
	drawn, err := b.changeDrawn(ctx, a.key, func(total int64) int64 { return b.drawSize(budget, total, shortfall) })
	if err == nil && drawn > 0 {
		b.count("drawn")
	}
	return drawn, err
}

// drawSize returns how many micros to draw: the smaller of the budget over AllowanceShare and a part
// of what is left, but at least the shortfall; 0 if less than the shortfall is left.
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

// requestMove makes one MoveAllowance call. It must not be repeated: after an error the move may have
// taken effect at the home.
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
	return nil, fmt.Errorf("home %s: %w", home.ID, err)
}

// refund returns micros to the zone's home, or to the store if this instance has none.
func (b *budgets) refund(ctx context.Context, key totalKey, micros int64) error {
	homes := b.homes(key.customer)
	if len(homes) == 0 {
		_, err := b.changeDrawn(ctx, key, func(int64) int64 { return -micros })
		return err
	}
	request := &ledgerpb.MoveAllowanceRequest{Customer: key.customer, Month: key.month, Micros: -micros}
	response, err := b.requestMove(ctx, homes[0], request)
	if err == nil && response.Status != ledgerpb.MoveAllowanceResponse_MOVED {
		err = fmt.Errorf("%w: home %s answered %s", errMoveRefused, homes[0].ID, response.Status)
	}
	return err
}

// handleMove serves MoveAllowance.
func (b *budgets) handleMove(ctx context.Context, request *ledgerpb.MoveAllowanceRequest) *ledgerpb.MoveAllowanceResponse {
	a := b.allowance(totalKey{request.Customer, request.Month})
	if request.Micros < 0 {
		a.add(-request.Micros)
		return &ledgerpb.MoveAllowanceResponse{Status: ledgerpb.MoveAllowanceResponse_MOVED}
	}
	members := int64(len(zoneMembers(b.parts.Members)))
	if err := b.refill(ctx, a, request); err != nil {
		if verdict.RefusalOf(err).Reason == verdict.BudgetExhausted {
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

// refill draws from the store if the allowance covers fewer than refillThreshold requests of this
// size. A failed draw is an error only if the allowance doesn't cover the request.
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
