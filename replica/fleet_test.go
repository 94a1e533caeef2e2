package replica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/standin/peers"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fleet is a store and some replicas that exchange topic messages once a second, in virtual time.
type fleet struct {
	store *kv.Store
	ctx   context.Context

	mu               sync.Mutex
	random           *rand.Rand
	loss             float64 // share of topic messages and fetches lost
	members          []machine.Member
	nodes            map[machine.InstanceID]*node
	fullMeshSize     int             // above this size, an instance sends to fanout members of its zone a round; 0: always to all
	partitionedZones map[string]bool // zones cut off from the peers of other zones
	digests          map[contract.Revision]string
	violations       []string           // violated invariants
	deltas           int                // documents fetched from peers as deltas
	fullDocuments    int                // documents fetched from peers whole
	onlySender       machine.InstanceID // if set, the only instance whose topic messages arrive
	network          *peers.Network
	linkMbps         float64 // of each instance, for documents; 0 for no limit
}

type node struct {
	*Replica
	fleet            *fleet
	self             machine.Member
	counters         *telemetry.Counters
	link             *peers.Node
	stop             context.CancelFunc
	highestRevision  contract.Revision
	storeUnreachable bool // the store cannot be reached
	silentWatches    bool // its watches get no answer
}

func newFleet(ctx context.Context, loss float64) *fleet {
	return &fleet{
		store: kv.New(), ctx: ctx, loss: loss, random: rand.New(rand.NewPCG(1, 2)),
		nodes: make(map[machine.InstanceID]*node), partitionedZones: make(map[string]bool), digests: make(map[contract.Revision]string),
		network: peers.New(0),
	}
}

// add starts an instance; one with a known id is restarted without a configuration.
func (f *fleet) add(id, zone string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := machine.Member{ID: machine.InstanceID(id), Incarnation: machine.Incarnation(fmt.Sprint(id, f.random.Uint32())), Zone: zone}
	n := &node{fleet: f, self: self, counters: telemetry.New(), link: f.network.Node(id)}
	if f.linkMbps > 0 {
		f.network.SetBandwidth(id, f.linkMbps*1e6/8)
	}
	n.Replica = New(nodeStore{f.store, n}, slog.New(slog.NewTextHandler(io.Discard, nil)), WithCounters(n.counters))
	n.members, n.fetcher = n, n
	n.OnChange(n.checkInvariants)
	if f.nodes[self.ID] == nil {
		f.members = append(f.members, self)
	}
	f.nodes[self.ID] = n
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	go func() { _ = n.Run(ctx) }()
	go n.gossip(ctx)
	return n
}

// checkInvariants checks each snapshot that is put into force: it is valid, its revision is higher
// than the one before, and no other instance has had another document at this revision.
func (n *node) checkInvariants(snapshot *contract.Snapshot) {
	f := n.fleet
	record, _ := n.ActiveRecord()
	document, err := contract.Parse("in force", n.Document())
	if err == nil {
		_, err = contract.BuildAccepted(document, snapshot.Revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.violations = append(f.violations, fmt.Sprintf("%s: invalid snapshot %d: %v", n.self.ID, snapshot.Revision, err))
	}
	if snapshot.Revision <= n.highestRevision {
		f.violations = append(f.violations, fmt.Sprintf("%s: went from %d to %d", n.self.ID, n.highestRevision, snapshot.Revision))
	}
	n.highestRevision = snapshot.Revision
	if known, ok := f.digests[snapshot.Revision]; ok && known != record.Digest {
		f.violations = append(f.violations, fmt.Sprintf("%s: another document at revision %d", n.self.ID, snapshot.Revision))
	}
	f.digests[snapshot.Revision] = record.Digest
}

func (n *node) Self() machine.Member { return n.self }

// Live implements machine.Members from a list that keeps crashed instances.
func (n *node) Live() []machine.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return append([]machine.Member(nil), n.fleet.members...)
}

// reachablePeer returns a live peer, or nil if it is cut off or the message is lost.
func (n *node) reachablePeer(to machine.Member) *node {
	f := n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	other := f.nodes[to.ID]
	partitioned := to.Zone != n.self.Zone && (f.partitionedZones[to.Zone] || f.partitionedZones[n.self.Zone])
	if other == nil || other.stop == nil || partitioned || f.random.Float64() < f.loss {
		return nil
	}
	return other
}

func (n *node) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range n.targets() {
			if other := n.reachablePeer(member); other != nil && other != n && !n.muted() {
				if message := n.Message(member); message != nil {
					other.Receive(n.self, message)
				}
			}
		}
		sleep(ctx, time.Second)
	}
}

