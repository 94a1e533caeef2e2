package zone_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/zone"
)

// TestOverTCP checks over drpc on loopback that an instance joins another through a seed and that an
// order propagates between them. It waits without a limit of its own and fails by the test timeout.
func TestOverTCP(t *testing.T) {
	c := qt.New(t)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	log := slog.New(slog.DiscardHandler)
	settings := zone.DefaultSettings()
	var nodes []*node
	for _, id := range []string{"entry-0", "entry-1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		n := &node{source: &source{}, self: machine.Member{ID: machine.InstanceID(id), Incarnation: "1", Zone: "z0", Address: listener.Addr().String()}}
		dialer := link.NewPeerDialer()
		defer dialer.Close()
		n.membership = zone.NewMembership(settings, n.self, instances.New(0), log)
		n.exchange = zone.NewExchange(settings, n.membership, dialer, telemetry.New(), log)
		n.orders = zone.NewOrders(n.source, n.exchange.TriggerRound, telemetry.New(), log)
		n.effective = zone.NewEffective(n.source, n.orders)
		n.exchange.Add(n.orders)
		mux := drpcmux.New()
		c.Assert(n.exchange.Register(mux), qt.IsNil)
		running.Go(func() { _ = link.ServePeers(ctx, listener, mux) })
		running.Go(func() { _ = n.exchange.Run(ctx) })
		nodes = append(nodes, n)
		settings.Seeds = []string{n.self.Address}
	}
	accept(t, document(t, "z0"), 1, nodes...)
	_, err := nodes[0].orders.TakeZoneOut("z0")
	c.Assert(err, qt.IsNil)
	for nodes[1].effective.Current().ZoneInService("z0") {
		time.Sleep(10 * time.Millisecond)
	}
	for len(nodes[0].membership.Live()) != 2 {
		time.Sleep(10 * time.Millisecond)
	}
}
