package zone_test

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/zone"
)

// BenchmarkLive measures Live with 400 members and the memory of the membership per member.
func BenchmarkLive(b *testing.B) {
	const n = 400
	list := instances.New(0)
	for i := range n {
		id := fmt.Sprintf("entry-%d", i)
		list.Set(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindEntry, Zone: fmt.Sprint(i % 17), Address: id, State: infra.StateLive})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	membership := zone.NewMembership(zone.DefaultSettings(), machine.Member{ID: "entry-0", Zone: "0"}, list, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(b.Context())
	stop()
	_ = membership.Run(ctx) // reads the list once
	b.ResetTimer()
	for range b.N {
		membership.Live()
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/member")
	runtime.KeepAlive(membership)
}

// BenchmarkEffective measures Current with an order in effect and the restricted snapshot cached.
func BenchmarkEffective(b *testing.B) {
	n := newOrdersOnlyNode()
	snapshot, err := contract.Build(&contract.Document{Zones: []contract.Zone{{Name: "z", Region: "r"}}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	n.source.current.Store(snapshot)
	if _, err := n.orders.TakeZoneOut("z"); err != nil {
		b.Fatal(err)
	}
	for range b.N {
		n.effective.Current()
	}
}
