package rollout_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// engines is a fake pool that carries orders out and notes when and by whom.
type engines struct {
	mu      sync.Mutex
	serving []contract.VersionID
	orders  []given // in the order in which they reached the engines
	begun   []given
	// pause stops the process that gives the next order, between its last check and the sending.
	pause time.Duration
}

type given struct {
	fence uint64
	at    time.Time
}

func newEngines(n int) *engines {
	e := &engines{}
	for range n {
		e.serving = append(e.serving, oldVersion)
	}
	return e
}

func (e *engines) Engines(string) []machine.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []machine.Endpoint
	for i, version := range e.serving {
		list = append(list, machine.Endpoint{ID: machine.EndpointID(strconv.Itoa(i)), Version: version})
	}
	return list
}

func (e *engines) Loaded(_ context.Context, engine machine.Endpoint) (contract.VersionID, error) {
	return engine.Version, nil
}

func (e *engines) Load(_ context.Context, engine machine.Endpoint, order rollout.Order) error {
	e.mu.Lock()
	pause := e.pause
	e.pause = 0
	e.begun = append(e.begun, given{order.Fence, time.Now()})
	e.mu.Unlock()
	time.Sleep(pause)
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := strconv.Atoi(string(engine.ID))
	e.serving[i] = order.Version
	e.orders = append(e.orders, given{order.Fence, time.Now()})
	return nil
}

func (e *engines) on(version contract.VersionID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, one := range e.serving {
		if one == version {
			n++
		}
	}
	return n
}

// world is a fleet of drivers over one store.
type world struct {
	c             *qt.C
	store         *kv.Store
	configuration *head
	engines       *engines
	records       *rollout.Records
}

// run starts a driver of a zone of its own; stop ends it as a crash does: without giving up its lease.
func (w *world) run(id string) (evidence *rollout.Evidence, stop func()) {
	self := member(id, id)
	evidence = rollout.NewEvidence(rollout.DefaultSettings(), self)
	driver := rollout.NewDriver(rollout.DefaultSettings(), rollout.Parts{
		Store: crashing{w.store}, Evidence: evidence, Source: w.configuration, Members: alone{self},
		Proposer: w.configuration, Orderer: w.engines, Counters: telemetry.New(), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- driver.Run(ctx) }()
	return evidence, func() { cancel(); <-done }
}

// record of a roll-out over half, then all of the sessions.
func record() rollout.Record {
	return rollout.Record{ID: "r1", Version: newVersion, Predecessor: oldVersion, Pool: "engines",
		Stages: []rollout.Stage{{Share: 0.5, Hold: time.Minute, Attempts: 100}, {Share: 1, Hold: time.Minute}}}
}

func inWorld(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{c: qt.New(t), store: kv.New(), configuration: newHead(), engines: newEngines(4)}
		w.configuration.document.Models[0].Versions[1].Weight = new(float64)
		w.records = rollout.NewRecords(w.store)
		w.store.Fail(kv.Faults{LostAnswers: 1})
		w.c.Assert(w.records.Start(t.Context(), record()), qt.IsNil)
		f(w)
	})
}

func (w *world) state() rollout.Record {
	all, err := w.records.List(context.Background())
	w.c.Assert(err, qt.IsNil)
	return all[0]
}

// TestRolloutResumes: a roll-out whose driver crashes in each stage is finished by the others, in
// order, within the budget of loads, and not before the evidence is in.
func TestRolloutResumes(t *testing.T) {
	inWorld(t, func(w *world) {
		_, stop := w.run("a")
		time.Sleep(time.Minute)
		stop()
		w.c.Assert(w.engines.on(newVersion), qt.Equals, 2)
		evidence, stop := w.run("b")
		evidence.Apply(w.configuration.Current())
		time.Sleep(5 * time.Minute)
		w.c.Assert(w.state().Current, qt.Equals, 0, qt.Commentf("went on without evidence"))
		w.c.Assert(*w.configuration.Current().Versions[newVersion].Weight, qt.Equals, 0.5)
		serve(evidence, newVersion, 100, 0, rand.New(rand.NewPCG(1, 1)))
		time.Sleep(20 * time.Second)
		stop()
		w.c.Assert(w.state().Current, qt.Equals, 1)
		_, stop = w.run("c")
		time.Sleep(10 * time.Minute)
		stop()
		w.c.Assert(w.state().State, qt.Equals, rollout.Done)
		w.c.Assert(w.engines.on(newVersion), qt.Equals, 4)
		for i := 1; i < len(w.engines.orders); i++ {
			gap := w.engines.orders[i].at.Sub(w.engines.orders[i-1].at)
			w.c.Assert(gap >= 10*time.Second, qt.IsTrue, qt.Commentf("two loads within %s, six a minute allowed", gap))
		}
	})
}

// TestUnfencedOrdersDoNotCross: the order of a holder that was paused beyond the end of its lease
// reaches an engine that ignores fences before the next holder gives its first order, and the paused
// holder gives no other one.
func TestUnfencedOrdersDoNotCross(t *testing.T) {
	inWorld(t, func(w *world) {
		second := record()
		second.ID = "r2"
		w.c.Assert(w.records.Start(t.Context(), second), qt.IsNil)
		w.engines.pause = 28 * time.Second
		_, stopA := w.run("a")
		time.Sleep(16 * time.Second) // the first load is due after ten seconds
		_, stopB := w.run("b")
		time.Sleep(3 * time.Minute)
		stopA()
		stopB()
		w.c.Assert(w.engines.on(newVersion), qt.Equals, 2)
		last := given{}
		for _, order := range w.engines.orders {
			w.c.Assert(order.fence >= last.fence, qt.IsTrue, qt.Commentf("an order of fence %d arrived after one of fence %d", order.fence, last.fence))
			last = order
		}
		w.c.Assert(w.engines.orders[0].fence < last.fence, qt.IsTrue)
		for _, order := range w.engines.begun[1:] {
			w.c.Assert(order.fence > w.engines.begun[0].fence, qt.IsTrue, qt.Commentf("the paused holder gave another order"))
		}
	})
}

// TestRolloutUndone: a withdrawn version's and an aborted roll-out's engines go back to the
// predecessor, also when the store fails in between.
func TestRolloutUndone(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		inWorld(t, func(w *world) {
			_, stop := w.run("a")
			time.Sleep(time.Minute)
			w.c.Assert(w.engines.on(newVersion), qt.Equals, 2)
			if withdrawn {
				w.c.Assert(w.configuration.Propose(context.Background(), "w", rollout.Withdraw(newVersion)), qt.IsNil)
			} else {
				w.c.Assert(w.records.Abort(context.Background(), "r1"), qt.IsNil)
			}
			w.store.Fail(kv.Faults{Down: true})
			time.Sleep(30 * time.Second)
			w.store.Fail(kv.Faults{LostAnswers: 2})
			time.Sleep(3 * time.Minute)
			stop()
			w.c.Assert(w.state().RolledBack, qt.IsTrue)
			w.c.Assert(w.engines.on(newVersion), qt.Equals, 0)
			if !withdrawn {
				w.c.Assert(*w.configuration.Current().Versions[newVersion].Weight, qt.Equals, 0.0)
			}
		})
	}
}

// crashing is a store whose leases are never given up early.
type crashing struct{ *kv.Store }

// Release implements infra.Store.
func (crashing) Release(context.Context, infra.Lease) error { return nil }
