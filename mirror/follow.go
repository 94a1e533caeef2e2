package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/internal/pause"
)

var (
	// ErrCompacted means that the store no longer has the history after the position of a watch, or that it is of a newer era.
	ErrCompacted = errors.New("history compacted")
	// ErrNotFound means that a document does not exist.
	ErrNotFound = errors.New("document not found")
	// ErrOlderEra means that an answer is of an older era than an earlier one.
	ErrOlderEra = errors.New("answer of an older era")
)

// Page is one part of a range of documents. The pages of a range can be read at different
// revisions, so that together they are not a snapshot.
type Page struct {
	Documents []Document
	Revision  uint64 // of the store when the page was read
	Era       uint64 // of the store when the page was read
	More      bool
}

// Changes is the answer to a watch: what changed, and the revision up to which that is complete. All is of the era of the watch.
type Changes struct {
	Documents []Document
	Revision  uint64
}

// Store is what a mirror needs of the platform's store.
type Store interface {
	// Get returns one document, or ErrNotFound.
	Get(ctx context.Context, key string, progress Progress) (Document, error)
	// Range returns the first page of the documents whose keys come after a key, in the order of
	// their keys; an empty key means from the start.
	Range(ctx context.Context, after string, progress Progress) (Page, error)
	// Watch returns the changes after a position as soon as there are some, or none once wait has
	// passed. It returns ErrCompacted if the history does not reach back that far or the store is of a newer era.
	Watch(ctx context.Context, after Position, wait time.Duration, progress Progress) (Changes, error)
}

const (
	// watchWait bounds the long poll of one watch and with it the age of a watcher's copy. The store can
	// lose the watches of all instances while their connections stay open, which nothing shows before the
	// timeout.
	watchWait = 600 * time.Millisecond
	// probeWait is the long-poll timeout of a watch that is to be answered at once.
	probeWait = time.Millisecond
	// batchDelay is how long changes are gathered after some have arrived, so that a series of them
	// takes fewer calls. It is a small part of the time within which a change must be in force.
	// minBatchDelay applies if the copy would get too old meanwhile.
	batchDelay    = 250 * time.Millisecond
	minBatchDelay = 100 * time.Millisecond
	// watchGrace is how much longer than its wait a watch's answer may take to begin: two round trips to a store
	// that is a hundred times slower than usual.
	watchGrace = 800 * time.Millisecond
	// maxUnconfirmed is the age of the copy from which an instance calls the store itself. It exceeds the
	// age that polls of a watcher usually lead to. Together with a round trip to the store it stays below
	// the shortest time within which a change must be in force, 2 s.
	maxUnconfirmed = 1300 * time.Millisecond
	// roleInterval is the time between checks whether this instance has become a watcher.
	roleInterval = 200 * time.Millisecond
	// readTimeout bounds the time until the answer to a read begins.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. It doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxFollowerBackoff is maxBackoff of an instance that is not a watcher. The watchers notice the end of
	// an outage for it.
	maxFollowerBackoff = 1500 * time.Millisecond
	// maxTombstones bounds the tombstones kept. It is more than the deletions in a fleet while an
	// instance is disconnected.
	maxTombstones = 2000
)

// Follow keeps the copy in step with the store until ctx ends. While watching returns false, it calls the
// store only if the copy has not been confirmed for maxUnconfirmed, or for changes that replies to polls omit.
func (m *Mirror) Follow(ctx context.Context, store Store, watching func() bool) error {
	synced, compacted := false, false // compacted: the last watch found no history
	delay := minBackoff
	for ctx.Err() == nil {
		m.releaseHeld()
		m.dropVersions()
		watcher := watching()
		if synced && !watcher && m.confirmed(maxUnconfirmed) && !m.awaitStoreCall(ctx, m.untilDue()) {
			continue
		}
		var changed int
		var err error
		switch omitted := m.takeOmitted(); {
		case !synced:
			err = m.readAll(ctx, store)
		case omitted != nil && !watcher:
			err = m.readOmitted(ctx, store, omitted)
		default:
			changed, err = m.watch(ctx, store)
		}
		if errors.Is(err, ErrCompacted) {
			m.log.Warn("store history compacted; reading all documents again", "revision", m.Revision())
			if compacted && !backoff(ctx, &delay, maxBackoff) {
				return nil
			}
			synced, compacted = false, true
			continue
		}
		if err != nil {
			m.recordFailure(err)
			limit := maxFollowerBackoff
			if watcher || !synced {
				limit = maxBackoff
			}
			if !backoff(ctx, &delay, limit) {
				return nil
			}
			continue
		}
		if synced || !compacted {
			compacted = false
			delay = minBackoff
		}
		synced = true
		if changed > 0 && !pause.Sleep(ctx, m.gatherTime()) {
			return nil
		}
	}
	return nil
}

// gatherTime returns how long changes are gathered before the next watch.
func (m *Mirror) gatherTime() time.Duration {
	age, _ := m.ConfirmedAge()
	return min(max(watchWait+minBatchDelay-age, minBatchDelay), batchDelay)
}

// awaitStoreCall waits for callStore, at most for wait. It returns false if there was no call.
func (m *Mirror) awaitStoreCall(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-m.storeCall:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// untilDue returns the time until an instance that is not a watcher has to check again whether it must call
// the store.
func (m *Mirror) untilDue() time.Duration {
	age, _ := m.ConfirmedAge()
	return min(max(maxUnconfirmed-age, time.Millisecond), roleInterval)
}

// watch waits for the next changes and applies them. It returns their number. The older the copy's last
// confirmation, the shorter it waits, since only the end of the wait confirms that there is no change.
func (m *Mirror) watch(ctx context.Context, store Store) (int, error) {
	age, ok := m.ConfirmedAge()
	if !ok {
		age = watchWait
	}
	wait := min(max(watchWait-age, probeWait), watchWait)
	started := time.Now()
	call := m.beginTransfer(ctx, wait+watchGrace, m.answerLimit())
	defer call.end()
	after := m.Position()
	changes, err := store.Watch(call.ctx, after, wait, call.progress)
	if errors.Is(err, ErrLargeAnswer) {
		m.log.Info("history since the last change is larger than the documents; reading these instead", "revision", after.Revision, "error", err)
		return 1, m.readAll(ctx, store)
	}
	if err != nil {
		if ctx.Err() != nil {
			return 0, nil // this instance stops
		}
		return 0, err
	}
	m.recordContact()
	m.setKnownAt(changes.Documents, call.began)
	m.apply(changes.Documents, Position{Era: after.Era, Revision: max(after.Revision, changes.Revision)})
	m.pruneTombstones(maxTombstones)
	if len(changes.Documents) == 0 && time.Since(started) >= wait {
		m.confirm(started.Add(wait)) // the store answers an empty watch no earlier
	} else {
		m.confirm(started)
	}
	return len(changes.Documents), nil
}

// backoff sleeps for the delay with jitter and then doubles the delay up to limit. It returns false if
// ctx ended.
func backoff(ctx context.Context, delay *time.Duration, limit time.Duration) bool {
	jittered := time.Duration(float64(*delay) * (0.5 + rand.Float64()))
	*delay = min(2**delay, limit)
	return pause.Sleep(ctx, jittered)
}
