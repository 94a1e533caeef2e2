package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	// LeaseKey is the key of the lease that the driver of all roll-outs holds.
	LeaseKey = "plumbarrow/rollout-driver"

	driverInterval = 5 * time.Second
	// leaseMargin is how long before the end of the lease its holder stops acting.
	leaseMargin = time.Second
)

// Driver advances roll-outs while it holds the fleet's lease: it orders engines to load the
// version, sets the stage's weights, waits for enough evidence, and rolls back a roll-out that
// failed or was aborted. Its whole state is in the records, so any instance can continue where
// another stopped. Only the first live member of each zone tries to acquire the lease, and only
// while a record is unfinished.
type Driver struct {
	settings Settings
	store    infra.Store
	records  *Records
	evidence *Evidence
	source   contract.Source
	members  machine.Members
	proposer Proposer
	orderer  Orderer
	counters *telemetry.Counters
	log      *slog.Logger

	term leaseTerm
}

// leaseTerm is one uninterrupted hold of the lease.
type leaseTerm struct {
	lease infra.Lease
	since time.Time
	loads *rate.Limiter // budget of load orders
}

// Parts are the dependencies of a Driver.
type Parts struct {
	Store    infra.Store
	Evidence *Evidence
	// Source gives the accepted configuration, without local restrictions.
	Source   contract.Source
	Members  machine.Members
	Proposer Proposer
	Orderer  Orderer
	Counters *telemetry.Counters
	Log      *slog.Logger
}

// NewDriver returns a driver that holds no lease.
func NewDriver(settings Settings, parts Parts) *Driver {
	return &Driver{
		settings: settings,
		store:    parts.Store,
		records:  NewRecords(parts.Store),
		evidence: parts.Evidence,
		source:   parts.Source,
		members:  parts.Members,
		proposer: parts.Proposer,
		orderer:  parts.Orderer,
		counters: parts.Counters,
		log:      parts.Log,
	}
}

// Run drives roll-outs until ctx ends, and then releases the lease.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(driverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.release()
			return nil
		case <-ticker.C:
			if err := d.round(ctx); err != nil && ctx.Err() == nil {
				d.counters.Inc("plumbarrow_rollout_round_failures_total")
				d.log.Warn("roll-out round failed", "error", err)
			}
		}
	}
}

func (d *Driver) release() {
	if d.term.lease.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	_ = d.store.Release(ctx, d.term.lease)
}

// round advances each unfinished roll-out by one step, if this instance holds the lease.
func (d *Driver) round(ctx context.Context) error {
	if !d.isCandidate() || d.source.Current() == nil {
		return nil
	}
	all, err := d.records.list(ctx)
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(r storedRecord) bool { return r.finished() })
	if len(all) == 0 {
		return nil
	}
	held, err := d.acquireLease(ctx)
	if err != nil || !held {
		return err
	}
	// The holder stops by its own clock before the store can grant the lease to another one.
	ctx, cancel := context.WithDeadline(ctx, d.term.lease.Expires.Add(-leaseMargin))
	defer cancel()
	var failures []error
	for i := range all {
		if err := d.advance(ctx, &all[i]); err != nil {
			failures = append(failures, fmt.Errorf("roll-out %s: %w", all[i].ID, err))
		}
	}
	return errors.Join(failures...)
}

// isCandidate reports whether this instance is the first live member of its zone.
func (d *Driver) isCandidate() bool {
	self := d.members.Self()
	for _, member := range d.members.Live() {
		if member.Zone == self.Zone && member.ID < self.ID {
			return false
		}
	}
	return true
}

// acquireLease acquires or renews the lease. A new term starts with an empty load budget, since the
// last holder may just have used it up.
func (d *Driver) acquireLease(ctx context.Context) (held bool, err error) {
	owner := string(d.members.Self().Incarnation)
	lease, err := d.store.Acquire(ctx, LeaseKey, owner, d.settings.leaseTTL())
	if errors.Is(err, infra.ErrLeaseLost) {
		d.term = leaseTerm{}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if lease.Fence != d.term.lease.Fence {
		perLoad := time.Minute / time.Duration(d.settings.LoadsPerMinute)
		d.term = leaseTerm{since: time.Now(), loads: rate.NewLimiter(rate.Every(perLoad), 1)}
		d.term.loads.Allow()
	}
	d.term.lease = lease
	return true, nil
}
