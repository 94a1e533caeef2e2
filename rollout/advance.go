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

// advance takes the next step of one roll-out. It returns ErrSuperseded if a driver with a higher
// fence has written the record.
func (d *Driver) advance(ctx context.Context, record *storedRecord) error {
	if record.Fence > d.term.lease.Fence {
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
		return d.enterStage(ctx, record, stage)
	}
	if !d.stagePassed(record, stage) {
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

// enterStage loads the version on the stage's share of engines, then applies the stage's weights.
func (d *Driver) enterStage(ctx context.Context, record *storedRecord, stage Stage) error {
	ready, err := d.reconcileEngines(ctx, record, stage.Share)
	if err != nil || !ready {
		return err
	}
	id := fmt.Sprintf("%s-stage-%d-%d", record.ID, record.Current, record.storeVersion)
	if err := d.proposer.Propose(ctx, id, SetWeights(stageWeights(record, stage.Share))); err != nil {
		return err
	}
	record.Since = time.Now()
	d.log.Info("roll-out stage entered", "rollout", record.ID, "stage", record.Current+1, "share", stage.Share)
	return d.save(ctx, record)
}

func stageWeights(record *storedRecord, share float64) []VersionWeight {
	return []VersionWeight{{record.Version, share}, {record.Predecessor, 1 - share}}
}

// stagePassed reports whether a stage has lasted long enough and collected enough attempts. A stage
// does not pass once the evidence reaches the alarm level; the version is then withdrawn.
func (d *Driver) stagePassed(record *storedRecord, stage Stage) bool {
	if time.Since(record.Since) < stage.Hold {
		return false
	}
	if stage.Share == 1 || stage.Attempts == 0 {
		return true
	}
	for _, finding := range d.evidence.Findings() {
		if finding.Version == record.Version {
			return finding.VersionTally.Attempts >= stage.Attempts && finding.LogEvidence < math.Log(1/d.settings.FalseAlarm)
		}
	}
	return false
}

// rollBack gives all new sessions to the predecessor and then loads it on all engines.
func (d *Driver) rollBack(ctx context.Context, record *storedRecord) error {
	if record.State == Aborted && !Withdrawn(d.source.Current(), record.Version) {
		id := fmt.Sprintf("%s-undo-%d", record.ID, record.storeVersion)
		if err := d.proposer.Propose(ctx, id, SetWeights(stageWeights(record, 0))); err != nil {
			return err
		}
	}
	ready, err := d.reconcileEngines(ctx, record, 0)
	if err != nil || !ready {
		return err
	}
	record.RolledBack = true
	d.log.Info("roll-out rolled back", "rollout", record.ID, "version", record.Version, "predecessor", record.Predecessor)
	return d.save(ctx, record)
}

// reconcileEngines orders the first engine that does not serve its intended version to load it.
// share is the part of the engines that should serve the new version; ready reports whether all
// engines serve what they should.
func (d *Driver) reconcileEngines(ctx context.Context, record *storedRecord, share float64) (ready bool, err error) {
	engines := d.orderer.Engines(record.Pool)
	slices.SortFunc(engines, func(a, b machine.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if len(engines) == 0 {
		return false, fmt.Errorf("pool %s has no engine", record.Pool)
	}
	newCount := int(math.Ceil(share * float64(len(engines))))
	for i, engine := range engines {
		want := record.Predecessor
		if i < newCount {
			want = record.Version
		}
		if engine.Version == want {
			continue
		}
		if !d.ordersAllowed(record) {
			return false, nil
		}
		return false, d.orderLoad(ctx, record, engine, want)
	}
	return true, nil
}

// ordersAllowed reports whether this holder may send load orders. Engines that check the fence refuse
// late orders of an earlier holder. For others a new holder waits until the old lease has expired
// and the timeout of an order has passed, so that no such order is still in flight.
func (d *Driver) ordersAllowed(record *storedRecord) bool {
	pool := d.source.Current().Pools[record.Pool]
	if pool != nil && pool.ChecksFence {
		return true
	}
	if record.OrderFence == d.term.lease.Fence || record.OrderFence == 0 {
		return true
	}
	return time.Since(d.term.since) >= d.settings.leaseTTL()+d.settings.orderTimeout()
}

// orderLoad asks an engine which version it serves and, if it is another one, orders it to load
// want, within the load budget of the weight store. The record carries this holder's fence before
// the first order goes out.
func (d *Driver) orderLoad(ctx context.Context, record *storedRecord, engine machine.Endpoint, want contract.VersionID) error {
	if record.OrderFence != d.term.lease.Fence {
		record.OrderFence = d.term.lease.Fence
		if err := d.save(ctx, record); err != nil {
			return err
		}
	}
	loaded, err := d.orderer.Loaded(ctx, engine)
	if err != nil {
		return fmt.Errorf("read the version of engine %s: %w", engine.ID, err)
	}
	if loaded == want || !d.term.loads.Allow() {
		return nil
	}
	orderCtx, cancel := context.WithTimeout(ctx, d.settings.orderTimeout())
	defer cancel()
	if err := orderCtx.Err(); err != nil {
		return fmt.Errorf("lease about to end: %w", err)
	}
	err = d.orderer.Load(orderCtx, engine, Order{Version: want, Fence: d.term.lease.Fence})
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	d.counters.Add("plumbarrow_engine_orders_total", "outcome", outcome)
	d.log.Info("engine ordered to load a version", "outcome", outcome, "rollout", record.ID, "engine", engine.ID, "version", want, "fence", d.term.lease.Fence, "error", err)
	return err
}

// save writes the record with this holder's fence.
func (d *Driver) save(ctx context.Context, record *storedRecord) error {
	record.Fence = d.term.lease.Fence
	record.Holder = d.members.Self().Incarnation
	return d.records.write(ctx, *record)
}
