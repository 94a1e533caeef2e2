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

// engines is a fake pool of engines that carries out orders and records their fences and times.
type engines struct {
	mu      sync.Mutex
	serving []contract.VersionID
	orders  []orderEvent // in the order of their arrival at the engines
	started []orderEvent // in the order of the calls of Load
	// pause delays the next order between the driver's last check and the sending, as if its
	// process was paused.
	pause time.Duration
}

type orderEvent struct {
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
	e.started = append(e.started, orderEvent{order.Fence, time.Now()})
	e.mu.Unlock()
	time.Sleep(pause)
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := strconv.Atoi(string(engine.ID))
	e.serving[i] = order.Version
	e.orders = append(e.orders, orderEvent{order.Fence, time.Now()})
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

// fixture is a store, a configuration and a pool of engines for several drivers.
type fixture struct {
	c             *qt.C
	store         *kv.Store
	configuration *fakeConfiguration
	engines       *engines
	records       *rollout.Records
}

// run starts a driver in a zone of its own. stop ends it as a crash does, without releasing its
// lease.
func (w *fixture) run(id string) (evidence *rollout.Evidence, stop func()) {
	self := member(id, id)
	evidence = rollout.NewEvidence(rollout.DefaultSettings(), self)
	driver := rollout.NewDriver(rollout.DefaultSettings(), rollout.Parts{
		Store: keepsLeases{w.store}, Evidence: evidence, Source: w.configuration, Members: soleMember{self},
		Proposer: w.configuration, Orderer: w.engines, Counters: telemetry.New(), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- driver.Run(ctx) }()
	return evidence, func() { cancel(); <-done }
}

// record returns a roll-out to half, then all of the sessions.
func record() rollout.Record {
	return rollout.Record{ID: "r1", Version: newVersion, Predecessor: oldVersion, Pool: "engines",
		Stages: []rollout.Stage{{Share: 0.5, Hold: time.Minute, Attempts: 100}, {Share: 1, Hold: time.Minute}}}
}

func withFixture(t *testing.T, f func(w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{c: qt.New(t), store: kv.New(), configuration: newFakeConfiguration(), engines: newEngines(4)}
		w.configuration.document.Models[0].Versions[1].Weight = new(float64)
		w.records = rollout.NewRecords(w.store)
		w.store.SetFaults(kv.Faults{LostAnswers: 1})
		w.c.Assert(w.records.Start(t.Context(), record()), qt.IsNil)
		f(w)
	})
}

func (w *fixture) state() rollout.Record {
	all, err := w.records.List(context.Background())
	w.c.Assert(err, qt.IsNil)
	return all[0]
}

// TestRolloutResumes crashes the driver in each stage of a roll-out. The next driver continues it,
// in order, within the load budget, and not before there is enough evidence.
func TestRolloutResumes(t *testing.T) {
	withFixture(t, func(w *fixture) {
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

// TestUnfencedOrdersDoNotCross pauses a lease holder beyond the end of its lease while it sends an
// order to an engine that ignores fences. The order arrives before the first order of the next
// holder, and the paused holder sends no further one.
func TestUnfencedOrdersDoNotCross(t *testing.T) {
	withFixture(t, func(w *fixture) {
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
		last := orderEvent{}
		for _, order := range w.engines.orders {
			w.c.Assert(order.fence >= last.fence, qt.IsTrue, qt.Commentf("an order of fence %d arrived after one of fence %d", order.fence, last.fence))
			last = order
		}
		w.c.Assert(w.engines.orders[0].fence < last.fence, qt.IsTrue)
		for _, order := range w.engines.started[1:] {
			w.c.Assert(order.fence > w.engines.started[0].fence, qt.IsTrue, qt.Commentf("the paused holder gave another order"))
		}
	})
}

// TestRolloutUndone withdraws the version of a roll-out or aborts the roll-out. The engines return
// to the predecessor, even if the store fails meanwhile.
func TestRolloutUndone(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		withFixture(t, func(w *fixture) {
			_, stop := w.run("a")
			time.Sleep(time.Minute)
			w.c.Assert(w.engines.on(newVersion), qt.Equals, 2)
			if withdrawn {
				w.c.Assert(w.configuration.Propose(context.Background(), "w", rollout.Withdraw(newVersion)), qt.IsNil)
			} else {
				w.c.Assert(w.records.Abort(context.Background(), "r1"), qt.IsNil)
			}
			w.store.SetFaults(kv.Faults{Down: true})
			time.Sleep(30 * time.Second)
			w.store.SetFaults(kv.Faults{LostAnswers: 2})
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

// keepsLeases is a store that keeps a lease until it expires, as when its holder crashes.
type keepsLeases struct{ *kv.Store }

// Release implements infra.Store.
func (keepsLeases) Release(context.Context, infra.Lease) error { return nil }
