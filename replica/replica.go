// Package replica keeps an entry instance's copy of the operators' configuration in step with the
// platform's store and with its peers, and proposes changes to it. A copy only ever moves to a
// higher revision.
//
// One instance per zone, elected by rendezvous hashing, watches the store. All instances send their
// peers the revision that they have in force (link.Topic), and an instance that is behind fetches
// the document from a peer that is ahead.
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

// activeConfig is the configuration in force, in the forms that peers fetch. It is immutable.
type activeConfig struct {
	snapshot *contract.Snapshot
	record   Record
	packed   []byte // the document, compressed
	// delta is the document compressed against the one with the digest deltaFrom; empty for none.
	delta     []byte
	deltaFrom string
}

func (c *activeConfig) revision() contract.Revision {
	if c == nil {
		return 0
	}
	return c.record.Revision
}

// Replica holds the configuration in force at one entry instance.
type Replica struct {
	store    infra.Store
	log      *slog.Logger
	settings Settings
	counters *telemetry.Counters
	members  machine.Members
	fetcher  fetcher

	current   atomic.Pointer[activeConfig]
	lastAlarm atomic.Int64 // Unix nanoseconds of the last logged alarm
	synced    atomic.Bool  // the store, or all reachable peers, have been asked once
	// headTrusted reports whether the head last read from the store was consistent with the
	// configuration in force.
	headTrusted atomic.Bool

	mu        sync.Mutex // serializes changes of current and the calls of listeners
	listeners []func(*contract.Snapshot)

	peers       peerTable
	fetchSignal chan struct{} // wakes the fetch loop; capacity 1
}

var _ contract.Source = (*Replica)(nil)

// Option configures a replica.
type Option func(*Replica)

// WithSettings replaces the default settings.
func WithSettings(settings Settings) Option { return func(r *Replica) { r.settings = settings } }

// WithCounters sets where the replica counts its reads, alarms and applied changes.
func WithCounters(counters *telemetry.Counters) Option {
	return func(r *Replica) { r.counters = counters }
}

// WithPeers makes the replica exchange configurations with other entry instances. Without it the
// replica reads the store only.
func WithPeers(members machine.Members, peers link.Peers) Option {
	return func(r *Replica) {
		r.members = members
		r.fetcher = &peerFetcher{peers: peers}
	}
}

// New returns a replica without configuration.
func New(store infra.Store, log *slog.Logger, options ...Option) *Replica {
	r := &Replica{
		store:       store,
		log:         log,
		settings:    DefaultSettings(),
		counters:    telemetry.New(),
		members:     singleMember{},
		fetchSignal: make(chan struct{}, 1),
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
	if active := r.current.Load(); active != nil {
		return active.snapshot
	}
	return nil
}

// ActiveRecord returns the record of the change in force; false before the first one.
func (r *Replica) ActiveRecord() (Record, bool) {
	active := r.current.Load()
	if active == nil {
		return Record{}, false
	}
	return active.record, true
}

// Document returns the TOML document in force, or nil if there is none.
func (r *Replica) Document() []byte {
	active := r.current.Load()
	if active == nil {
		return nil
	}
	document, err := unpack(active.packed, active.record.Digest)
	if err != nil {
		return nil // not expected: the document was checked when it was put into force
	}
	return document
}

// OnChange registers a function that is called with each new snapshot, in order of revision. Calls
// are serialized; f must not call OnChange.
func (r *Replica) OnChange(f func(*contract.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
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
	group.Go(func() error { return r.initialSync(ctx) })
	group.Go(func() error { return r.fetchLoop(ctx) })
	group.Go(func() error { return r.sweepLoop(ctx) })
	return group.Wait()
}

// applyIfNewer puts a change into force if its revision is higher than the one in force, and
// otherwise returns nil. source is the change's origin, for the log and the counters.
func (r *Replica) applyIfNewer(record Record, payload payload, source string) error {
	if r.compareToCurrent(record.Revision, record.Digest) != newer {
		return nil
	}
	data, packed, err := r.current.Load().decode(payload, record.Digest)
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
	r.current.Store(&activeConfig{snapshot: snapshot, record: record, packed: packed, delta: payload.delta, deltaFrom: payload.deltaFrom})
	r.peers.recordApplied(time.Now())
	r.counters.Add("plumbarrow_configuration_applied_total", "source", source)
	r.log.Info("configuration in force", "revision", record.Revision, "change_id", record.ChangeID, "author", record.Author, "source", source)
	for _, f := range r.listeners {
		f(snapshot)
	}
	return nil
}

// Sources of a change.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// singleMember is the membership of a replica without peers: this instance alone.
type singleMember struct{}

func (singleMember) Self() machine.Member   { return machine.Member{} }
func (singleMember) Live() []machine.Member { return []machine.Member{{}} }

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
