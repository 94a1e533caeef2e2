package zone_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/standin/peers"
	"plumbarrow.example/plumbarrow/zone"
)

const modelsText = `
[[models]]
name = "small"
[[models.versions]]
name = "v1"
`

// fleet is a set of entry instances in one synctest bubble.
type fleet struct {
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	network *peers.Network
	list    *instances.List
	nodes   []*node
}

// node is one entry instance.
type node struct {
	self       machine.Member
	source     *source
	membership *zone.Membership
	exchange   *zone.Exchange
	orders     *zone.Orders
	effective  *zone.Effective
	stop       context.CancelFunc
}

// source is a contract.Source whose snapshot the test sets.
type source struct {
	current atomic.Pointer[contract.Snapshot]
}

func (s *source) Current() *contract.Snapshot { return s.current.Load() }

func newFleet(t *testing.T, zones, perZone int) *fleet {
	f := &fleet{network: peers.New(time.Millisecond), list: instances.New(time.Second)}
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() { f.stop(); f.running.Wait() })
	for z := range zones {
		for i := range perZone {
			f.add(t, fmt.Sprintf("z%d", z), fmt.Sprintf("z%d-entry-%d", z, i))
		}
	}
	return f
}

func (f *fleet) add(t *testing.T, zoneName, id string) *node {
	n := f.assemble(t, zoneName, id, id, zone.DefaultSettings())
	f.list.Set(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindEntry, Zone: zoneName, Address: id, State: infra.StateLive})
	f.run(n)
	return n
}

// assemble builds a node without starting it. Its incarnation differs from that in the platform's list.
func (f *fleet) assemble(t *testing.T, zoneName, id, address string, settings zone.Settings) *node {
	c := qt.New(t)
	log := slog.New(slog.DiscardHandler)
	n := &node{source: &source{}, self: machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation("run-" + address), Zone: zoneName, Address: address}}
	counters := telemetry.New()
	networkNode := f.network.Node(address)
	n.membership = zone.NewMembership(settings, n.self, f.list, log)
	n.exchange = zone.NewExchange(settings, n.membership, networkNode, counters, log)
	n.orders = zone.NewOrders(n.source, n.exchange.TriggerRound, counters, log)
	n.effective = zone.NewEffective(n.source, n.orders)
	n.exchange.Add(n.orders)
	c.Assert(n.exchange.Register(networkNode), qt.IsNil)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) run(n *node) {
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.running.Go(func() { _ = n.membership.Run(ctx) })
	f.running.Go(func() { _ = n.exchange.Run(ctx) })
}

// accept makes a document the accepted configuration of the nodes.
func accept(t *testing.T, document *contract.Document, revision contract.Revision, nodes ...*node) {
	snapshot, err := contract.Build(document, revision)
	qt.Assert(t, err, qt.IsNil)
	for _, n := range nodes {
		n.source.current.Store(snapshot)
	}
}

// document returns a document with the zones, all in service.
func document(t *testing.T, zones ...string) *contract.Document {
	var text strings.Builder
	text.WriteString(modelsText)
	for _, name := range zones {
		fmt.Fprintf(&text, "[[zones]]\nname = %q\nregion = \"r\"\n", name)
	}
	parsed, err := contract.Parse("test", []byte(text.String()))
	qt.Assert(t, err, qt.IsNil)
	return parsed
}

// inService returns for each node whether the zone is in service in its effective configuration.
func inService(nodes []*node, name string) []bool {
	all := make([]bool, len(nodes))
	for i, n := range nodes {
		all[i] = n.effective.Current().ZoneInService(name)
	}
	return all
}

// newOrdersOnlyNode returns a node without membership and exchange.
func newOrdersOnlyNode() *node {
	n := &node{source: &source{}}
	n.orders = zone.NewOrders(n.source, func() {}, telemetry.New(), slog.New(slog.DiscardHandler))
	n.effective = zone.NewEffective(n.source, n.orders)
	return n
}
