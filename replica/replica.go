// Package replica keeps an entry instance's copy of the operators' configuration in step with the
// platform's store and with its peers. A copy only ever moves to a higher revision.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/platform"
)

const (
	watchWait = 30 * time.Second
	retryWait = 500 * time.Millisecond
)

// Replica is the configuration in force at one entry instance.
type Replica struct {
	store   platform.Store
	log     *slog.Logger
	current atomic.Pointer[contract.Snapshot]

	mu      sync.Mutex // serializes offers
	changed []func(*contract.Snapshot)
}

var _ contract.Source = (*Replica)(nil)

// New returns a replica without configuration.
func New(store platform.Store, log *slog.Logger) *Replica {
	return &Replica{store: store, log: log}
}

// Current implements contract.Source.
func (r *Replica) Current() *contract.Snapshot { return r.current.Load() }

// OnChange registers a function that is called with each new snapshot, in order.
func (r *Replica) OnChange(f func(*contract.Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = append(r.changed, f)
}

// Run follows the store's head until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	var after platform.Version
	for ctx.Err() == nil {
		entry, err := r.store.Watch(ctx, HeadKey, after, watchWait)
		if err != nil {
			if !errors.Is(err, platform.ErrNotFound) {
				r.log.Warn("configuration watch failed", "error", err)
			}
			pause(ctx, retryWait)
			continue
		}
		after = entry.Version
		if err := r.offerHead(entry.Value); err != nil {
			r.log.Error("configuration refused", "error", err)
		}
	}
	return nil
}

func (r *Replica) offerHead(value []byte) error {
	head, err := DecodeHead(value)
	if err != nil {
		return err
	}
	document, err := contract.Parse(HeadKey, head.Document)
	if err != nil {
		return err
	}
	snapshot, err := contract.Build(document, head.Revision)
	if err != nil {
		return err
	}
	r.Offer(snapshot)
	return nil
}

// Offer puts a snapshot into force if its revision is higher than the one in force.
func (r *Replica) Offer(snapshot *contract.Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load()
	if current != nil && snapshot.Revision <= current.Revision {
		return false
	}
	r.current.Store(snapshot)
	for _, f := range r.changed {
		f(snapshot)
	}
	return true
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
