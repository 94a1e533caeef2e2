package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// The property tests draw the same cases in every run unless -rapid.seed is set.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fleet is a set of entry instances that share one store and call each other over a fake network.
type fleet struct {
	store *kv.Store
	nodes []*node

	mu     sync.Mutex
	random *rand.Rand
	chance float64          // probability of a fault in each call to the store or a peer
	writes map[string]tally // by the second segment of the store key, as in ledger/claims/0
}

// tally counts writes and their bytes.
type tally struct{ writes, bytes int }

func (f *fleet) tally(key string, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	family := strings.Split(key, "/")[1]
	count := f.writes[family]
	f.writes[family] = tally{writes: count.writes + 1, bytes: count.bytes + bytes}
}

// node is one entry instance: its ledger, its view of the members and its faults.
type node struct {
	fleet  *fleet
	self   machine.Member
	ledger *Ledger

	mu       sync.Mutex
	dead     bool            // crashed: its calls have no effect any more
	noStore  bool            // partitioned from the store
	noPeers  bool            // partitioned from all peers
	unlisted map[string]bool // ids of the members missing in its view
}

func newFleet(store *kv.Store, seed uint64, chance float64, zones ...string) *fleet {
	f := &fleet{store: store, random: rand.New(rand.NewPCG(seed, 1)), chance: chance, writes: make(map[string]tally)}
	settings := DefaultSettings()
	settings.SealBytes = 100    // so that a few records are enough to seal and merge segments
	settings.AllowanceShare = 8 // so that instances hold enough to overspend a small budget
	for i, zone := range zones {
		f.add(fmt.Sprintf("entry-%d", i), zone, settings)
	}
	return f
}

func (f *fleet) add(id, zone string, settings Settings) *node {
	self := machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation(fmt.Sprintf("%s/%d", id, len(f.nodes))), Zone: zone, Address: id}
	n := &node{fleet: f, self: self, unlisted: make(map[string]bool)}
	n.ledger = New(Parts{Store: n.storeView(), Members: n, Peers: n, Counters: telemetry.New(), Log: slog.New(slog.DiscardHandler), Settings: settings})
	f.nodes = append(f.nodes, n)
	return n
}

// set changes a node's faults.
func (n *node) set(change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *node) check(predicate func(*node) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return predicate(n)
}

func isDead(n *node) bool { return n.dead }

// run starts the ledgers; stop ends them and waits until calls in flight have ended.
func (f *fleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, n := range f.nodes {
		go func() { _ = n.ledger.Run(ctx) }()
	}
	return func() {
		cancel()
		time.Sleep(time.Minute)
	}
}

// crash stops a node after the delay at. It stays in the other nodes' lists for 3 seconds.
func (f *fleet) crash(n *node, at time.Duration) {
	time.Sleep(at)
	n.set(func(n *node) { n.dead = true })
	time.Sleep(3 * time.Second)
	for _, other := range f.nodes {
		other.set(func(other *node) { other.unlisted[string(n.self.ID)] = true })
	}
}

// clearFaults ends random call faults and store outages.
func (f *fleet) clearFaults() {
	f.store.SetFaults(kv.Faults{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chance = 0
}

// Self implements machine.Members.
func (n *node) Self() machine.Member { return n.self }

// Live implements machine.Members: all nodes except those missing in this one's view. Dead nodes
// stay listed until crash or a test removes them.
func (n *node) Live() []machine.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var live []machine.Member
	for _, other := range n.fleet.nodes {
		if !n.unlisted[string(other.self.ID)] {
			live = append(live, other.self)
		}
	}
	return live
}

var errCut = errors.New("network cut")

// Conn implements link.Peers.
func (n *node) Conn(_ context.Context, member machine.Member) (drpc.Conn, error) {
	for _, other := range n.fleet.nodes {
		if other.self.Incarnation == member.Incarnation {
			return &pipe{from: n, to: other}, nil
		}
	}
	return nil, errCut
}

// drawFault returns one of n faults at random, or -1 for none.
func (f *fleet) drawFault(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() >= f.chance {
		return -1
	}
	return f.random.IntN(n)
}

// pipe is a connection that calls a peer's service within the process.
type pipe struct {
	drpc.Conn
	from, to *node
}

func (p *pipe) cut() bool {
	return p.from.check(func(n *node) bool { return n.dead || n.noPeers }) || p.to.check(func(n *node) bool { return n.dead || n.noPeers })
}

// Invoke implements drpc.Conn. Faults: the request is lost, the response is lost, or the call takes
// effect late and the caller gets no response until its context ends.
func (p *pipe) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	in = proto.Clone(in.(proto.Message)) // as over a network, the peer gets a copy
	time.Sleep(time.Millisecond)
	fault := p.from.fleet.drawFault(3)
	if p.cut() || fault == 0 {
		return errCut
	}
	if fault == 2 {
		go func() { time.Sleep(2 * time.Second); _ = p.call(context.Background(), rpc, in, nil) }()
		<-ctx.Done()
		return ctx.Err()
	}
	err := p.call(ctx, rpc, in, out)
	if p.cut() || fault == 1 {
		return errCut
	}
	return err
}

