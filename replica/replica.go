// Package replica keeps an entry instance's copy of the operators' configuration in step with the
// platform's store and with its peers, and proposes changes to it. A copy only ever moves to a
// higher revision.
//
// One instance a zone watches the store. It and all others tell their peers which revision they
// have in force (link.Topic), and whoever is behind fetches the document from a peer that is ahead.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// inForce is the configuration in force with what peers need of it. It is immutable.
type inForce struct {
	snapshot *contract.Snapshot
	record   Record
	packed   []byte // the document, compressed
	// delta is the document compressed against the one with the digest deltaFrom; may be empty.
	delta     []byte
	deltaFrom string
}

func (f *inForce) revision() contract.Revision {
	if f == nil {
		return 0
	}
	return f.record.Revision
}

// Replica is the configuration in force at one entry instance.
type Replica struct {
	store    infra.Store
	log      *slog.Logger
	settings Settings
	counters *telemetry.Counters
	members  machine.Members
	fetcher  fetcher

	current atomic.Pointer[inForce]
	alarmed atomic.Int64 // Unix nanoseconds of the last logged alarm
	synced  atomic.Bool  // has asked the store or all reachable peers once
	// headTrusted says that the head last read from the store did not contradict what is in force.
	headTrusted atomic.Bool

	mu      sync.Mutex // serializes changes of current and the calls of changed
	changed []func(*contract.Snapshot)

	peers  peerTable
	behind chan struct{} // signals the fetch loop
}

var _ contract.Source = (*Replica)(nil)

// Option configures a replica.
type Option func(*Replica)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option { return func(r *Replica) { r.settings = settings } }

// WithCounters counts what the replica does.
func WithCounters(counters *telemetry.Counters) Option {
	return func(r *Replica) { r.counters = counters }
}

// WithPeers makes the replica exchange configurations with other entry instances. Without it the
// replica follows the store alone.
func WithPeers(members machine.Members, peers link.Peers) Option {
	return func(r *Replica) {
		r.members = members
		r.fetcher = &peerFetcher{peers: peers}
	}
}

// New returns a replica without configuration.
func New(store infra.Store, log *slog.Logger, options ...Option) *Replica {
	r := &Replica{
		store:    store,
		log:      log,
		settings: DefaultSettings(),
		counters: telemetry.New(),
		members:  alone{},
		behind:   make(chan struct{}, 1),
	}
	for _, option := range options {
		option(r)
	}
	r.peers.init()
	r.counters.Gauge("plumbarrow_configuration_revision", func() float64 { return float64(r.current.Load().revision()) })
	return r
}

// Current implements contract.Source.
func (r *Replica) Current() *contract.Snapshot {
	if force := r.current.Load(); force != nil {
		return force.snapshot
	}
	return nil
}

// InForce returns the change in force; false before the first one.
func (r *Replica) InForce() (Record, bool) {
	force := r.current.Load()
	if force == nil {
		return Record{}, false
	}
	return force.record, true
}

// Document returns the TOML in force, or nil.
func (r *Replica) Document() []byte {
	force := r.current.Load()
	if force == nil {
		return nil
	}
	document, err := unpack(force.packed, force.record.Digest)
	if err != nil {
		return nil // it was unpacked before it was put into force
	}
	return document
}

// OnChange registers a function that is called with each new snapshot, in order.
func (r *Replica) OnChange(f func(*contract.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, f)
}

// Errors of Ready.
var (
	errNoConfiguration = errors.New("no configuration yet")
	errNotSynced       = errors.New("neither the store nor all reachable peers have answered yet")
)

// Ready returns nil once the replica has a configuration, and has asked either the store or, with
// the store down, all reachable peers for a newer one.
func (r *Replica) Ready() error {
	switch {
	case r.current.Load() == nil:
		return errNoConfiguration
	case !r.synced.Load():
		return errNotSynced
	}
	return nil
}

// Run follows the store's head and the peers until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.start(ctx) })
	group.Go(func() error { return r.fetchLoop(ctx) })
	group.Go(func() error { return r.sweepLoop(ctx) })
	return group.Wait()
}

// offer puts a change into force if its revision is higher than the one in force. source names
// where it came from, for the log.
func (r *Replica) offer(record Record, payload payload, source string) error {
	if r.compare(record.Revision, record.Digest) != newer {
		return nil
	}
	data, packed, err := r.current.Load().open(payload, record.Digest)
	if err != nil {
		return err
	}
	document, err := contract.Parse("configuration", data)
	if err != nil {
		return err
	}
	snapshot, err := contract.BuildAccepted(document, record.Revision)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.Revision <= r.current.Load().revision() {
		return nil
	}
	r.current.Store(&inForce{snapshot: snapshot, record: record, packed: packed, delta: payload.delta, deltaFrom: payload.deltaFrom})
	r.peers.applied(time.Now())
	r.counters.Add("plumbarrow_configuration_applied_total", "source", source)
	r.log.Info("configuration in force", "revision", record.Revision, "change_id", record.ChangeID, "author", record.Author, "source", source)
	for _, f := range r.changed {
		f(snapshot)
	}
	return nil
}

// Sources of a change.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// alone is the membership of a replica without peers.
type alone struct{}

func (alone) Self() machine.Member   { return machine.Member{} }
func (alone) Live() []machine.Member { return []machine.Member{{}} }

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
