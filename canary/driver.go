package canary

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

// DriverKey is the document that the driver holds under its lease.
const DriverKey = "plumbarrow/driver"

const (
	// driverTTL is how long a driver that is gone holds up roll-outs; it is renewed three times in
	// that time.
	driverTTL     = 3 * time.Second
	driverRenewal = time.Second
	// driverPeriod is how often the driver looks at its roll-outs.
	driverPeriod = 200 * time.Millisecond
	// driverTimeout bounds one call to the store.
	driverTimeout = time.Second
)

// A roll-out leaves all sessions on the old version in the first half of its time: a session may only move
// in the second, and its requests come to any instance. Then the new version gets a small share, in which
// the evidence against a bad one comes together, a larger one on few endpoints, and at last everything.
// Ages are parts of the roll-out's duration.
const (
	// canaryAt is the age at which the new version gets its first share, canaryPart of the allowed exposure:
	// for three tenths of the time that is less than a fifth of all that is allowed.
	canaryAt   = 0.5
	canaryPart = 0.6
	// stressAt is the age at which it gets stressShare of the requests, on half as large a part of its
	// endpoints: each of them then bears about twice its usual load, under which faults show that a small
	// share hides. A tenth of the time is the least in which roll-outs of some ten seconds show them.
	stressAt    = 0.8
	stressShare = 0.2
	// stressPeriod is the time in which requests without a session make up that share in one piece, all of
	// them together: spread evenly, they would leave endpoints with few slots idle.
	stressPeriod = 1500 * time.Millisecond
	// exposureUse is the part of the allowed exposure that is planned for; repeats of requests and uneven traffic
	// take the rest.
	exposureUse = 0.93
	// fullFrom is the earliest age at which it gets everything, fullBy the latest: beyond it no time would
	// be left to complete. Where the allowed exposure asks for a later one, the evidence alone protects.
	fullFrom = 0.85
	fullBy   = 0.94
	// completeFrom is the earliest age at which the old version is given up. What is left is for a store
	// that is slow or away for a moment.
	completeFrom = 0.9
)

// Times for which a share is held at least, also by a driver that comes late: those in which a service of
// some requests a second answers enough of them, and in which work at the old version ends.
const (
	canaryHold = 1500 * time.Millisecond
	stressHold = 1200 * time.Millisecond
	fullHold   = 550 * time.Millisecond
)

// fullAt is the age at which a new version gets everything, so that one whose faults do not show has got no
// more than the allowed share of all requests at the end of the duration, if they come evenly.
func fullAt(exposure float64) float64 {
	canary := firstShare(exposure) * (stressAt - canaryAt)
	// canary + stressShare*(at-stressAt) + (1-at) = exposureUse*exposure
	at := (1 - exposureUse*exposure + canary - stressShare*stressAt) / (1 - stressShare)
	return min(max(at, fullFrom), fullBy)
}

// firstShare is the first share of a new version. It stays below that under stress, so that shares grow.
func firstShare(exposure float64) float64 { return min(canaryPart*exposure, stressShare/2) }

// Publisher writes the public status of a roll-out in the platform's form.
type Publisher interface {
	// Status returns the document for the operators.
	Status(order Order, state State) mirror.Put
	// OrderKey is the key of the order's document.
	OrderKey(service string) string
}

// Documents is the part of a mirror that the driver reads.
type Documents interface {
	Get(key string) (document mirror.Document, ok bool)
}

var _ Documents = (*mirror.Mirror)(nil)

// Driver moves roll-outs on while this instance holds the driver's lease. Every write depends on the
// lease's document and on the order's, so that a driver that was paused cannot write over its
// successor.
type Driver struct {
	rollouts  *Rollouts
	documents Documents
	writer    mirror.Writer
	publisher Publisher
	self      machine.InstanceID
	log       *slog.Logger

	lease    uint64
	holds    uint64 // revision of the driver's document; 0 without the lease
	renewed  time.Time
	backoff  time.Time // no call before
	firstTry time.Time // when a free lease was first seen
}

// NewDriver returns the driver of an instance. Its Run must be running.
func NewDriver(rollouts *Rollouts, documents Documents, writer mirror.Writer, publisher Publisher, self machine.InstanceID, log *slog.Logger) *Driver {
	return &Driver{rollouts: rollouts, documents: documents, writer: writer, publisher: publisher, self: self, log: log}
}

// Run drives until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(driverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.tick(ctx)
		case <-ctx.Done():
			if d.holds != 0 {
				d.release(context.WithoutCancel(ctx))
			}
			return nil
		}
	}
}

func (d *Driver) tick(ctx context.Context) {
	now := time.Now()
	due := d.rollouts.due(now)
	if now.Before(d.backoff) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, driverTimeout)
	defer cancel()
	switch {
	case d.holds != 0 && d.rollouts.idle():
		d.release(ctx)
	case d.holds != 0 && now.Sub(d.renewed) >= driverRenewal:
		d.renew(ctx, now)
	case d.holds == 0 && len(due) > 0:
		d.acquire(ctx, now)
	}
	if d.holds == 0 {
		return
	}
	for _, move := range due {
		d.advance(ctx, move)
	}
}

