package replica

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// propagationLimit is the time within which an accepted change must be in force at all instances.
const propagationLimit = 10 * time.Second

// runFleet runs a test over two zones of three instances with a first configuration in force.
func runFleet(t *testing.T, loss float64, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), loss)
		propose(c, f, 0, zonesDocument(1, 1))
		for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
			f.add(id, id[:1])
		}
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(1), qt.HasLen, 0)
		test(c, f)
		c.Assert(f.violations, qt.HasLen, 0)
	})
}

func propose(c *qt.C, f *fleet, base contract.Revision, document []byte) contract.Revision {
	result := f.proposer().Propose(f.ctx, Proposal{ChangeID: NewChangeID(), Base: base, Document: document})
	c.Assert(result.Outcome, qt.Equals, OutcomeAccepted, qt.Commentf("%+v", result))
	return result.Revision
}

// TestSilentWatch guards against relying on watches: from some time on no watch of the store is
// answered, and a third of the messages between peers are lost.
func TestSilentWatch(t *testing.T) {
	runFleet(t, 0.33, func(c *qt.C, f *fleet) {
		f.store.SetFaults(kv.Faults{SilentWatches: true})
		time.Sleep(time.Minute)
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
	})
}

// TestSilentWatchAlone is TestSilentWatch without peers.
func TestSilentWatchAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t.Context(), 0)
		propose(c, f, 0, zonesDocument(1, 1))
		f.add("a1", "a")
		time.Sleep(propagationLimit)
		f.store.SetFaults(kv.Faults{SilentWatches: true})
		time.Sleep(time.Minute)
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
	})
}

// TestWatcherLost guards against a zone without a working watcher: one crashes but is still in the
// member list, the other loses the store, and a change follows at once.
func TestWatcherLost(t *testing.T) {
	runFleet(t, 0.1, func(c *qt.C, f *fleet) {
		f.crash(f.watcherOf("a").self.ID)
		f.locked(func() { f.partitionedZones["a"] = true })
		watcher := f.watcherOf("b")
		f.locked(func() { watcher.storeUnreachable = true })
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
	})
}

// TestStoreDown: the store is down for an hour. Instances must keep their configuration and report
// it as not confirmed. A new instance must become ready only with the highest revision among its
// peers, one of which is stale. After the outage a change must be in force at all instances in
// time.
func TestStoreDown(t *testing.T) {
	runFleet(t, 0.1, func(c *qt.C, f *fleet) {
		stale := f.nodes["a1"]
		f.locked(func() { stale.storeUnreachable, f.loss = true, 1 }) // only a1 misses the next revision
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(time.Minute)
		c.Assert(f.lagging(revision), qt.DeepEquals, []machine.InstanceID{"a1"})
		f.store.SetFaults(kv.Faults{Down: true})
		started := f.add("a4", "a")
		time.Sleep(time.Hour)
		c.Assert(started.Ready(), qt.Equals, errNoConfiguration)
		f.crash("a4")
		f.locked(func() { f.loss, f.onlySender = 0, "a1" }) // only the stale instance's messages arrive
		started = f.add("a5", "a")
		for started.Ready() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(started.Current().Revision, qt.Equals, revision)
		f.locked(func() { f.onlySender = "" })
		time.Sleep(5 * time.Second)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
		c.Assert(started.Confirmed(), qt.IsFalse)
		c.Assert(f.nodes["b1"].Confirmed(), qt.IsFalse)
		f.store.SetFaults(kv.Faults{})
		f.locked(func() { stale.storeUnreachable = false })
		revision = propose(c, f, revision, zonesDocument(3, 2))
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
		c.Assert(started.Confirmed(), qt.IsTrue)
	})
}

// TestConfirmed: a zone without the store must confirm through another zone. Without both it must
// not confirm, but keep its configuration.
func TestConfirmed(t *testing.T) {
	runFleet(t, 0, func(c *qt.C, f *fleet) {
		f.locked(func() {
			for _, id := range []machine.InstanceID{"a1", "a2", "a3"} {
				f.nodes[id].storeUnreachable = true
			}
		})
		time.Sleep(time.Minute)
		c.Assert(f.nodes["a1"].Confirmed(), qt.IsTrue)
		f.locked(func() { f.partitionedZones["a"] = true })
		time.Sleep(time.Minute)
		c.Assert(f.nodes["a1"].Confirmed(), qt.IsFalse)
		c.Assert(f.nodes["b1"].Confirmed(), qt.IsTrue)
		c.Assert(f.nodes["a1"].Current().Revision, qt.Equals, contract.Revision(1))
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(propagationLimit)
		spread := f.nodes["b1"].Spread()
		c.Assert(spread[1].Lowest, qt.Equals, revision)
		c.Assert(spread[0].Zone, qt.Equals, "a")
		c.Assert(spread[0].Lowest, qt.Equals, contract.Revision(1))
		f.locked(func() { f.partitionedZones["a"] = false })
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision), qt.HasLen, 0)
	})
}

// TestStoreReset: the store loses the configuration and then has another one at the same revision,
// later one at a lower revision. Nothing may be reverted, both must raise alarms, no instance may
// confirm, and a proposal must be refused unless it sets Recover.
func TestStoreReset(t *testing.T) {
	runFleet(t, 0, func(c *qt.C, f *fleet) {
		revision := propose(c, f, 1, zonesDocument(1, 2))
		time.Sleep(propagationLimit)
		setHead := func(headRevision contract.Revision) {
			entry, err := f.store.Get(f.ctx, HeadKey)
			c.Assert(err, qt.IsNil)
			decoded, err := DecodeHead(entry.Value)
			c.Assert(err, qt.IsNil)
			decoded.Records = decoded.Records[:1]
			decoded.newest().Revision = headRevision
			value, err := encodeHead(decoded)
			c.Assert(err, qt.IsNil)
			f.store.Put(HeadKey, value)
			time.Sleep(time.Minute)
			c.Assert(f.lagging(revision), qt.HasLen, 0)
			c.Assert(f.nodes["a1"].Confirmed(), qt.IsFalse)
		}
		setHead(revision)
		c.Assert(f.watcherOf("a").counters.Value("plumbarrow_configuration_digest_mismatch_total", "", "") > 0, qt.IsTrue)
		setHead(1)
		c.Assert(f.watcherOf("a").counters.Value("plumbarrow_configuration_lower_head_total", "", "") > 0, qt.IsTrue)
		proposer := NewProposer(f.store, f.nodes["a1"], f.nodes["a1"].counters, f.nodes["a1"].log)
		proposal := Proposal{ChangeID: "recovery", Base: 1, Document: zonesDocument(5, 5)}
		c.Assert(proposer.Propose(f.ctx, proposal).Reason, qt.Equals, ReasonLowerHead)
		proposal.Recover = true
		result := proposer.Propose(f.ctx, proposal)
		c.Assert(result.Revision, qt.Equals, revision+1)
		proposal.ChangeID, proposal.Document = "second", zonesDocument(6, 5)
		c.Assert(proposer.Propose(f.ctx, proposal).Outcome, qt.Equals, OutcomeRefused) // nothing left to recover
		time.Sleep(propagationLimit)
		c.Assert(f.lagging(revision+1), qt.HasLen, 0)
		c.Assert(f.nodes["b3"].Confirmed(), qt.IsTrue)
	})
}
