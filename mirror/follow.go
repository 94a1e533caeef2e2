package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
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
	// Range returns the documents below a prefix whose keys come after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes below a prefix after a revision as soon as there are some, or none
	// once wait has passed. It returns ErrCompacted if the history does not reach back that far.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}

const (
	// watchWait is how long one watch waits. Calls have a price; that a connection went silent shows
	// sooner, by the store client's probes and by peers that are ahead.
	watchWait = 10 * time.Second
	// probeWait is how long the first watch after a failure waits: its answer says at once that the
	// store is back.
	probeWait = time.Millisecond
	// watchSlack is how much longer than watchWait an answer may take, several round trips to a slow
	// store.
	watchSlack = 1200 * time.Millisecond
	// readTimeout bounds the read of one page.
	readTimeout = 2 * time.Second
	// firstPause and longestPause bound the pause after a failed call. It doubles with each failure.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// maxTombstones bounds the deleted documents that are remembered; more than a fleet loses while
	// an instance is out of touch.
	maxTombstones = 2000
)

// Follow keeps the copy in step with the store until ctx ends. Each prefix has a watch of its own.
func (m *Mirror) Follow(ctx context.Context, store Store, prefixes []string) error {
	positions := make([]uint64, len(prefixes))
	for pause := firstPause; ; {
		from, err := m.read(ctx, store, prefixes)
		if err == nil {
			for i := range positions {
				positions[i] = from
			}
			break
		}
		m.unheard(err)
		if !pauseFor(ctx, &pause) {
			return nil
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, prefix := range prefixes {
		group.Go(func() error { return m.follow(ctx, store, prefix, prefixes, positions[i]) })
	}
	return group.Wait()
}

// follow keeps one prefix in step.
func (m *Mirror) follow(ctx context.Context, store Store, prefix string, all []string, position uint64) error {
	pause, wait := firstPause, watchWait
	for ctx.Err() == nil {
		watching, cancel := context.WithTimeout(ctx, wait+watchSlack)
		changes, err := store.Watch(watching, prefix, position, wait)
		cancel()
		if errors.Is(err, ErrCompacted) {
			m.log.Warn("store history compacted", "prefix", prefix, "revision", position)
			var from uint64
			if from, err = m.read(ctx, store, all); err == nil {
				position = from
				continue
			}
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			m.unheard(err)
			wait = probeWait
			if !pauseFor(ctx, &pause) {
				return nil
			}
			continue
		}
		pause, wait = firstPause, watchWait
		m.heard()
		m.apply(changes.Documents, 0)
		position = max(position, changes.Revision)
		m.advance(prefix, position, all)
		m.sweep(maxTombstones)
	}
	return nil
}

// advance moves the copy's revision on to the lowest position of its watches.
func (m *Mirror) advance(prefix string, position uint64, all []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.positions == nil {
		m.positions = make(map[string]uint64)
	}
	m.positions[prefix] = position
	lowest := position
	for _, one := range all {
		lowest = min(lowest, m.positions[one])
	}
	m.revision = max(m.revision, lowest)
}

// read takes over the whole state below the prefixes and returns the revision from which watches
// have to go on.
func (m *Mirror) read(ctx context.Context, store Store, prefixes []string) (uint64, error) {
	var documents []Document
	var from uint64
	for _, prefix := range prefixes {
		after := ""
		for {
			page, err := readPage(ctx, store, prefix, after)
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
	}
	m.heard()
	m.replace(documents, from)
	return from, nil
}

func readPage(ctx context.Context, store Store, prefix, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return store.Range(ctx, prefix, after)
}

// pauseFor waits with jitter and doubles the pause. It returns false if ctx ended.
func pauseFor(ctx context.Context, pause *time.Duration) bool {
	timer := time.NewTimer(time.Duration(float64(*pause) * (0.5 + rand.Float64())))
	defer timer.Stop()
	*pause = min(2**pause, longestPause)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
