package replica

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// TestCosts bounds and logs the calls to the store and the messages to peers that a change and an
// idle minute take.
func TestCosts(t *testing.T) {
	runFleet(t, 0, func(c *qt.C, f *fleet) {
		before := f.store.Calls()
		time.Sleep(10 * time.Minute)
		idle := f.store.Calls()
		zones := float64(len(f.nodes["a1"].Spread()))
		watches := float64(idle[kv.OpWatch]-before[kv.OpWatch]) / 10 / zones
		reads := float64(idle[kv.OpGet]-before[kv.OpGet]) / 10 / zones
		c.Logf("idle minute and zone: %.1f watches, %.1f reads", watches, reads)
		c.Assert(watches+reads < 40, qt.IsTrue)

		const changes = 50
		f.locked(func() { f.deltas, f.fullDocuments = 0, 0 })
		start := f.store.Calls()
		proposer := f.proposer()
		for i := range changes {
			result := proposer.Propose(f.ctx, Proposal{ChangeID: NewChangeID(), Base: contract.Revision(i + 1), Document: zonesDocument(1, 100+i)})
			c.Assert(result.Outcome, qt.Equals, OutcomeAccepted)
			time.Sleep(2 * time.Second)
		}
		end := f.store.Calls()
		per := func(op kv.Op) float64 { return float64(end[op]-start[op]) / changes }
		idleReads := 2.0 / 60 * reads * zones // reads that occur without a change
		var deltas, fullDocuments int
		f.locked(func() { deltas, fullDocuments = f.deltas, f.fullDocuments })
		c.Logf("change: %.2f writes, %.2f deletes, %.2f reads; %d documents by peers as deltas, %d whole",
			per(kv.OpSwap), per(kv.OpDelete), per(kv.OpGet)-idleReads, deltas, fullDocuments)
		c.Assert(fullDocuments, qt.Equals, 0)
		c.Assert(per(kv.OpGet) < 2+idleReads, qt.IsTrue)
		after := len(f.nodes["a1"].Message(f.nodes["a2"].self))
		time.Sleep(time.Minute)
		f.nodes["a1"].Message(machine.Member{ID: "x", Zone: "a"})
		quiet := len(f.nodes["a1"].Message(machine.Member{ID: "x", Zone: "a"}))
		c.Logf("topic message: %d bytes, %d with two zones after a change", quiet, after)
		c.Assert(quiet <= 32, qt.IsTrue)
		c.Assert(after <= 128, qt.IsTrue)
	})
}

// TestFetchOverDRPC fetches a configuration over a real drpc connection: whole, as a delta, and
// nothing if both sides are at the same revision.
func TestFetchOverDRPC(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t.Context(), 0)
	source := New(f.store, f.proposer().log)
	target := New(f.store, f.proposer().log)
	mux := drpcmux.New()
	c.Assert(source.Register(mux), qt.IsNil)
	target.fetcher = &peerFetcher{peers: pipes{t, mux}}
	fetch := func() {
		c.Assert(target.fetchFrom(t.Context(), machine.Member{ID: "source"}), qt.IsNil)
		c.Assert(target.current.Load().revision(), qt.Equals, source.current.Load().revision())
		c.Assert(string(target.Document()), qt.Equals, string(source.Document()))
	}
	fetch() // nothing yet
	for i := range 3 {
		propose(c, f, contract.Revision(i), zonesDocument(1, i))
		_, err := source.read(t.Context())
		c.Assert(err, qt.IsNil)
		fetch()
	}
	c.Assert(target.current.Load().deltaFrom, qt.Not(qt.Equals), "")
	fetch()
}

// pipes connects to a drpc server over net.Pipe.
type pipes struct {
	t   *testing.T
	mux *drpcmux.Mux
}

func (p pipes) Conn(context.Context, machine.Member) (drpc.Conn, error) {
	client, server := net.Pipe()
	go func() { _ = drpcserver.New(p.mux).ServeOne(p.t.Context(), server) }()
	conn := drpcconn.New(client)
	p.t.Cleanup(func() { _ = conn.Close() })
	return conn, nil
}

// Numbers of customers in a large document: testCustomers give about 100 kB, largestCustomers about the
// largest size allowed, for the benchmark.
const (
	testCustomers    = 390
	largestCustomers = 3_900
)

func largeDocument(region string, customers int) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "[[zones]]\nname = \"z\"\nregion = %q\n[[models]]\nname = \"m\"\n[[models.versions]]\nname = \"v1\"\n", region)
	for i := range customers {
		fmt.Fprintf(&out, "[[customers]]\nname = \"c%d\"\nkey_hashes = [%q]\nmodels = [\"m\"]\n", i, contract.HashKey(fmt.Sprint(i)))
		fmt.Fprintf(&out, "[[pools]]\nname = \"p%d\"\nmodel = \"m\"\nroutes = [\"r%d\"]\n", i, i)
		fmt.Fprintf(&out, "[[routes]]\nname = \"r%d\"\nmodel = \"m%d\"\ncustomers = [\"c%d\"]\npools = [\"p%d\"]\n", i, i, i, i)
	}
	return []byte(out.String())
}

// TestLargeDocument checks that a change of a document with many customers reaches peers as a delta
// and keeps the head small.
func TestLargeDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), 0)
		f.add("a1", "a")
		f.add("a2", "a")
		propose(c, f, 0, largeDocument("r", testCustomers))
		time.Sleep(propagationLimit)
		revision := propose(c, f, 1, largeDocument("s", testCustomers))
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
		entry, err := f.store.Get(f.ctx, HeadKey)
		c.Assert(err, qt.IsNil)
		c.Logf("document %d bytes, packed %d, head with delta %d", len(largeDocument("s", testCustomers)), len(pack(largeDocument("s", testCustomers))), len(entry.Value))
		f.locked(func() { c.Check(f.deltas, qt.Equals, 1) })
		c.Assert(len(entry.Value) < 4<<10, qt.IsTrue)
	})
}

// BenchmarkApplyDelta measures the cost at one instance of a change to a document of about 1 MB.
func BenchmarkApplyDelta(b *testing.B) {
	from, to := largeDocument("r", largestCustomers), largeDocument("s", largestCustomers)
	delta := packDelta(to, from)
	store := kv.New()
	for b.Loop() {
		r := New(store, newFleet(b.Context(), 0).proposer().log)
		active := &activeConfig{record: Record{Revision: 1, Digest: digestOf(from)}, packed: pack(from)}
		r.current.Store(active)
		err := r.applyIfNewer(Record{Revision: 2, Digest: digestOf(to)}, payload{delta: delta, deltaFrom: digestOf(from)}, sourcePeer)
		qt.Assert(b, err, qt.IsNil)
	}
}
