package ledger

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// Ledger combines the claims, pins and bills of one entry instance.
type Ledger struct {
	Claims *StoreClaims
	Pins   *StorePins
	Bills  *StoreBills
}

// New returns a ledger without cached state. Run delivers its bills. Other instances can call it after
// Register.
func New(parts Parts) *Ledger {
	return &Ledger{Claims: NewClaims(parts), Pins: NewPins(parts), Bills: NewBills(parts)}
}

// Register adds to mux the RPC methods that other entry instances call.
func (l *Ledger) Register(mux drpc.Mux) error {
	return ledgerpb.DRPCRegisterLedger(mux, l.Server())
}

// Server returns the implementation of the RPC methods that other entry instances call.
func (l *Ledger) Server() ledgerpb.DRPCLedgerServer { return &server{ledger: l} }

// Run delivers bills until ctx ends. Then it flushes bills and claims to the store, each within
// stopTimeout, and ends the background deliveries.
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
		return nil, fmt.Errorf("journal %q does not exist", request.Family)
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
