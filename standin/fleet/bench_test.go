package fleet_test

import (
	"fmt"
	"log/slog"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

const settleTime = 8 * time.Second // from the start until membership and permits no longer change

// BenchmarkIdleFleet measures CPU, memory and store calls of daemons that serve no requests, so only
// the control plane runs. One iteration is one second of the whole fleet; run it with -benchtime 10x.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []struct{ zones, perZone, engines int }{
		{3, 2, 12}, {3, 8, 12}, {3, 32, 12}, {17, 6, 12}, {3, 2, 300}, {3, 2, 3000}, {3, 24, 528},
	} {
		b.Run(fmt.Sprintf("zones=%d/daemons=%d/engines=%d", size.zones, size.zones*size.perZone, size.engines), func(b *testing.B) {
			f := idleFleet(b, size.zones, size.perZone, size.engines)
			time.Sleep(settleTime)
			calls := storeCalls(f)
			var before, after syscall.Rusage
			qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before), qt.IsNil)
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after), qt.IsNil)
			daemons := float64(len(f.Daemons))
			seconds := float64(b.N)
			used := time.Duration(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano()) * time.Nanosecond
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			b.ReportMetric(used.Seconds()*100/seconds/daemons, "%core/daemon")
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/daemons/(1<<20), "MB/daemon")
			b.ReportMetric(float64(storeCalls(f)-calls)/seconds, "storecalls/s")
			qt.Assert(b, f.Close(), qt.IsNil)
		})
	}
}

func idleFleet(b *testing.B, zones, perZone, engines int) *fleet.Fleet {
	f, err := fleet.New(fleet.Options{Log: slog.New(slog.DiscardHandler)})
	qt.Assert(b, err, qt.IsNil)
	document := "[[models]]\nname = \"small\"\n[[models.versions]]\nname = \"v1\"\n[[pools]]\nname = \"engines\"\nmodel = \"small\"\n"
	for z := range zones {
		document += fmt.Sprintf("[[zones]]\nname = \"z%d\"\nregion = \"r\"\n", z)
	}
	_, err = replica.ReplaceDocument(b.Context(), f.Store, "bench", []byte(document))
	qt.Assert(b, err, qt.IsNil)
	backend, err := f.StartEngine("engine-0", "z0", "engines", engine.Settings{Model: "small", Version: "v1"})
	qt.Assert(b, err, qt.IsNil)
	for i := 1; i < engines; i++ { // all instances share the address of one server
		f.List.Set(infra.Instance{ID: fmt.Sprint("engine-", i), Incarnation: "1", Kind: infra.KindEngine, Zone: fmt.Sprint("z", i%zones),
			Pool: "engines", Address: backend.Instance.Address, Model: "small", Version: "v1", State: infra.StateLive})
	}
	for z := range zones {
		for i := range perZone {
			_, err := f.StartDaemon(fmt.Sprintf("entry-%d-%d", z, i), fmt.Sprint("z", z))
			qt.Assert(b, err, qt.IsNil)
		}
	}
	qt.Assert(b, f.WaitReady(b.Context()), qt.IsNil)
	return f
}

func storeCalls(f *fleet.Fleet) (total int) {
	for _, n := range f.Store.Calls() {
		total += n
	}
	return total
}