// targets returns all members or, in a large fleet, those that the exchange would reach in
// one round.
func (n *node) targets() []machine.Member {
	const fanout = 3
	live := n.Live()
	if n.fleet.fullMeshSize == 0 {
		return live
	}
	byZone := make(map[string][]machine.Member)
	for _, member := range live {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	var targets []machine.Member
	n.fleet.locked(func() {
		for zone, members := range byZone {
			switch {
			case zone == n.self.Zone && len(members) > n.fleet.fullMeshSize:
				for range fanout {
					targets = append(targets, members[n.fleet.random.IntN(len(members))])
				}
			case zone == n.self.Zone:
				targets = append(targets, members...)
			case byZone[n.self.Zone][len(zone)%len(byZone[n.self.Zone])].ID == n.self.ID: // the zone's relay
				targets = append(targets, members[n.fleet.random.IntN(len(members))])
			}
		}
	})
	return targets
}

func (n *node) muted() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.onlySender != "" && n.fleet.onlySender != n.self.ID
}

var errLost = errors.New("lost")

func (n *node) fetch(ctx context.Context, from machine.Member, known *activeConfig) (fetched, error) {
	other := n.reachablePeer(from)
	if other == nil {
		sleep(ctx, time.Hour)
		return fetched{}, errLost
	}
	reply, err := (&service{other.Replica}).FetchConfiguration(ctx, fetchRequest(known))
	if err != nil {
		return fetched{}, err
	}
	for _, link := range []*peers.Node{other.link, n.link} {
		if err := link.Transmit(ctx, len(reply.Record)+len(reply.Packed)+len(reply.Delta)); err != nil {
			return fetched{}, err
		}
	}
	n.fleet.locked(func() {
		if len(reply.Delta) > 0 {
			n.fleet.deltas++
		} else if len(reply.Packed) > 0 {
			n.fleet.fullDocuments++
		}
	})
	return fetchResult(reply, known)
}

// crash stops an instance; the member list keeps it.
func (f *fleet) crash(id machine.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[id]; n.stop != nil {
		n.stop()
		n.stop = nil
	}
}

// lagging returns the live instances that are not at the revision.
func (f *fleet) lagging(revision contract.Revision) (ids []machine.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.nodes {
		if n.stop != nil && n.current.Load().revision() != revision {
			ids = append(ids, id)
		}
	}
	return ids
}

// watcherOf returns the instance that is elected to watch the store for a zone.
func (f *fleet) watcherOf(zone string) *node {
	for _, n := range f.nodes {
		if n.self.Zone == zone && n.elected() {
			return n
		}
	}
	return nil
}

// nodeStore is the store as one instance reaches it.
type nodeStore struct {
	*kv.Store
	node *node
}

func (s nodeStore) Get(ctx context.Context, key string) (infra.Entry, error) {
	if s.node.hasUnreachableStore() {
		return infra.Entry{}, infra.ErrUnavailable
	}
	entry, err := s.Store.Get(ctx, key)
	return s.receive(ctx, entry, err)
}

// receive takes the time that an entry needs on the instance's link.
func (s nodeStore) receive(ctx context.Context, entry infra.Entry, err error) (infra.Entry, error) {
	if err == nil {
		err = s.node.link.Transmit(ctx, len(entry.Value)*4/3)
	}
	return entry, err
}

func (s nodeStore) Watch(ctx context.Context, key string, after infra.StoreVersion, wait time.Duration) (infra.Entry, error) {
	if s.node.hasUnreachableStore() {
		return infra.Entry{}, infra.ErrUnavailable
	}
	if s.node.hasSilentWatches() {
		<-ctx.Done()
		return infra.Entry{}, ctx.Err()
	}
	entry, err := s.Store.Watch(ctx, key, after, wait)
	return s.receive(ctx, entry, err)
}

func (n *node) hasUnreachableStore() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.storeUnreachable
}

func (n *node) hasSilentWatches() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.silentWatches
}

// locked runs change with the lock held.
func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// zonesDocument returns a document whose zones have the given regions.
func zonesDocument(regions ...int) []byte {
	var out []byte
	for i, region := range regions {
		out = fmt.Appendf(out, "[[zones]]\nname = \"z%d\"\nregion = \"r%d\"\n", i, region)
	}
	return out
}

func (f *fleet) proposer() *Proposer {
	return NewProposer(f.store, nil, telemetry.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}