// acquire takes the lease unless another instance holds it.
func (d *Driver) acquire(ctx context.Context, now time.Time) {
	if _, held := d.documents.Get(DriverKey); held {
		return
	}
	if d.firstTry.IsZero() {
		// Instances that see the order at the same moment spread their tries.
		d.firstTry = now
		d.backoff = now.Add(time.Duration(rand.Int64N(int64(driverPeriod))))
		return
	}
	d.firstTry = time.Time{}
	lease, err := d.writer.Grant(ctx, driverTTL)
	if err != nil {
		d.failed("driver's lease not granted", err)
		return
	}
	revision, err := d.writer.Write(ctx, &mirror.Write{
		Conditions: []mirror.Condition{{Key: DriverKey}},
		Puts:       []mirror.Put{{Key: DriverKey, Value: []byte(d.self), Lease: lease}},
	})
	if err != nil {
		d.failed("driver's lease not taken", err)
		return
	}
	d.lease, d.holds, d.renewed = lease, revision, now
	d.log.Info("driver's lease taken", "lease", lease, "revision", revision)
}

func (d *Driver) renew(ctx context.Context, now time.Time) {
	err := d.writer.Renew(ctx, d.lease)
	if err == nil {
		d.renewed = now
		return
	}
	if errors.Is(err, mirror.ErrNoLease) || now.Sub(d.renewed) > driverTTL {
		d.log.Warn("driver's lease lost", "lease", d.lease, "error", err)
		d.holds = 0
	}
}

func (d *Driver) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, driverTimeout)
	defer cancel()
	if err := d.writer.End(ctx, d.lease); err != nil {
		d.log.Warn("driver's lease not ended", "lease", d.lease, "error", err)
	}
	d.holds = 0
}

// failed pauses the driver after a failed call.
func (d *Driver) failed(what string, err error) {
	d.backoff = time.Now().Add(driverPeriod + time.Duration(rand.Int64N(int64(2*driverPeriod))))
	d.log.Info(what, "error", err)
}

// advance writes a roll-out's next stage and its public status.
func (d *Driver) advance(ctx context.Context, next move) {
	value, err := json.Marshal(next.stage)
	if err != nil {
		d.log.Error("stage not encoded", "error", err)
		return
	}
	key := StagePrefix + next.order.Service
	_, err = d.writer.Write(ctx, &mirror.Write{
		Conditions: []mirror.Condition{
			{Key: DriverKey, Revision: d.holds},
			{Key: d.publisher.OrderKey(next.order.Service), Revision: next.order.Revision},
			{Key: key, Revision: next.revision},
		},
		Puts: []mirror.Put{{Key: key, Value: value}, d.publisher.Status(next.order, next.stage.State)},
	})
	if err != nil {
		d.failed("stage not written", err)
		if errors.Is(err, mirror.ErrConflict) {
			// Either the lease has a new holder or the copy lags behind.
			if held, ok := d.documents.Get(DriverKey); !ok || held.Revision != d.holds {
				d.holds = 0
			}
		}
		return
	}
	d.log.Info("stage written", "service", next.order.Service, "target", next.order.Target, "state", string(next.stage.State), "share", next.stage.Share)
}

// move is a roll-out's next stage.
type move struct {
	order    Order
	stage    Stage
	revision uint64 // of the stage's document that it replaces
}

// due returns the stages that should be written now.
func (r *Rollouts) due(now time.Time) []move {
	r.mu.Lock()
	defer r.mu.Unlock()
	var moves []move
	for _, one := range r.byService {
		if stage, ok := one.next(now, r.exposure); ok {
			moves = append(moves, move{order: one.order, stage: stage, revision: one.revision})
		}
	}
	return moves
}

// idle says whether no roll-out is under way.
func (r *Rollouts) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.byService {
		if one.stage.State != Completed && one.stage.State != Reverted {
			return false
		}
	}
	return true
}

// next is the stage that follows from the roll-out's age and evidence under an allowed exposure; ok is
// false if that is the one in force.
func (one *rollout) next(now time.Time, exposure float64) (stage Stage, ok bool) {
	if one.stage.State == Completed || one.stage.State == Reverted {
		return Stage{}, false
	}
	elapsed := one.elapsed(now)
	stage = Stage{Order: one.order.Revision, State: Running, Share: one.stage.Share, ElapsedMS: elapsed.Milliseconds()}
	age := float64(elapsed) / float64(max(one.order.Duration, 1))
	held := now.Sub(one.stageAt)
	switch {
	case one.distrust:
		stage.State, stage.Share = Reverted, 0
	case one.stage.Share == 0:
		if age >= canaryAt {
			stage.Share = firstShare(exposure)
		}
	case one.stage.Share < stressShare:
		if age >= stressAt && held >= canaryHold {
			stage.Share = stressShare
		}
	case one.stage.Share < 1:
		if age >= fullAt(exposure) && held >= stressHold {
			stage.Share = 1
		}
	case age >= completeFrom && held >= fullHold:
		stage.State = Completed
	}
	changed := stage.State != one.stage.State || stage.Share != one.stage.Share
	return stage, changed
}
