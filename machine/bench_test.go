package machine_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// staticMembers is a fixed membership; the first member is the instance itself.
type staticMembers struct{ members []machine.Member }

func (a staticMembers) Self() machine.Member   { return a.members[0] }
func (a staticMembers) Live() []machine.Member { return a.members }

// benchPermits returns permits of the first member over n endpoints of one pool.
func benchPermits(b *testing.B, n int, conns machine.Conns, members ...machine.Member) (*machine.SharedPermits, *machine.Table) {
	settings := machine.DefaultSettings()
	settings.HandoverMS = 1
	document := &contract.Document{
		Zones: []contract.Zone{{Name: "z", Region: "r"}},
		Pools: []contract.Pool{{Name: "p", Kind: contract.PoolService, MaxConcurrent: full, ColdConcurrent: cold, WarmAfter: warmAfter}},
	}
	snapshot, err := contract.Build(document, 1)
	qt.Assert(b, err, qt.IsNil)
	table := machine.NewTable(settings, members[0].ID)
	permits := machine.NewSharedPermits(machine.Parts{
		Settings: settings, Table: table, Members: staticMembers{members}, Conns: conns, ListedInstances: func() int { return len(members) },
		PermitFreed: machine.NewPriorityQueue(settings).PermitFreed, TriggerRound: func() {}, Counters: telemetry.New(), Log: slog.New(slog.DiscardHandler),
	})
	var rows []infra.Instance
	for i := range n {
		id := fmt.Sprintf("endpoint-%d", i)
		rows = append(rows, infra.Instance{ID: id, Kind: infra.KindService, Zone: "z", Pool: "p", Address: id, State: infra.StateLive})
	}
	table.Apply("z", rows, snapshot)
	time.Sleep(2 * time.Millisecond) // the handover time
	return permits, table
}

var member = machine.Member{ID: "entry-0", Incarnation: "1", Zone: "z"}

// BenchmarkAcquire measures reading one candidate, Acquire and Done at a warm endpoint, from
// several threads.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{12, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			permits, table := benchPermits(b, n, nil, member)
			ctx := context.Background()
			done := machine.Result{Completed: true, FirstByte: time.Millisecond, LoadReported: true, Running: 1}
			var seen machine.Endpoint
			for i := range n * 40 { // warm up
				table.Pool("p").At(i%n, &seen)
				if permit, refusal := permits.Acquire(ctx, &seen); refusal == nil {
					permit.Done(done)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				var endpoint machine.Endpoint
				view := table.Pool("p")
				for pb.Next() {
					view.At(rand.IntN(n), &endpoint)
					if permit, refusal := permits.Acquire(ctx, &endpoint); refusal == nil {
						permit.Done(done)
					}
				}
			})
		})
	}
}

// BenchmarkHomePermit measures a cold endpoint's permit from its home over loopback TCP.
func BenchmarkHomePermit(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	peer := machine.Member{ID: "entry-1", Incarnation: "1", Zone: "z", Address: listener.Addr().String()}
	dialer := link.NewPeerDialer()
	defer dialer.Close()
	const n = 64
	asker, table := benchPermits(b, n, dialer, member, peer)
	home, _ := benchPermits(b, n, dialer, peer, member)
	mux := drpcmux.New()
	qt.Assert(b, home.Register(mux), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- link.ServePeers(ctx, listener, mux) }()
	defer func() { stop(); <-served }()
	ring := machine.NewRing([]machine.Member{member, peer})
	remote := 0
	for owner := member; owner != peer; remote++ {
		owner, _ = ring.Owner(fmt.Sprintf("home/endpoint-%d", remote))
	}
	var seen machine.Endpoint
	table.Pool("p").At(remote-1, &seen)
	b.ResetTimer()
	for range b.N {
		permit, refusal := asker.Acquire(ctx, &seen)
		if refusal != nil {
			b.Fatal(refusal)
		}
		permit.Done(machine.Result{})
	}
}

// BenchmarkMemory measures the table's memory per endpoint.
func BenchmarkMemory(b *testing.B) {
	const n = 3000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		_, table := benchPermits(b, n, nil, member)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/endpoint")
		runtime.KeepAlive(table)
	}
}
