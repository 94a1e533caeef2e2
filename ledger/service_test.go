package ledger

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestOverConnections runs two ledgers over drpc on loopback sockets. Every call must be served by
// the peer; none may fall back to the store.
func TestOverConnections(t *testing.T) {
	c := qt.New(t)
	f := newFleet(kv.New(), 1, 0)
	var listeners []net.Listener
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		id := fmt.Sprint("entry-", i)
		listeners = append(listeners, listener)
		self := machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation(id + "/1"), Zone: "a", Address: listener.Addr().String()}
		f.nodes = append(f.nodes, &node{fleet: f, self: self})
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	var ledgers []*Ledger
	counters := telemetry.New()
	for i, n := range f.nodes {
		dialer := link.NewPeerDialer()
		defer dialer.Close()
		ledger := New(Parts{Store: f.store, Members: n, Peers: dialer, Counters: counters, Log: slog.New(slog.DiscardHandler), Settings: DefaultSettings()})
		mux := drpcmux.New()
		c.Assert(ledger.Register(mux), qt.IsNil)
		go func() { done <- link.ServePeers(ctx, listeners[i], mux) }()
		ledgers = append(ledgers, ledger)
	}
	customer := &contract.Customer{Name: "acme", MonthlyBudget: 1000}
	for i, ledger := range ledgers {
		for n := range 4 {
			claim := claimOf(f.nodes[i], fmt.Sprint(n), fmt.Sprint(i, n))
			result, err := ledger.Claims.Claim(ctx, claim)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Standing, qt.Equals, []Standing{Granted, Finished}[i])
			if i == 0 {
				c.Assert(ledger.Claims.Finish(ctx, claim, Outcome{Verdict: verdict.Ran}), qt.IsNil)
				c.Assert(ledger.Claims.Flush(ctx), qt.IsNil)
			}
		}
		release, err := ledger.Bills.Admit(ctx, customer, 100)
		c.Assert(err, qt.IsNil)
		c.Assert(ledger.Bills.Record(ctx, billOf(fmt.Sprint(i), "acme", 70)), qt.IsNil)
		release()
		c.Assert(ledger.Bills.copies.len()+ledgers[1-i].Bills.copies.len(), qt.Equals, i+1)
	}
	for _, ledger := range ledgers {
		c.Assert(ledger.Bills.Flush(ctx), qt.IsNil)
		ledger.Claims.Close()
	}
	totals, err := Totals(ctx, f.store)
	c.Assert(err, qt.IsNil)
	c.Assert(totals[0].Bills, qt.Equals, int64(2))
	for _, failed := range []string{"home_failed", "home_unreachable"} {
		c.Assert(counters.Value("plumbarrow_ledger_claims_total", "event", failed), qt.Equals, uint64(0))
	}
	c.Assert(counters.Value("plumbarrow_budgets_total", "event", "moved") > 0, qt.IsTrue)
	cancel()
	for range ledgers {
		c.Assert(<-done, qt.IsNil)
	}
}