func (p *pipe) call(ctx context.Context, rpc string, in, out drpc.Message) error {
	method := map[string]int{"/plumbarrow.ledger.Ledger/Commit": 0, "/plumbarrow.ledger.Ledger/ClaimStatus": 1, "/plumbarrow.ledger.Ledger/HoldBills": 2, "/plumbarrow.ledger.Ledger/MoveAllowance": 3}[rpc]
	_, encoding, receive, _, _ := ledgerpb.DRPCLedgerDescription{}.Method(method)
	answer, err := receive(p.to.ledger.Server(), ctx, in, nil)
	if err != nil || out == nil {
		return err
	}
	data, err := encoding.Marshal(answer)
	if err != nil {
		return err
	}
	return encoding.Unmarshal(data, out)
}

// storeView is one node's connection to the store. Faults of writes: the answer is lost, the write is
// lost, it takes effect after its answer, or the store is unavailable.
type storeView struct {
	infra.Store
	node *node
}

func (n *node) storeView() infra.Store { return &storeView{Store: n.fleet.store, node: n} }

func (v *storeView) cut() bool {
	return v.node.check(func(n *node) bool { return n.dead || n.noStore })
}

// Get implements infra.Store.
func (v *storeView) Get(ctx context.Context, key string) (infra.Entry, error) {
	time.Sleep(time.Millisecond)
	if v.cut() || v.node.fleet.drawFault(8) == 0 {
		return infra.Entry{}, infra.ErrUnavailable
	}
	return v.Store.Get(ctx, key)
}

// CompareAndSwap implements infra.Store.
func (v *storeView) CompareAndSwap(ctx context.Context, key string, expect infra.StoreVersion, value []byte) (infra.StoreVersion, error) {
	time.Sleep(time.Millisecond)
	if v.cut() {
		return 0, infra.ErrUnavailable
	}
	v.node.fleet.tally(key, len(value))
	switch v.node.fleet.drawFault(4) {
	case 0:
		_, _ = v.Store.CompareAndSwap(ctx, key, expect, value)
		return 0, infra.ErrOutcomeUnknown
	case 1:
		return 0, infra.ErrOutcomeUnknown
	case 2:
		go func() {
			time.Sleep(v.node.fleet.lateWriteDelay())
			_, _ = v.Store.CompareAndSwap(context.Background(), key, expect, value)
		}()
		return 0, infra.ErrOutcomeUnknown
	case 3:
		return 0, infra.ErrUnavailable
	}
	version, err := v.Store.CompareAndSwap(ctx, key, expect, value)
	if err == nil && v.cut() {
		return 0, infra.ErrOutcomeUnknown
	}
	return version, err
}

func (f *fleet) lateWriteDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(3000)) * time.Millisecond
}

// fault is one kind of injected fault.
type fault int

const (
	killed    fault = iota // the instance crashes and stays dead
	noStore                // the instance is partitioned from the store
	noPeers                // the instance is partitioned from all peers
	unlisted               // another instance is missing in its list
	storeDown              // the store is down for all instances
)

var allFaults = []fault{killed, noStore, noPeers, unlisted, storeDown}

// injectFaults applies random faults of the given kinds. Each starts within withinMS and lasts at
// most lastingMS.
func (f *fleet) injectFaults(work *sync.WaitGroup, random *rand.Rand, faults int, kinds []fault, withinMS, lastingMS int) {
	for range faults {
		n, other := f.nodes[random.IntN(len(f.nodes))], f.nodes[random.IntN(len(f.nodes))]
		kind, at, lasts := kinds[random.IntN(len(kinds))], pause(random, withinMS), pause(random, lastingMS)
		work.Go(func() {
			time.Sleep(at)
			n.setFault(kind, other, true)
			time.Sleep(lasts)
			n.setFault(kind, other, false)
		})
	}
}

func (n *node) setFault(kind fault, other *node, on bool) {
	switch kind {
	case killed:
		n.set(func(n *node) { n.dead = true })
	case noStore:
		n.set(func(n *node) { n.noStore = on })
	case noPeers:
		n.set(func(n *node) { n.noPeers = on })
	case unlisted:
		n.set(func(n *node) { n.unlisted[string(other.self.ID)] = on && other != n })
	case storeDown:
		n.fleet.store.SetFaults(kv.Faults{Down: on})
	}
}

// pause returns a random duration below ms milliseconds.
func pause(random *rand.Rand, ms int) time.Duration {
	return time.Duration(random.IntN(ms)) * time.Millisecond
}

// closeFleet ends the background deliveries and waits until calls in flight have ended.
func closeFleet(f *fleet) {
	for _, n := range f.nodes {
		n.ledger.Claims.Close()
	}
	time.Sleep(time.Minute)
}
