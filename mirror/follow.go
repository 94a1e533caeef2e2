package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/internal/pause"
)

// ErrCompacted means that the store no longer has the history after the revision of a watch.
var ErrCompacted = errors.New("history compacted")

// Page is one part of a range of documents. The pages of a range can be read at different
// revisions, so that together they are not a snapshot.
type Page struct {
	Documents []Document
	Revision  uint64 // of the store when the page was read
	More      bool
}

// Changes is the answer to a watch: what changed, and the revision up to which that is complete.
type Changes struct {
	Documents []Document
	Revision  uint64
}

// Store is what a mirror needs of the platform's store.
type Store interface {
	// Range returns the first page of the documents whose keys come after a key, in the order of
	// their keys; an empty key means from the start.
	Range(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are some, or none once wait has
	// passed. It returns ErrCompacted if the history does not reach back that far.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

const (
	// watchWait is the long-poll timeout of one watch. The store can lose the watches of all instances
	// while their connections stay open, which nothing shows before the timeout. Changes made
	// meanwhile must be in force about three seconds after the store has recovered.
	watchWait = 2 * time.Second
	// probeWait is the long-poll timeout of the first watch after a failure, so that its answer
	// shows at once that the store is back.
	probeWait = time.Millisecond
	// batchDelay is how long changes are gathered after some have arrived, so that a series of them
	// takes fewer calls. It is a small part of the time within which a change must be in force.
	batchDelay = 100 * time.Millisecond
	// watchGrace is how much longer than its wait a watch may take: two round trips to a store that
	// is a hundred times slower than usual.
	watchGrace = 800 * time.Millisecond
	// readTimeout bounds the read of one page.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. It doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxTombstones bounds the tombstones kept. It is more than the deletions in a fleet while an
	// instance is disconnected.
	maxTombstones = 2000
)

// Follow keeps the copy in step with the store until ctx ends.
func (m *Mirror) Follow(ctx context.Context, store Store) error {
	revision, synced := uint64(0), false
	delay, wait := minBackoff, watchWait
	for ctx.Err() == nil {
		var changed int
		var err error
		if synced {
			revision, changed, err = m.watch(ctx, store, revision, wait)
		} else {
			revision, err = m.readAll(ctx, store)
		}
		if errors.Is(err, ErrCompacted) {
			m.log.Warn("store history compacted; reading all documents again", "revision", revision)
			synced = false
			continue
		}
		if err != nil {
			m.recordFailure(err)
			wait = probeWait
			if !backoff(ctx, &delay) {
				return nil
			}
			continue
		}
		synced = true
		delay, wait = minBackoff, watchWait
		if changed > 0 && !pause.Sleep(ctx, batchDelay) {
			return nil
		}
	}
	return nil
}

// watch waits for the next changes and applies them. It returns the revision to watch from next and the
// number of changes.
func (m *Mirror) watch(ctx context.Context, store Store, revision uint64, wait time.Duration) (uint64, int, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	changes, err := store.Watch(watchCtx, revision, wait)
	if err != nil {
		if ctx.Err() != nil {
			return revision, 0, nil // this instance stops
		}
		return revision, 0, err
	}
	m.recordContact()
	revision = max(revision, changes.Revision)
	m.apply(changes.Documents, revision)
	m.pruneTombstones(maxTombstones)
	return revision, len(changes.Documents), nil
}

// readAll takes over the whole state and returns the revision from which the watch continues.
func (m *Mirror) readAll(ctx context.Context, store Store) (uint64, error) {
	var documents []Document
	var from uint64
	for after := ""; ; {
		page, err := readPage(ctx, store, after)
		if err != nil {
			return 0, err
		}
		if from == 0 {
			from = page.Revision // of the first page: the watch repeats later changes
		}
		documents = append(documents, page.Documents...)
		if !page.More || len(page.Documents) == 0 {
			break
		}
		after = page.Documents[len(page.Documents)-1].Key
	}
	m.recordContact()
	m.replace(documents, from)
	return from, nil
}

func readPage(ctx context.Context, store Store, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return store.Range(ctx, after)
}

// backoff sleeps for the delay with jitter and then doubles the delay. It returns false if ctx
// ended.
func backoff(ctx context.Context, delay *time.Duration) bool {
	jittered := time.Duration(float64(*delay) * (0.5 + rand.Float64()))
	*delay = min(2**delay, maxBackoff)
	return pause.Sleep(ctx, jittered)
}
