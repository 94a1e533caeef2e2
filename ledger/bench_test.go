package ledger

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

// BenchmarkIndexedClaim measures a claim's work at its shard's home without the wait for the store.
func BenchmarkIndexedClaim(b *testing.B) {
	settings := DefaultSettings()
	settings.CommitIntervalMS = 0
	f := newFleet(kv.New(), 1, 0)
	claims := f.add("alone", "a", settings).ledger.Claims
	defer claims.Close()
	var number atomic.Int64
	b.SetParallelism(64)
	b.ReportAllocs()
	b.RunParallel(func(next *testing.PB) {
		for next.Next() {
			id := fmt.Sprint(number.Add(1))
			claim := claimOf(f.nodes[0], id, id)
			if _, err := claims.Claim(context.Background(), claim); err != nil {
				b.Error(err)
			}
			_ = claims.Finish(context.Background(), claim, Outcome{Verdict: verdict.Ran})
		}
	})
	b.ReportMetric(float64(b.N)/float64(max(f.writes["claims"].writes, 1)), "claims/write")
}

// BenchmarkAdmitAndRecord measures a bill's work at an instance that writes to the store itself.
func BenchmarkAdmitAndRecord(b *testing.B) {
	settings := DefaultSettings()
	settings.MaxPendingBills = 1 << 20
	f := newFleet(kv.New(), 1, 0)
	bills := f.add("alone", "a", settings).ledger.Bills
	customer := &contract.Customer{Name: "acme", MonthlyBudget: 1 << 50}
	var number atomic.Int64
	b.SetParallelism(4096)
	b.ReportAllocs()
	b.RunParallel(func(next *testing.PB) {
		for next.Next() {
			settle, err := bills.Admit(context.Background(), customer, 100)
			if err != nil {
				b.Error(err)
				continue
			}
			if err := bills.Record(context.Background(), billOf(fmt.Sprint(number.Add(1)), "acme", 70)); err != nil {
				b.Error(err)
			}
			settle()
		}
	})
	b.ReportMetric(float64(b.N)/float64(max(f.writes["bills"].writes, 1)), "bills/write")
}

// BenchmarkHomeMemory measures what a shard's home keeps in memory per claim of the window.
func BenchmarkHomeMemory(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		before := heapBytes()
		held := newIndex(time.Hour)
		for i := range claims {
			key, own := hashKey(fmt.Sprint(i)), nonce{byte(i), byte(i >> 8), byte(i >> 16)}
			held.replay(&ledgerpb.Record{Key: key[:], Nonce: own[:], Digest: make([]byte, hashBytes), At: time.Now().Unix()})
			held.replay(&ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_UPDATE, Key: key[:], Nonce: own[:], Value: make([]byte, 64)})
			if i%64 == 0 {
				held.sealRecent()
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/claims, "B/claim")
		runtime.KeepAlive(held)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
