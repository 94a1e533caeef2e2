package rollout

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

// advance moves one roll-out a step along.
func (d *Driver) advance(ctx context.Context, record *stored) error {
	if record.Fence > d.tenure.lease.Fence {
		return ErrSuperseded
	}
	if record.State == Running && Withdrawn(d.source.Current(), record.Version) {
		record.State = Failed
		d.log.Warn("roll-out failed: its version was withdrawn", "rollout", record.ID, "version", record.Version)
		return d.save(ctx, record)
	}
	if record.State != Running {
		return d.rollBack(ctx, record)
	}
	stage := record.Stages[record.Current]
	if record.Since.IsZero() {
		return d.enter(ctx, record, stage)
	}
	if !d.passed(record, stage) {
		return nil
	}
	if record.Current == len(record.Stages)-1 {
		record.State = Done
		d.log.Info("roll-out done", "rollout", record.ID, "version", record.Version)
		return d.save(ctx, record)
	}
	record.Current++
	record.Since = time.Time{}
	return d.save(ctx, record)
}

// enter loads the stage's share of engines, then puts its weights into force.
func (d *Driver) enter(ctx context.Context, record *stored, stage Stage) error {
	ready, err := d.load(ctx, record, stage.Share)
	if err != nil || !ready {
		return err
	}
	id := fmt.Sprintf("%s-stage-%d-%d", record.ID, record.Current, record.version)
	if err := d.proposer.Propose(ctx, id, Weigh(shares(record, stage.Share))); err != nil {
		return err
	}
	record.Since = time.Now()
	d.log.Info("roll-out stage entered", "rollout", record.ID, "stage", record.Current+1, "share", stage.Share)
	return d.save(ctx, record)
}

func shares(record *stored, share float64) []VersionWeight {
	return []VersionWeight{{record.Version, share}, {record.Predecessor, 1 - share}}
}

// passed says whether a stage has lasted long enough and was seen enough of. Bad evidence does not
// pass: it withdraws the version.
func (d *Driver) passed(record *stored, stage Stage) bool {
	if time.Since(record.Since) < stage.Hold {
		return false
	}
	if stage.Share == 1 || stage.Attempts == 0 {
		return true
	}
	for _, finding := range d.evidence.Findings() {
		if finding.Version == record.Version {
			return finding.Next.Attempts >= stage.Attempts && finding.LogEvidence < math.Log(1/d.settings.FalseAlarm)
		}
	}
	return false
}

// rollBack gives all new sessions to the predecessor and then loads it everywhere.
func (d *Driver) rollBack(ctx context.Context, record *stored) error {
	if record.State == Aborted && !Withdrawn(d.source.Current(), record.Version) {
		id := fmt.Sprintf("%s-undo-%d", record.ID, record.version)
		if err := d.proposer.Propose(ctx, id, Weigh(shares(record, 0))); err != nil {
			return err
		}
	}
	ready, err := d.load(ctx, record, 0)
	if err != nil || !ready {
		return err
	}
	record.RolledBack = true
	d.log.Info("roll-out undone", "rollout", record.ID)
	return d.save(ctx, record)
}

// load orders one engine that does not serve what it should, and says whether there is none left.
func (d *Driver) load(ctx context.Context, record *stored, share float64) (ready bool, err error) {
	engines := d.orderer.Engines(record.Pool)
	slices.SortFunc(engines, func(a, b machine.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if len(engines) == 0 {
		return false, fmt.Errorf("pool %s has no engine", record.Pool)
	}
	fresh := int(math.Ceil(share * float64(len(engines))))
	for i, engine := range engines {
		want := record.Predecessor
		if i < fresh {
			want = record.Version
		}
		if engine.Version == want {
			continue
		}
		if !d.mayOrder(record) {
			return false, nil
		}
		return false, d.order(ctx, record, engine, want)
	}
	return true, nil
}

// mayOrder says whether orders of an earlier holder can still be in flight. Engines that check the
// fence refuse those; for others a new holder waits until the old lease and the longest order are
// over.
func (d *Driver) mayOrder(record *stored) bool {
	pool := d.source.Current().Pools[record.Pool]
	if pool != nil && pool.ChecksFence {
		return true
	}
	if record.OrderFence == d.tenure.lease.Fence || record.OrderFence == 0 {
		return true
	}
	return time.Since(d.tenure.since) >= d.settings.lease()+d.settings.order()
}

// order asks an engine what it serves and, if need be, has it load the version, within the budget of
// the weight store. The record carries this holder's fence before the first order goes out.
func (d *Driver) order(ctx context.Context, record *stored, engine machine.Endpoint, want contract.VersionID) error {
	if record.OrderFence != d.tenure.lease.Fence {
		record.OrderFence = d.tenure.lease.Fence
		if err := d.save(ctx, record); err != nil {
			return err
		}
	}
	loaded, err := d.orderer.Loaded(ctx, engine)
	if err != nil {
		return fmt.Errorf("ask engine %s: %w", engine.ID, err)
	}
	if loaded == want || !d.tenure.loads.Allow() {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, d.settings.order())
	defer cancel()
	if err := limited.Err(); err != nil {
		return fmt.Errorf("lease about to end: %w", err)
	}
	err = d.orderer.Load(limited, engine, Order{Version: want, Fence: d.tenure.lease.Fence})
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	d.counters.Add("plumbarrow_engine_orders_total", "outcome", outcome)
	d.log.Info("engine ordered", "rollout", record.ID, "engine", engine.ID, "version", want, "fence", d.tenure.lease.Fence, "error", err)
	return err
}

// save writes the record with this holder's fence.
func (d *Driver) save(ctx context.Context, record *stored) error {
	record.Fence = d.tenure.lease.Fence
	record.Holder = d.members.Self().Incarnation
	return d.records.write(ctx, *record)
}
