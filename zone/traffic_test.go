package zone_test

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// trafficLimit bounds the exchange traffic of one daemon, sent and received, in bytes per second.
const trafficLimit = 23_000

const (
	poolCount        = 35
	endpointsPerZone = 176 // 3,000 endpoints in 17 zones
	restartedPerZone = 3   // endpoints that restart cold during the measurement
)

// withEndpoints adds permits over the endpoints of a node's zone to the node, and returns the topic of
// their states.
func withEndpoints(t *testing.T, f *fleet, n *node, instances []infra.Instance, snapshot *contract.Snapshot) *machine.StateTopic {
	table := machine.NewTable(machine.DefaultSettings(), n.self.ID)
	permits := machine.NewSharedPermits(machine.Parts{
		Settings: machine.DefaultSettings(), Table: table, Members: n.membership, Conns: f.network.Node("unused"),
		ListedInstances: n.membership.ListedCount, PermitFreed: func(string) {}, TriggerRound: n.exchange.TriggerRound,
		Counters: telemetry.New(), Log: slog.New(slog.DiscardHandler),
	})
	table.Apply(n.self.Zone, instances, snapshot)
	topic := machine.NewStateTopic(permits)
	n.exchange.Add(topic)
	f.running.Go(func() { _ = permits.Run(f.ctx) })
	return topic
}

// statesMessage returns an encoded message with the states of the instances after change.
func statesMessage(t *testing.T, instances []infra.Instance, change func(*machinepb.State)) []byte {
	message := &machinepb.States{}
	for _, row := range instances {
		state := &machinepb.State{Endpoint: xxhash.Sum64String(row.ID + "\x00" + row.Incarnation), Progress: 32, Shared: true}
		change(state)
		message.States = append(message.States, state)
	}
	payload, err := proto.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	return payload
}

// TestTraffic checks that the exchange traffic of the busiest daemon stays below trafficLimit with all
// topics, while every engine's load changes each second and some endpoints restart cold. The target
// size runs only without the race detector, with which it is too slow.
func TestTraffic(t *testing.T) {
	for _, size := range trafficSizes {
		t.Run(fmt.Sprintf("%d instances", size.zones*size.members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, size.zones, size.members, size.endpoints) })
		})
	}
}

// trafficSize is a number of zones with their members and endpoints.
type trafficSize struct{ zones, members, endpoints int }

var trafficSizes = []trafficSize{{3, 2, 4}, {1, 24, endpointsPerZone}}

func measureTraffic(t *testing.T, zones, members, endpoints int) {
	const seconds = 12
	f := newFleet(t, zones, members)
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprintf("z%d", z))
	}
	parsed := document(t, names...)
	for i := range poolCount {
		parsed.Pools = append(parsed.Pools, contract.Pool{Name: fmt.Sprintf("pool-%d", i), Kind: contract.PoolService, MaxConcurrent: 32, ColdConcurrent: 2, WarmAfter: 8})
	}
	accept(t, parsed, 1, f.nodes...)
	snapshot := f.nodes[0].source.Current()
	withLoads(t, f, 50)
	topics := make(map[*node]*machine.StateTopic)
	instances := make(map[string][]infra.Instance)
	for _, name := range names {
		for i := range endpoints {
			pool := fmt.Sprintf("pool-%d", i%poolCount)
			instances[name] = append(instances[name], infra.Instance{ID: fmt.Sprintf("%s-engine-%d", name, i), Incarnation: "1", Kind: infra.KindEngine, Zone: name, Pool: pool, State: infra.StateLive})
		}
	}
	for _, n := range f.nodes {
		topics[n] = withEndpoints(t, f, n, instances[n.self.Zone], snapshot)
		topics[n].Receive(n.self, statesMessage(t, instances[n.self.Zone], func(*machinepb.State) {}))
	}
	time.Sleep(10 * time.Second)
	before := allBytes(f)
	for second := range seconds {
		for i, n := range f.nodes { // one member learns of each load first, as if it had polled the engine
			part := instances[n.self.Zone][(i%members)*endpoints/members : (i%members+1)*endpoints/members]
			topics[n].Receive(n.self, statesMessage(t, part, func(s *machinepb.State) { s.Running, s.Queued, s.AgeMs = uint32(second), uint32(i), 1 }))
			if i%members == 0 && second < restartedPerZone {
				topics[n].Receive(n.self, statesMessage(t, instances[n.self.Zone][second:second+1], func(s *machinepb.State) { s.Epoch, s.Progress, s.Shared = 1, 0, false }))
			}
		}
		time.Sleep(time.Second)
	}
	total, busiest := uint64(0), uint64(0)
	for n, bytes := range allBytes(f) {
		total += bytes - before[n]
		busiest = max(busiest, bytes-before[n])
	}
	mean := total / uint64(len(f.nodes)) / seconds
	t.Logf("%d instances, %d endpoints a zone: %d B/s sent and received by a daemon in the mean, %d B/s by the busiest, %d B/s per peer of its zone",
		len(f.nodes), endpoints, mean, busiest/seconds, mean/uint64(max(members-1, 1)))
	qt.Assert(t, busiest/seconds < trafficLimit, qt.IsTrue)
}

func allBytes(f *fleet) map[*node]uint64 {
	all := make(map[*node]uint64)
	for _, n := range f.nodes {
		sent, received := n.exchange.Bytes()
		all[n] = sent + received
	}
	return all
}
