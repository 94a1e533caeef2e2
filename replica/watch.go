package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	watchGrace            = time.Second // how much longer than its wait a watch may take before it counts as silent
	readTimeout           = 2 * time.Second
	retryWait             = 500 * time.Millisecond
	electionCheckInterval = 500 * time.Millisecond // how often an instance checks whether it is elected
	// zonePollInterval is the mean time between two polls of the store by any instance of a zone,
	// while the zone has no confirmation from a watching instance.
	zonePollInterval = time.Second
	pollStagger      = 200 * time.Millisecond // between the first polls of two instances of adjacent rank
)

// follow watches the store while this instance is elected for its zone. Otherwise it polls the
// store while confirmations are overdue, since then probably no instance watches.
func (r *Replica) follow(ctx context.Context) error {
	watch := &watcher{replica: r}
	polls := 0 // since confirmations became overdue
	for ctx.Err() == nil {
		switch {
		case r.elected():
			watch.step(ctx)
		case r.confirmationOverdue():
			sleep(ctx, r.pollDelay(polls))
			polls++
			if ctx.Err() == nil && r.confirmationOverdue() {
				r.counters.Add("plumbarrow_configuration_reads_total", "cause", "fallback")
				_, _ = r.read(ctx)
			}
		default:
			polls = 0
			sleep(ctx, electionCheckInterval)
		}
	}
	return nil
}

// elected reports whether this instance watches the store for its zone, by rendezvous hashing over
// the zone's live members. While instances disagree on the members, two may watch or none; if none
// does, the polls of follow cover the zone.
func (r *Replica) elected() bool {
	self := r.members.Self()
	var ids []string
	for _, member := range r.members.Live() {
		if member.Zone == self.Zone {
			ids = append(ids, string(member.ID))
		}
	}
	if len(ids) == 0 {
		return true
	}
	return rendezvous.New(ids, xxhash.Sum64String).Lookup(HeadKey) == string(self.ID)
}

// confirmationOverdue reports whether the last confirmation from the store, received directly or
// through peers, is older than SilentAfterMS.
func (r *Replica) confirmationOverdue() bool {
	return time.Since(r.peers.confirmedAt()) > milliseconds(r.settings.SilentAfterMS)
}

// pollDelay returns the time before the next poll of an instance that does not watch. The first
// polls are staggered by rank, so that after a watcher's crash one instance usually reads the store
// for all, within a bounded time. Later polls, while the store is down, are spread so that the zone's
// instances together read about once per zonePollInterval.
func (r *Replica) pollDelay(polls int) time.Duration {
	if polls == 0 {
		return time.Duration(r.rank())*pollStagger + rand.N(pollStagger)
	}
	interval := zonePollInterval * time.Duration(r.peers.liveInZone(r.members.Self(), time.Now())+1)
	return interval/2 + rand.N(interval)
}

// rank returns this instance's position among its zone's live members, in the order of their
// hashes.
func (r *Replica) rank() int {
	self := r.members.Self()
	selfHash := xxhash.Sum64String(HeadKey + string(self.ID))
	rank := 0
	for _, member := range r.members.Live() {
		if sameZone(member, self) && xxhash.Sum64String(HeadKey+string(member.ID)) < selfHash {
			rank++
		}
	}
	return rank
}

// watcher is the state of the elected instance's watch.
type watcher struct {
	replica     *Replica
	lastVersion infra.StoreVersion // version of the head last handled; 0 for none
	lastRead    time.Time          // time of the last read that was not a watch
}

// step makes one call to the store: a watch, or a plain read when one is due.
func (w *watcher) step(ctx context.Context) {
	r := w.replica
	if time.Since(w.lastRead) >= milliseconds(r.settings.RereadMS) {
		w.read(ctx, "reread")
		return
	}
	wait := milliseconds(r.settings.WatchWaitMS)
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	start := r.readStart()
	entry, err := r.store.Watch(watchCtx, HeadKey, w.lastVersion, wait)
	silent := watchCtx.Err() != nil
	cancel()
	switch {
	case ctx.Err() != nil:
	case silent:
		r.counters.Inc("plumbarrow_configuration_watch_silent_total")
		w.read(ctx, "silent_watch")
	case errors.Is(err, infra.ErrNotFound):
		w.lastVersion = 0
		r.handleNoHead(start)
		if time.Since(start.at) < retryWait {
			sleep(ctx, retryWait)
		}
	case err != nil:
		r.log.Warn("configuration watch failed", "error", err)
		sleep(ctx, retryWait+rand.N(retryWait))
	case entry.Version == w.lastVersion:
		r.confirmUnchanged(start)
	default:
		w.advance(r.handleHead(ctx, entry, start), entry.Version)
	}
}

