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
	// LeaseKey is the lease of the driver of all roll-outs.
	LeaseKey = "plumbarrow/rollout-driver"

	driverInterval = 5 * time.Second
	// leaseMargin is how long before the lease's end its holder stops acting.
	leaseMargin = time.Second
)

// Driver moves roll-outs along while it holds the fleet's lease: it orders engines to load the
// version, sets the stage's weights, waits for enough evidence, and undoes a roll-out that failed.
// Everything it needs is in the records, so any instance goes on where another stopped. Only the
// first live member of each zone tries for the lease, and only while a record is unfinished.
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

	tenure tenure
}

// tenure is one unbroken hold of the lease.
type tenure struct {
	lease infra.Lease
	since time.Time
	loads *rate.Limiter
}

// Parts are what a driver works with.
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

// Run drives roll-outs until ctx ends, and then gives the lease up.
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
				d.log.Warn("roll-outs not moved along", "error", err)
			}
		}
	}
}

func (d *Driver) release() {
	if d.tenure.lease.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	_ = d.store.Release(ctx, d.tenure.lease)
}

// round moves each unfinished roll-out one step along, if this instance holds the lease.
func (d *Driver) round(ctx context.Context) error {
	if !d.candidate() || d.source.Current() == nil {
		return nil
	}
	all, err := d.records.list(ctx)
	if err != nil {
		return err
	}
	all = slices.DeleteFunc(all, func(r stored) bool { return r.finished() })
	if len(all) == 0 {
		return nil
	}
	held, err := d.hold(ctx)
	if err != nil || !held {
		return err
	}
	// The holder's own clock ends its work before the store can give the lease to another one.
	ctx, cancel := context.WithDeadline(ctx, d.tenure.lease.Expires.Add(-leaseMargin))
	defer cancel()
	var failures []error
	for i := range all {
		if err := d.advance(ctx, &all[i]); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", all[i].ID, err))
		}
	}
	return errors.Join(failures...)
}

// candidate says whether this instance is the first live member of its zone.
func (d *Driver) candidate() bool {
	self := d.members.Self()
	for _, member := range d.members.Live() {
		if member.Zone == self.Zone && member.ID < self.ID {
			return false
		}
	}
	return true
}

// hold takes or renews the lease. A new tenure starts with an empty budget of loads, since the last
// holder may just have used it up.
func (d *Driver) hold(ctx context.Context) (held bool, err error) {
	owner := string(d.members.Self().Incarnation)
	lease, err := d.store.Acquire(ctx, LeaseKey, owner, d.settings.lease())
	if errors.Is(err, infra.ErrLeaseLost) {
		d.tenure = tenure{}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if lease.Fence != d.tenure.lease.Fence {
		perLoad := time.Minute / time.Duration(d.settings.LoadsPerMinute)
		d.tenure = tenure{since: time.Now(), loads: rate.NewLimiter(rate.Every(perLoad), 1)}
		d.tenure.loads.Allow()
	}
	d.tenure.lease = lease
	return true, nil
}
