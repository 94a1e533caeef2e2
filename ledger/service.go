package ledger

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// Ledger joins the claims and pins of one entry instance.
type Ledger struct {
	Claims *StoreClaims
	Pins   *StorePins
}

// New returns a ledger without cached state. Its calls serve nobody before Register.
func New(parts Parts) *Ledger {
	return &Ledger{Claims: NewClaims(parts), Pins: NewPins(parts)}
}

// Register adds the calls that other entry instances make.
func (l *Ledger) Register(mux drpc.Mux) error {
	return ledgerpb.DRPCRegisterLedger(mux, l.Server())
}

// Server returns the calls that other entry instances make.
func (l *Ledger) Server() ledgerpb.DRPCLedgerServer { return &server{ledger: l} }

// stopTimeout bounds the last deliveries of a planned stop.
const stopTimeout = 5 * time.Second

// Run waits until ctx ends, then until the store has taken every finished claim.
func (l *Ledger) Run(ctx context.Context) error {
	<-ctx.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	defer l.Claims.Close()
	return l.Claims.Flush(ctx)
}

type server struct {
	ledgerpb.DRPCLedgerUnimplementedServer
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
	return s.ledger.Claims.answerStatus(request), nil
}