func (w *watcher) read(ctx context.Context, cause string) {
	w.replica.counters.Add("plumbarrow_configuration_reads_total", "cause", cause)
	version, err := w.replica.read(ctx)
	if err != nil {
		sleep(ctx, retryWait+rand.N(retryWait))
		return
	}
	w.lastRead = time.Now()
	w.lastVersion = version
}

// advance sets the version that the next watch starts from. After an error the version stays, so
// that the head is handled again.
func (w *watcher) advance(err error, version infra.StoreVersion) {
	if err == nil {
		w.lastVersion = version
	}
}

// read reads the head once and handles it.
func (r *Replica) read(ctx context.Context) (infra.StoreVersion, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := r.readStart()
	entry, err := r.store.Get(readCtx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		r.handleNoHead(start)
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Version, r.handleHead(readCtx, entry, start)
}

// readStart is when a read of the store began, and the revision in force at that time. Peers may
// deliver a higher revision before the read returns.
type readStart struct {
	at       time.Time
	revision contract.Revision
}

func (r *Replica) readStart() readStart {
	return readStart{at: time.Now(), revision: r.current.Load().revision()}
}

// handleNoHead handles a store without a configuration. If one was in force when the read began,
// the store was reset.
func (r *Replica) handleNoHead(start readStart) {
	r.headTrusted.Store(false)
	if start.revision > 0 {
		r.alarmLowerHead(0)
	}
}

// handleHead puts a head into force and records the confirmation by the store. A store that was
// reset confirms nothing.
func (r *Replica) handleHead(ctx context.Context, entry infra.Entry, start readStart) error {
	trusted, err := r.applyHead(ctx, entry, start)
	if err != nil {
		r.counters.Inc("plumbarrow_configuration_failed_total")
		r.log.Error("configuration head not applied", "version", entry.Version, "error", err)
		sleep(ctx, retryWait)
		return err
	}
	r.headTrusted.Store(trusted)
	if trusted {
		r.recordConfirmation(start)
	}
	return nil
}

// applyHead puts a head into force. trusted is false for a head that contradicts the configuration
// in force.
func (r *Replica) applyHead(ctx context.Context, entry infra.Entry, start readStart) (trusted bool, err error) {
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return false, err
	}
	if len(head.Records) == 0 {
		r.handleNoHead(start)
		return false, nil
	}
	record := head.newest()
	switch r.compareToCurrent(record.Revision, record.Digest) {
	case older:
		if record.Revision >= start.revision {
			return true, nil // a peer delivered a higher revision during this read
		}
		r.alarmLowerHead(record.Revision)
		return false, nil
	case digestMismatch:
		r.alarmDigestMismatch(record.Revision, sourceStore)
		return false, nil
	case equal:
		return true, nil
	}
	payload := head.payload()
	if !r.current.Load().hasDigest(payload.deltaFrom) {
		r.counters.Add("plumbarrow_configuration_reads_total", "cause", "document")
		if payload.packed, err = readParts(ctx, r.store, record.Parts); err != nil {
			return false, err
		}
	}
	return true, r.applyIfNewer(*record, payload, sourceStore)
}

// confirmUnchanged records the confirmation by a watch that ended without a change. It does not
// count if the head, when it was read, contradicted the configuration in force.
func (r *Replica) confirmUnchanged(start readStart) {
	if r.headTrusted.Load() {
		r.recordConfirmation(start)
	}
}

// recordConfirmation records that when the read began the store held nothing above the revision in
// force.
func (r *Replica) recordConfirmation(start readStart) {
	r.peers.confirm(start.at)
	if r.current.Load() != nil {
		r.synced.Store(true)
	}
}

// Confirmed reports whether the store has confirmed the configuration in force within the last
// ConfirmWithinMS: this instance or another one read the store and found nothing above the revision
// in force here. Peers pass confirmations on. An instance that is cut off from the store and from all
// instances that reach it can't confirm.
func (r *Replica) Confirmed() bool {
	return r.current.Load() != nil && time.Since(r.peers.confirmedAt()) <= milliseconds(r.settings.ConfirmWithinMS)
}

func sameZone(a, b machine.Member) bool { return a.Zone == b.Zone }
