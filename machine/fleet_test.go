package machine_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/peers"
)

var (
	_ link.Topic    = (*machine.StateTopic)(nil)
	_ machine.Conns = (*peers.Node)(nil)
)

// TestMain fixes the seed of property tests and fails on leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}

// Limits of the test pool.
const (
	cold      = 2
	warmAfter = 8
	full      = 32
)

// fleet is the entry instances of one zone and a pool of fake endpoints.
type fleet struct {
	t         testing.TB
	ctx       context.Context
	running   sync.WaitGroup
	network   *peers.Network
	snapshot  *contract.Snapshot
	listed    int // instances in the platform's list
	mu        sync.Mutex
	nodes     []*node
	endpoints []*endpoint
}

// node is one entry instance. The test sets which members it considers live.
type node struct {
	fleet          *fleet
	self           machine.Member
	table          *machine.Table
	permits        *machine.SharedPermits
	queue          *machine.PriorityQueue
	topic          *machine.StateTopic
	roundTriggered chan struct{}
	stop           context.CancelFunc
	ctx            context.Context
	stopRun        context.CancelFunc
	mu             sync.Mutex
	live           []machine.Member
	paused         atomic.Bool // completes and starts no requests
	idle           atomic.Bool // gets no requests
	served         int
	refusals       map[int]int // by priority
}

func (n *node) Self() machine.Member { return n.self }

func (n *node) Live() []machine.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.live)
}

func (n *node) setLive(members ...machine.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = members
}

func newFleet(t testing.TB, nodes, endpoints int, service time.Duration) *fleet {
	text := fmt.Sprintf(`
[[zones]]
name = "z"
region = "r"
[[pools]]
name = "p"
kind = "service"
max_concurrent = %d
cold_concurrent = %d
warm_after = %d
`, full, cold, warmAfter)
	document, err := contract.Parse("test", []byte(text))
	qt.Assert(t, err, qt.IsNil)
	snapshot, err := contract.Build(document, 1)
	qt.Assert(t, err, qt.IsNil)
	f := &fleet{t: t, network: peers.New(time.Millisecond), snapshot: snapshot}
	ctx, stop := context.WithCancel(t.Context())
	f.ctx = ctx
	t.Cleanup(func() { stop(); f.running.Wait() })
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &endpoint{id: fmt.Sprintf("endpoint-%d", i), service: service, state: infra.StateLive, died: make(chan struct{})})
	}
	var members []machine.Member
	for i := range nodes {
		id := fmt.Sprintf("entry-%d", i)
		members = append(members, machine.Member{ID: machine.InstanceID(id), Incarnation: "1", Zone: "z", Address: id})
	}
	f.listed = nodes
	for _, member := range members {
		f.start(t, member, members)
	}
	f.applyList()
	return f
}

func (f *fleet) start(t testing.TB, self machine.Member, live []machine.Member) {
	n := &node{fleet: f, self: self, live: live, roundTriggered: make(chan struct{}, 1), refusals: make(map[int]int)}
	n.table = machine.NewTable(machine.DefaultSettings(), self.ID)
	n.queue = machine.NewPriorityQueue(machine.DefaultSettings())
	end := f.network.Node(self.Address)
	n.permits = machine.NewSharedPermits(machine.Parts{
		Settings:        machine.DefaultSettings(),
		Table:           n.table,
		Members:         n,
		ListedInstances: func() int { return f.listed },
		Conns:           end,
		Dial:            f.dial,
		PermitFreed:     n.queue.PermitFreed,
		TriggerRound: func() {
			select {
			case n.roundTriggered <- struct{}{}:
			default:
			}
		},
		Counters: telemetry.New(),
		Log:      slog.New(slog.DiscardHandler),
	})
	n.topic = machine.NewStateTopic(n.permits)
	qt.Assert(t, n.permits.Register(end), qt.IsNil)
	n.ctx, n.stop = context.WithCancel(f.ctx)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	n.run()
	f.running.Go(n.gossip)
}

func (n *node) run() {
	ctx, stopRun := context.WithCancel(n.ctx)
	n.stopRun = stopRun
	n.fleet.running.Go(func() { _ = n.permits.Run(ctx) })
}

// pause suspends the node as a whole, as if its process was stopped; unpause resumes it with the
// same state.
func (n *node) pause() {
	n.paused.Store(true)
	n.fleet.network.SetSilent(n.self.Address, true)
	n.stopRun()
}

func (n *node) unpause() {
	n.fleet.network.SetSilent(n.self.Address, false)
	n.paused.Store(false)
	n.run()
}

