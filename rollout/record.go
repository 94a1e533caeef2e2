package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
)

// RecordPrefix is the prefix of the keys under which the store keeps the records of roll-outs.
const RecordPrefix = "plumbarrow/rollouts/"

// State is the state of a roll-out.
type State string

// States of a roll-out.
const (
	Running State = "running"
	Done    State = "done"
	// Failed: the version was withdrawn during the roll-out; the engines return to the predecessor.
	Failed State = "failed"
	// Aborted by an operator; weights and engines return to the predecessor.
	Aborted State = "aborted"
)

// Stage is a share of new sessions and the conditions for the next stage.
type Stage struct {
	// Share of the two versions' new sessions, above 0 and at most 1.
	Share float64 `json:"share"`
	// Hold is the minimum time in this stage.
	Hold time.Duration `json:"hold_ns"`
	// Attempts of the new version that this stage requires.
	Attempts uint64 `json:"attempts"`
}

// Record is a roll-out as the store keeps it. Each holder of the driver's lease continues from it.
type Record struct {
	ID          string             `json:"id"`
	Version     contract.VersionID `json:"version"`
	Predecessor contract.VersionID `json:"predecessor"`
	Pool        string             `json:"pool"`
	Stages      []Stage            `json:"stages"`
	State       State              `json:"state"`
	// Current is the index of the present stage, from 0. Its weights are accepted since Since, or
	// not yet if Since is zero.
	Current int       `json:"current"`
	Since   time.Time `json:"since"`
	// RolledBack is set once a failed or aborted roll-out has been undone.
	RolledBack bool `json:"rolled_back"`
	// OrderFence is the fence of the driver that last sent load orders; 0 for none. It is
	// written before the first order of that driver.
	OrderFence uint64 `json:"order_fence"`
	// Fence and Holder of the last driver that wrote the record.
	Fence  uint64              `json:"fence"`
	Holder machine.Incarnation `json:"holder"`
}

// Validate returns an error that names the first field out of range.
func (r *Record) Validate() error {
	if r.ID == "" || r.Pool == "" || len(r.Stages) == 0 {
		return errors.New("a roll-out needs an id, a pool and stages")
	}
	if r.Version.Model != r.Predecessor.Model || r.Version == r.Predecessor {
		return errors.New("version and predecessor must be two versions of one model")
	}
	previous := 0.0
	for i, stage := range r.Stages {
		if stage.Share <= previous || stage.Share > 1 {
			return fmt.Errorf("stage %d: shares must grow and be at most 1", i+1)
		}
		previous = stage.Share
	}
	return nil
}

// finished reports whether nothing is left to do.
func (r *Record) finished() bool {
	return r.State == Done || r.State != Running && r.RolledBack
}

// ErrSuperseded means that a driver with a higher fence has written the record.
var ErrSuperseded = errors.New("roll-out taken over by another driver")

// Records keeps roll-outs in the platform's store.
type Records struct{ store infra.Store }

// NewRecords returns the records of a store.
func NewRecords(store infra.Store) *Records { return &Records{store} }

// storedRecord is a record with its version in the store, for compare-and-swap.
type storedRecord struct {
	Record
	storeVersion infra.StoreVersion
}

// Start creates a record in the state Running. If the answer of the store is lost, it reads the
// record back. Errors: those of Validate and of infra.Store.CompareAndSwap; infra.ErrConflict if the id exists.
func (r *Records) Start(ctx context.Context, record Record) error {
	record.State = Running
	if err := record.Validate(); err != nil {
		return err
	}
	return r.write(ctx, storedRecord{Record: record})
}

// List returns all roll-outs in the order of their ids.
func (r *Records) List(ctx context.Context) ([]Record, error) {
	all, err := r.list(ctx)
	records := make([]Record, len(all))
	for i := range all {
		records[i] = all[i].Record
	}
	return records, err
}

func (r *Records) list(ctx context.Context) ([]storedRecord, error) {
	entries, err := r.store.List(ctx, RecordPrefix)
	if err != nil {
		return nil, err
	}
	all := make([]storedRecord, 0, len(entries))
	for _, entry := range entries {
		record, err := decode(entry)
		if err != nil {
			return nil, err
		}
		all = append(all, record)
	}
	return all, nil
}

// Abort ends a roll-out that is not done; its driver then rolls it back. It returns infra.ErrNotFound
// for an unknown id.
func (r *Records) Abort(ctx context.Context, id string) error {
	return r.update(ctx, id, func(record *Record) error {
		if record.State == Done {
			return errors.New("the roll-out is done")
		}
		record.State, record.RolledBack = Aborted, false
		return nil
	})
}

// Resume restarts an aborted or failed roll-out from its first stage. It returns infra.ErrNotFound
// for an unknown id.
func (r *Records) Resume(ctx context.Context, id string) error {
	return r.update(ctx, id, func(record *Record) error {
		if record.State == Running || record.State == Done {
			return fmt.Errorf("the roll-out is %s", record.State)
		}
		record.State, record.Current, record.Since, record.RolledBack = Running, 0, time.Time{}, false
		return nil
	})
}

const maxUpdateAttempts = 5 // write conflicts with the driver

// update applies an operator's change, and again after a write conflict.
func (r *Records) update(ctx context.Context, id string, change func(*Record) error) error {
	for range maxUpdateAttempts {
		entry, err := r.store.Get(ctx, RecordPrefix+id)
		if err != nil {
			return err
		}
		record, err := decode(entry)
		if err != nil {
			return err
		}
		if err := change(&record.Record); err != nil {
			return err
		}
		if err := r.write(ctx, record); !errors.Is(err, infra.ErrConflict) {
			return err
		}
	}
	return infra.ErrConflict
}

// write stores a record by compare-and-swap. An unknown outcome is resolved by reading the record
// back and comparing it.
func (r *Records) write(ctx context.Context, record storedRecord) error {
	value, err := json.Marshal(record.Record)
	if err != nil {
		return err
	}
	key := RecordPrefix + record.ID
	_, err = r.store.CompareAndSwap(ctx, key, record.storeVersion, value)
	if !errors.Is(err, infra.ErrOutcomeUnknown) {
		return err
	}
	entry, readErr := r.store.Get(ctx, key)
	if readErr == nil && string(entry.Value) == string(value) {
		return nil
	}
	return err
}

func decode(entry infra.Entry) (storedRecord, error) {
	record := storedRecord{storeVersion: entry.Version}
	if err := json.Unmarshal(entry.Value, &record.Record); err != nil {
		return record, fmt.Errorf("roll-out record %s: %w", entry.Key, err)
	}
	return record, nil
}
