package canary

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

// DriverKey is the key of the document that the driver keeps under its lease. Its revision is the fencing token of
// the driver's writes.
const DriverKey = "plumbarrow/driver"

const (
	// driverTTL is the TTL of the driver's lease, and so how long a crashed driver delays roll-outs. The lease is
	// renewed three times in that time.
	driverTTL     = 3 * time.Second
	driverRenewal = time.Second
	// driverPeriod is the interval at which the driver checks its roll-outs.
	driverPeriod = 200 * time.Millisecond
	// driverTimeout bounds one call to the store.
	driverTimeout = time.Second
	// acquireInterval is the time between the attempts of two instances to take the free lease: a write, and the
	// time until the other instances know of it. Instances of a higher rank than maxAcquireRank try at random times, over
	// acquireSpread for each of them.
	acquireInterval = 300 * time.Millisecond
	maxAcquireRank  = 5
	acquireSpread   = 20 * time.Millisecond
)

// Publisher encodes the public status of a roll-out in the platform's format.
type Publisher interface {
	// Status returns the document for the operators.
	Status(order Order, state State) mirror.Put
	// OrderKey returns the key of the order's document.
	OrderKey(service string) string
}

// Documents is the part of a mirror that the driver reads.
type Documents interface {
	Get(key string) (document mirror.Document, ok bool)
	Era() uint64
}

var _ Documents = (*mirror.Mirror)(nil)

// Driver advances roll-outs while this instance holds the driver's lease. Every write is conditional on the
// revisions of the lease's document and of the order, so that a driver that was paused cannot overwrite the writes
// of its successor.
type Driver struct {
	rollouts  *Rollouts
	documents Documents
	writer    mirror.Writer
	publisher Publisher
	members   machine.Members
	log       *slog.Logger

	lease              mirror.Lease
	leaseRevision      uint64    // store revision of the document at DriverKey, the fencing token; 0 without the lease
	renewed            time.Time // when the lease was granted or last renewed
	backoffUntil       time.Time // no calls to the store before this time
	acquireScheduledAt time.Time // when an attempt to take the free lease was scheduled; zero if none is pending
}

// NewDriver returns the driver of an instance. It does nothing until Run is called.
func NewDriver(rollouts *Rollouts, documents Documents, writer mirror.Writer, publisher Publisher, members machine.Members, log *slog.Logger) *Driver {
	return &Driver{rollouts: rollouts, documents: documents, writer: writer, publisher: publisher, members: members, log: log}
}

// Run advances roll-outs until ctx ends, then releases the lease.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(driverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.tick(ctx)
		case <-ctx.Done():
			if d.leaseRevision != 0 {
				d.release(context.WithoutCancel(ctx))
			}
			return nil
		}
	}
}

func (d *Driver) tick(ctx context.Context) {
	now := time.Now()
	due, lost := d.rollouts.due(now), d.rollouts.lostReverted()
	if now.Before(d.backoffUntil) {
		return
	}
	pending := len(due) > 0 || len(lost) > 0
	if d.leaseRevision != 0 && d.lease.Era != d.documents.Era() {
		d.log.Warn("driver's lease lost with the store's era", "lease", d.lease.ID, "era", d.lease.Era)
		d.leaseRevision = 0
	}
	ctx, cancel := context.WithTimeout(ctx, driverTimeout)
	defer cancel()
	switch {
	case d.leaseRevision != 0 && !pending && d.rollouts.idle():
		d.release(ctx)
	case d.leaseRevision != 0 && now.Sub(d.renewed) >= driverRenewal:
		d.renew(ctx, now)
	case d.leaseRevision == 0 && pending:
		d.acquire(ctx, now)
	}
	if d.leaseRevision == 0 {
		return
	}
	for _, next := range due {
		d.advance(ctx, next)
	}
	if len(lost) > 0 {
		d.restoreReverted(ctx, lost)
	}
}

// restoreReverted writes documents of reverted versions that the store has lost.
func (d *Driver) restoreReverted(ctx context.Context, puts []mirror.Put) {
	_, err := d.writer.Write(ctx, &mirror.Write{
		Conditions: []mirror.Condition{{Key: DriverKey, Revision: d.leaseRevision}}, Puts: puts, Era: d.lease.Era,
	})
	if err != nil {
		d.backOff("writing reverted versions failed", err)
		return
	}
	d.log.Info("reverted versions written again", "documents", len(puts))
}

