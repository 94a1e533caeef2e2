package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/internal/pause"
)

// ErrCompacted means that the store no longer has the history that a watch asked for.
var ErrCompacted = errors.New("history compacted")

// Page is one part of a range of documents. Pages of one range are not a snapshot.
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
	// Range returns the documents whose keys come after a key.
	Range(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are some, or none once wait has
	// passed. It returns ErrCompacted if the history does not reach back that far.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
}

const (
	// watchWait is how long one watch waits. A watch can be cut without any sign while its connection
	// lives, and with it the watches of all peers; what changed meanwhile has to be in force about
	// three seconds after the store is well again.
	watchWait = 2 * time.Second
	// probeWait is how long the first watch after a failure waits: its answer says at once that the
	// store is back.
	probeWait = time.Millisecond
	// gatherPause is how long changes are gathered after some have come, so that a series of them
	// takes fewer calls. It is a small part of the time within which a change has to be in force.
	gatherPause = 100 * time.Millisecond
	// watchSlack is how much longer than watchWait an answer may take: two round trips to a store that
	// is a hundred times slower than usual.
	watchSlack = 800 * time.Millisecond
	// readTimeout bounds the read of one page.
	readTimeout = 2 * time.Second
	// firstPause and longestPause bound the pause after a failed call. It doubles with each failure.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// maxTombstones bounds the deleted documents that are remembered; more than a fleet loses while
	// an instance is out of touch.
	maxTombstones = 2000
)

// Follow keeps the copy in step with the store until ctx ends.
func (m *Mirror) Follow(ctx context.Context, store Store) error {
	position, synced := uint64(0), false
	delay, wait := firstPause, watchWait
	for ctx.Err() == nil {
		var changed int
		var err error
		if synced {
			position, changed, err = m.watch(ctx, store, position, wait)
		} else {
			position, err = m.read(ctx, store)
		}
		if errors.Is(err, ErrCompacted) {
			m.log.Warn("store history compacted", "revision", position)
			synced = false
			continue
		}
		if err != nil {
			m.unheard(err)
			wait = probeWait
			if !pauseFor(ctx, &delay) {
				return nil
			}
			continue
		}
		synced = true
		delay, wait = firstPause, watchWait
		if changed > 0 && !pause.Sleep(ctx, gatherPause) {
			return nil
		}
	}
	return nil
}

// watch waits for the next changes and returns the position after them and their number.
func (m *Mirror) watch(ctx context.Context, store Store, position uint64, wait time.Duration) (uint64, int, error) {
	watching, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, err := store.Watch(watching, position, wait)
	if err != nil {
		if ctx.Err() != nil {
			return position, 0, nil // this instance stops
		}
		return position, 0, err
	}
	m.heard()
	position = max(position, changes.Revision)
	m.apply(changes.Documents, position)
	m.sweep(maxTombstones)
	return position, len(changes.Documents), nil
}

// read takes over the whole state and returns the revision from which the watch has to go on.
func (m *Mirror) read(ctx context.Context, store Store) (uint64, error) {
	var documents []Document
	var from uint64
	for after := ""; ; {
		page, err := readPage(ctx, store, after)
		if err != nil {
			return 0, err
		}
		if from == 0 {
			from = page.Revision // before the first page: later changes are seen again
		}
		documents = append(documents, page.Documents...)
		if !page.More || len(page.Documents) == 0 {
			break
		}
		after = page.Documents[len(page.Documents)-1].Key
	}
	m.heard()
	m.replace(documents, from)
	return from, nil
}

func readPage(ctx context.Context, store Store, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return store.Range(ctx, after)
}

// pauseFor waits with jitter and doubles the delay. It returns false if ctx ended.
func pauseFor(ctx context.Context, delay *time.Duration) bool {
	now := time.Duration(float64(*delay) * (0.5 + rand.Float64()))
	*delay = min(2**delay, longestPause)
	return pause.Sleep(ctx, now)
}
