package ledger

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// Ledger joins claims, pins and bills of one entry instance.
type Ledger struct {
	Claims *StoreClaims
	Pins   *StorePins
	Bills  *StoreBills
}

// New returns a ledger without cached state. Its calls serve nobody before Register.
func New(parts Parts) *Ledger {
	return &Ledger{Claims: NewClaims(parts), Pins: NewPins(parts), Bills: NewBills(parts)}
}

// Register adds the calls that other entry instances make.
func (l *Ledger) Register(mux drpc.Mux) error {
	return ledgerpb.DRPCRegisterLedger(mux, l.Server())
}

// Server returns the calls that other entry instances make.
func (l *Ledger) Server() ledgerpb.DRPCLedgerServer { return &server{ledger: l} }

// Run settles bills until ctx ends, then hands everything over to the store.
func (l *Ledger) Run(ctx context.Context) error {
	lastErr := l.Bills.Run(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := l.Claims.Flush(ctx); err != nil {
		lastErr = err
	}
	l.Claims.Close()
	return lastErr
}

type server struct {
	ledger *Ledger
}

var _ ledgerpb.DRPCLedgerServer = (*server)(nil)

// Commit implements ledgerpb.DRPCLedgerServer.
func (s *server) Commit(ctx context.Context, request *ledgerpb.CommitRequest) (*ledgerpb.CommitResponse, error) {
	switch request.Family {
	case claimFamily:
		return s.ledger.Claims.journal.commit(ctx, request)
	case pinFamily:
		return s.ledger.Pins.journal.commit(ctx, request)
	default:
		return nil, fmt.Errorf("no journal %q", request.Family)
	}
}

// ClaimStatus implements ledgerpb.DRPCLedgerServer.
func (s *server) ClaimStatus(_ context.Context, request *ledgerpb.ClaimStatusRequest) (*ledgerpb.ClaimStatusResponse, error) {
	return s.ledger.Claims.handleStatus(request), nil
}

// HoldBills implements ledgerpb.DRPCLedgerServer.
func (s *server) HoldBills(_ context.Context, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	return s.ledger.Bills.handleHold(request), nil
}

// MoveAllowance implements ledgerpb.DRPCLedgerServer.
func (s *server) MoveAllowance(ctx context.Context, request *ledgerpb.MoveAllowanceRequest) (*ledgerpb.MoveAllowanceResponse, error) {
	return s.ledger.Bills.budgets.handleMove(ctx, request), nil
}