// acquire takes the lease unless another instance holds it. The first call only schedules the attempt. A document of this instance itself,
// which holds no lease, is replaced: a restored store may have it without its lease.
func (d *Driver) acquire(ctx context.Context, now time.Time) {
	era, replaced := d.documents.Era(), uint64(0)
	document, held := d.documents.Get(DriverKey)
	if held && (era == 0 || string(document.Value) != string(d.members.Self().ID)) {
		d.acquireScheduledAt = time.Time{}
		return
	}
	if held {
		replaced = document.Revision
	}
	if d.acquireScheduledAt.IsZero() {
		d.acquireScheduledAt = now
		d.backoffUntil = now.Add(d.acquireDelay())
		return
	}
	d.acquireScheduledAt = time.Time{}
	lease, err := d.writer.Grant(ctx, driverTTL)
	if err != nil {
		d.backOff("granting the driver's lease failed", err)
		return
	}
	revision, err := d.writer.Write(ctx, &mirror.Write{
		Conditions: []mirror.Condition{{Key: DriverKey, Revision: replaced}},
		Puts:       []mirror.Put{{Key: DriverKey, Value: []byte(d.members.Self().ID), Lease: lease}},
		Era:        era,
	})
	if err != nil {
		d.backOff("writing the driver's lease document failed", err)
		return
	}
	d.lease, d.leaseRevision, d.renewed = lease, revision, now
	d.log.Info("driver's lease acquired", "lease", lease.ID, "revision", revision)
}

// acquireDelay returns how long this instance waits before it tries to take the free lease. All instances receive an
// order at about the same time, so they try one after the other, in an order that they agree on.
func (d *Driver) acquireDelay() time.Duration {
	rank := machine.Rank(DriverKey, d.members)
	turn := min(rank, maxAcquireRank)
	jitter := driverPeriod + time.Duration(rank-turn)*acquireSpread
	return time.Duration(turn)*acquireInterval + time.Duration(rand.Int64N(int64(jitter)))
}

// renew extends the lease. A failed renewal gives up the lease only if the store no longer has it or its TTL has
// passed.
func (d *Driver) renew(ctx context.Context, now time.Time) {
	err := d.writer.Renew(ctx, d.lease)
	if err == nil {
		d.renewed = now
		return
	}
	if errors.Is(err, mirror.ErrNoLease) || now.Sub(d.renewed) > driverTTL {
		d.log.Warn("driver's lease lost", "lease", d.lease.ID, "error", err)
		d.leaseRevision = 0
	}
}

func (d *Driver) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, driverTimeout)
	defer cancel()
	if err := d.writer.End(ctx, d.lease); err != nil {
		d.log.Warn("releasing the driver's lease failed", "lease", d.lease.ID, "error", err)
	}
	d.leaseRevision = 0
}

// backOff logs a failed call to the store and pauses the driver for a random time.
func (d *Driver) backOff(what string, err error) {
	d.backoffUntil = time.Now().Add(driverPeriod + time.Duration(rand.Int64N(int64(2*driverPeriod))))
	d.log.Info(what, "error", err)
}

// advance writes a roll-out's next stage and its public status.
func (d *Driver) advance(ctx context.Context, next transition) {
	if next.order.Era != d.lease.Era {
		return // the restored store does not have the order yet
	}
	value, err := json.Marshal(next.stage)
	if err != nil {
		d.log.Error("encoding stage failed", "service", next.order.Service, "error", err)
		return
	}
	key := StagePrefix + next.order.Service
	puts := []mirror.Put{{Key: key, Value: value}, d.publisher.Status(next.order, next.stage.State)}
	if put, ok := d.rollouts.revertedAfter(next); ok {
		puts = append(puts, put)
	}
	_, err = d.writer.Write(ctx, &mirror.Write{
		Conditions: []mirror.Condition{
			{Key: DriverKey, Revision: d.leaseRevision},
			{Key: d.publisher.OrderKey(next.order.Service), Revision: next.order.Revision},
			{Key: key, Revision: next.stageRevision},
		},
		Puts: puts,
		Era:  d.lease.Era,
	})
	if err != nil {
		d.backOff("writing a stage failed", fmt.Errorf("service %s: %w", next.order.Service, err))
		if errors.Is(err, mirror.ErrConflict) {
			// Either another instance holds the lease or the local copy of the store lags behind.
			if document, ok := d.documents.Get(DriverKey); !ok || document.Revision != d.leaseRevision {
				d.leaseRevision = 0
			}
		}
		return
	}
	d.log.Info("stage written", "service", next.order.Service, "target", next.order.Target, "state", string(next.stage.State), "share", next.stage.Share)
}

// transition is a roll-out's next stage, to be written to the store.
type transition struct {
	order         Order
	stage         Stage
	stageRevision uint64 // store revision of the stage's document that is replaced; 0 if there is none
}

// due returns the stage transitions that should be written now.
func (r *Rollouts) due(now time.Time) []transition {
	r.mu.Lock()
	defer r.mu.Unlock()
	var transitions []transition
	for service, ro := range r.byService {
		stored := r.stages[service]
		if stored.revision != 0 && stored.era != ro.order.Era {
			continue // the store was restored; either the order or the stage is not known as it is now
		}
		if stage, ok := ro.next(now, r.exposure); ok {
			transitions = append(transitions, transition{order: ro.order, stage: stage, stageRevision: stored.revision})
		}
	}
	return transitions
}

// idle reports whether no roll-out is in progress.
func (r *Rollouts) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ro := range r.byService {
		if !ro.ended() {
			return false
		}
	}
	return true
}
