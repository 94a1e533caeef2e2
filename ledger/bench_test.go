package ledger

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

// BenchmarkIndexedClaim measures the cost of a claim at its shard's home, without store latency.
func BenchmarkIndexedClaim(b *testing.B) {
	settings := DefaultSettings()
	settings.CommitIntervalMS = 0
	f := newFleet(kv.New(), 1, 0)
	claims := f.add("alone", "a", settings).ledger.Claims
	defer claims.Close()
	parallel(b, 64, func(id string) error {
		claim := claimOf(f.nodes[0], id, id)
		if _, err := claims.Claim(context.Background(), claim); err != nil {
			return err
		}
		return claims.Finish(context.Background(), claim, Outcome{Verdict: verdict.Ran})
	})
	b.ReportMetric(float64(b.N)/float64(max(f.writes["claims"].writes, 1)), "claims/write")
}

// BenchmarkAdmitAndRecord measures the cost of a bill at an instance that writes to the store itself.
func BenchmarkAdmitAndRecord(b *testing.B) {
	settings := DefaultSettings()
	settings.MaxPendingBills = 1 << 20
	f := newFleet(kv.New(), 1, 0)
	bills := f.add("alone", "a", settings).ledger.Bills
	parallel(b, 4096, func(id string) error { return serveBill(bills, id) })
	b.ReportMetric(float64(b.N)/float64(max(f.writes["bills"].writes, 1)), "bills/write")
}

// parallel runs work with unique ids in width goroutines per CPU.
func parallel(b *testing.B, width int, work func(id string) error) {
	var number atomic.Int64
	b.SetParallelism(width)
	b.ReportAllocs()
	b.RunParallel(func(next *testing.PB) {
		for next.Next() {
			if err := work(fmt.Sprint(number.Add(1))); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkHomeMemory measures the memory that a shard's home uses per claim within the retry window.
func BenchmarkHomeMemory(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		before := heapBytes()
		held := newIndex(time.Hour)
		for i := range claims {
			key, id := hashKey(fmt.Sprint(i)), nonce{byte(i), byte(i >> 8), byte(i >> 16)}
			held.replay(&ledgerpb.Record{Key: key[:], Nonce: id[:], Digest: make([]byte, hashBytes), At: time.Now().Unix()})
			held.replay(&ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_UPDATE, Key: key[:], Nonce: id[:], Value: make([]byte, 64)})
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
