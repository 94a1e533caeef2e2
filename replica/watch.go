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
	watchGrace  = time.Second // beyond its wait, before a watch counts as silent
	readTimeout = 2 * time.Second
	retryWait   = 500 * time.Millisecond
	idleCheck   = 500 * time.Millisecond // how often an instance looks whether it should watch
	// pollMean is the mean time between reads of a zone's instances together, while none of them
	// hears from the watching one.
	pollMean    = time.Second
	pollStagger = 200 * time.Millisecond // between the first reads of two instances
)

// follow watches the store while this instance is elected for its zone, and reads it now and then
// while nobody else seems to.
func (r *Replica) follow(ctx context.Context) error {
	watch := &watcher{replica: r}
	polls := 0 // since the store was last heard
	for ctx.Err() == nil {
		switch {
		case r.elected():
			watch.step(ctx)
		case r.storeSilent():
			pause(ctx, r.pollPause(polls))
			polls++
			if ctx.Err() == nil && r.storeSilent() {
				r.counters.Add("plumbarrow_configuration_reads_total", "cause", "fallback")
				_, _ = r.read(ctx)
			}
		default:
			polls = 0
			pause(ctx, idleCheck)
		}
	}
	return nil
}

// elected says whether this instance watches the store for its zone: rendezvous hashing over the
// zone's live members. Two instances that disagree both watch, or none does; then the fallback
// reads.
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

// storeSilent says whether no word from the store has come, by any way, for too long.
func (r *Replica) storeSilent() bool {
	return time.Since(r.peers.confirmedAt()) > milliseconds(r.settings.SilentAfterMS)
}

// pollPause is the time before the next read of an instance that does not watch. The first reads
// follow each other by rank, so that a dead watcher costs one read and a bounded time; after that,
// while the store is down, the zone's instances read about once per pollMean together.
func (r *Replica) pollPause(polls int) time.Duration {
	if polls == 0 {
		return time.Duration(r.rank())*pollStagger + rand.N(pollStagger)
	}
	together := pollMean * time.Duration(r.peers.heardInZone(r.members.Self(), time.Now())+1)
	return together/2 + rand.N(together)
}

// rank is this instance's place among its zone's live members, in the order of their hashes.
func (r *Replica) rank() int {
	self := r.members.Self()
	own := xxhash.Sum64String(HeadKey + string(self.ID))
	rank := 0
	for _, member := range r.members.Live() {
		if sameZone(member, self) && xxhash.Sum64String(HeadKey+string(member.ID)) < own {
			rank++
		}
	}
	return rank
}

// watcher is the state of the elected instance's watch.
type watcher struct {
	replica *Replica
	after   infra.Version
	reread  time.Time // of the last read that was not a watch
}

// step makes one call to the store: a watch, or a plain read when one is due.
func (w *watcher) step(ctx context.Context) {
	r := w.replica
	if time.Since(w.reread) >= milliseconds(r.settings.RereadMS) {
		w.read(ctx, "reread")
		return
	}
	wait := milliseconds(r.settings.WatchWaitMS)
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	asked := r.question()
	entry, err := r.store.Watch(watchCtx, HeadKey, w.after, wait)
	silent := watchCtx.Err() != nil
	cancel()
	switch {
	case ctx.Err() != nil:
	case silent:
		r.counters.Inc("plumbarrow_configuration_watch_silent_total")
		w.read(ctx, "silent_watch")
	case errors.Is(err, infra.ErrNotFound):
		w.after = 0
		r.noHead(asked)
		if time.Since(asked.at) < retryWait {
			pause(ctx, retryWait)
		}
	case err != nil:
		r.log.Warn("configuration watch failed", "error", err)
		pause(ctx, retryWait+rand.N(retryWait))
	case entry.Version == w.after:
		r.confirmUnchanged(asked)
	default:
		w.took(r.handle(ctx, entry, asked), entry.Version)
	}
}

func (w *watcher) read(ctx context.Context, cause string) {
	w.replica.counters.Add("plumbarrow_configuration_reads_total", "cause", cause)
	version, err := w.replica.read(ctx)
	if err != nil {
		pause(ctx, retryWait+rand.N(retryWait))
		return
	}
	w.reread = time.Now()
	w.after = version
}

// took moves the watch on; a head that could not be put into force is looked at again.
func (w *watcher) took(err error, version infra.Version) {
	if err == nil {
		w.after = version
	}
}

// read reads the head once and handles it.
func (r *Replica) read(ctx context.Context) (infra.Version, error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := r.question()
	entry, err := r.store.Get(readCtx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		r.noHead(asked)
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return entry.Version, r.handle(readCtx, entry, asked)
}

// question is a read of the store that was sent at a time, with a revision in force.
type question struct {
	at       time.Time
	revision contract.Revision
}

func (r *Replica) question() question {
	return question{at: time.Now(), revision: r.current.Load().revision()}
}

// noHead handles a store without a configuration.
func (r *Replica) noHead(asked question) {
	r.headTrusted.Store(false)
	if asked.revision > 0 {
		r.lowerHead(0)
	}
}

// handle puts a head into force and notes that the store was heard. A store that was reset confirms
// nothing.
func (r *Replica) handle(ctx context.Context, entry infra.Entry, asked question) error {
	trusted, err := r.apply(ctx, entry, asked)
	if err != nil {
		r.counters.Inc("plumbarrow_configuration_failed_total")
		r.log.Error("configuration head not applied", "error", err)
		pause(ctx, retryWait)
		return err
	}
	r.headTrusted.Store(trusted)
	if trusted {
		r.confirmed(asked)
	}
	return nil
}

// apply puts a head into force. trusted is false for a head that contradicts what is in force.
func (r *Replica) apply(ctx context.Context, entry infra.Entry, asked question) (trusted bool, err error) {
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return false, err
	}
	if len(head.Records) == 0 {
		r.noHead(asked)
		return false, nil
	}
	record := head.newest()
	switch r.compare(record.Revision, record.Digest) {
	case older:
		if record.Revision >= asked.revision {
			return true, nil // peers were faster than this read
		}
		r.lowerHead(record.Revision)
		return false, nil
	case different:
		r.otherDocument(record.Revision, sourceStore)
		return false, nil
	case equal:
		return true, nil
	}
	payload := head.payload()
	if !r.current.Load().holds(payload.deltaFrom) {
		r.counters.Add("plumbarrow_configuration_reads_total", "cause", "document")
		if payload.packed, err = readParts(ctx, r.store, record.Parts); err != nil {
			return false, err
		}
	}
	return true, r.offer(*record, payload, sourceStore)
}

// confirmUnchanged notes that a watch ended without a change. The head it watches was trusted when
// it was read, unless it contradicted what is in force.
func (r *Replica) confirmUnchanged(asked question) {
	if r.headTrusted.Load() {
		r.confirmed(asked)
	}
}

// confirmed notes that when it was asked the store held nothing above the revision in force.
func (r *Replica) confirmed(asked question) {
	r.peers.confirm(asked.at)
	if r.current.Load() != nil {
		r.synced.Store(true)
	}
}

// Confirmed says whether the configuration in force was the newest accepted one not long ago: this
// instance, or one that told it so directly or through others, read the store and found nothing
// above the revision in force here. An instance that is cut off from the store and from everyone
// who reaches it can't confirm.
func (r *Replica) Confirmed() bool {
	return r.current.Load() != nil && time.Since(r.peers.confirmedAt()) <= milliseconds(r.settings.ConfirmWithinMS)
}

func sameZone(a, b machine.Member) bool { return a.Zone == b.Zone }