// gossip sends the messages of the state topic to all nodes that the network lets it reach.
func (n *node) gossip() {
	for {
		select {
		case <-time.After(time.Second):
		case <-n.roundTriggered:
			time.Sleep(100 * time.Millisecond)
		case <-n.ctx.Done():
			return
		}
		for _, other := range n.fleet.all() {
			if other != n && other.ctx.Err() == nil && n.fleet.network.Reaches(n.self.Address, other.self.Address) {
				if message := n.topic.Message(other.self); message != nil {
					other.topic.Receive(n.self, message)
				}
			}
		}
	}
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// applyList applies the platform's present list at all nodes.
func (f *fleet) applyList() {
	var rows []infra.Instance
	for _, e := range f.endpoints {
		rows = append(rows, infra.Instance{ID: e.id, Incarnation: e.incarnation, Kind: infra.KindService, Zone: "z", Pool: "p", Address: e.id, State: e.state})
	}
	for _, n := range f.nodes {
		n.table.Apply("z", rows, f.snapshot)
	}
}

func (f *fleet) dial(_ context.Context, address string) error {
	for _, e := range f.endpoints {
		if e.id == address && !e.isDown() {
			return nil
		}
	}
	return fmt.Errorf("connection refused")
}

// zoneOut returns the restrictions that take a zone out of service.
func zoneOut(zone string) contract.Restrictions {
	return contract.Restrictions{ZonesOut: map[string]bool{zone: true}}
}

// load sends requests from all nodes, each with its own fixed random source, until ctx ends.
func (f *fleet) load(ctx context.Context, every time.Duration, priority func(i int) int) {
	for at, n := range f.nodes {
		f.running.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(at)))
			for i := 0; ctx.Err() == nil && n.ctx.Err() == nil; i++ {
				n.resume()
				seed := random.Uint64()
				if n.idle.Load() {
					time.Sleep(every)
					continue
				}
				f.running.Go(func() { n.request(rand.New(rand.NewPCG(2, seed)), priority(i)) })
				time.Sleep(time.Duration(float64(every) * random.ExpFloat64()))
			}
		})
	}
}

func samePriority(int) int { return 0 }

// request serves one request with the queue and a few tries, as an entry server does.
func (n *node) request(random *rand.Rand, priority int) {
	deadline := time.Now().Add(10 * time.Second)
	for {
		if n.try(random) {
			return
		}
		if refusal := n.queue.Wait(n.ctx, "p", priority, deadline); refusal != nil {
			n.mu.Lock()
			n.refusals[priority]++
			n.mu.Unlock()
			return
		}
	}
}

// try sends the request to an available endpoint; it returns false if no permit was free.
func (n *node) try(random *rand.Rand) bool {
	view := n.table.Pool("p")
	start := random.IntN(max(view.Len(), 1))
	for i := range view.Len() {
		var seen machine.Endpoint
		view.At((start+i)%view.Len(), &seen)
		if seen.Leaving || !seen.Healthy || seen.InFlight >= seen.Limit {
			continue
		}
		permit, refusal := n.permits.Acquire(n.ctx, &seen)
		if refusal != nil {
			continue
		}
		result := n.fleet.find(seen.ID).serve(n.ctx)
		n.resume()
		permit.Done(result)
		if result.Completed {
			n.mu.Lock()
			n.served++
			n.mu.Unlock()
			return true
		}
	}
	return false
}

// resume waits until the node is not paused.
func (n *node) resume() {
	for n.paused.Load() && n.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) find(id machine.EndpointID) *endpoint {
	at := slices.IndexFunc(f.endpoints, func(e *endpoint) bool { return e.id == string(id) })
	return f.endpoints[at]
}

// resetPeaks resets the peaks and returns the overshoot since the last call.
func (f *fleet) resetPeaks() (overshoot int) {
	for _, e := range f.endpoints {
		e.mu.Lock()
		overshoot = max(overshoot, e.overshoot)
		e.peak, e.overshoot = 0, 0
		e.mu.Unlock()
	}
	return overshoot
}

// served returns the requests served by all instances, and by the instance that served the fewest.
func (f *fleet) served() (all, fewest int) {
	fewest = math.MaxInt
	for _, n := range f.nodes {
		n.mu.Lock()
		all += n.served
		fewest = min(fewest, n.served)
		n.mu.Unlock()
	}
	return all, fewest
}

// refused counts the refusals of a priority.
func (f *fleet) refused(priority int) (sum int) {
	for _, n := range f.nodes {
		n.mu.Lock()
		sum += n.refusals[priority]
		n.mu.Unlock()
	}
	return sum
}

// total sums a figure over the endpoints.
func (f *fleet) total(figure func(*endpoint) int) (sum int) {
	for _, e := range f.endpoints {
		e.mu.Lock()
		sum += figure(e)
		e.mu.Unlock()
	}
	return sum
}

func peak(e *endpoint) int     { return e.peak }
func starts(e *endpoint) int   { return e.starts }
func finished(e *endpoint) int { return e.completed }

// homeOf returns the node that is home of the endpoint on a ring of all nodes.
func (f *fleet) homeOf(e *endpoint) *node {
	var members []machine.Member
	for _, n := range f.nodes {
		members = append(members, n.self)
	}
	owner, _ := machine.NewRing(members).Owner("home/" + e.id)
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.self == owner })
	return f.nodes[at]
}

// without returns the members of all nodes but the given ones.
func (f *fleet) without(left ...*node) (members []machine.Member) {
	for _, n := range f.nodes {
		if !slices.Contains(left, n) {
			members = append(members, n.self)
		}
	}
	return members
}
