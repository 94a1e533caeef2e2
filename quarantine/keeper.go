package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

const (
	// keeperPeriod is the interval at which the keeper compares suspects and documents.
	keeperPeriod = 200 * time.Millisecond
	// keeperTurn is the time after which an instance of the next rank writes what is still missing: two calls to the store, and the time
	// until the other instances know of them.
	keeperTurn = 600 * time.Millisecond
	// keeperPause is the shortest time between two writes of an instance, and keeperMaxPause the longest one after failures.
	keeperPause    = time.Second
	keeperMaxPause = 8 * time.Second
	keeperTimeout  = time.Second
	// maxKeepers is the number of instances that write. It bounds the calls to a store that is away.
	maxKeepers = 4
	// maxBatch is the number of documents that one write changes. The store takes 32 conditions and changes together.
	maxBatch = 12
	// refreshAfter is how much newer than its document a suspect's last crash must be for the document to be written again. The lease
	// lasts for blockTime.
	refreshAfter = 30 * time.Second
)

// Keeper writes suspects with successive crashes to the store, each under a lease of blockTime, and deletes the documents of parts that have proved
// sound. A few instances do so, one after the other, the others only if it is not done. It never delays a request.
type Keeper struct {
	quarantine *Quarantine
	writer     mirror.Writer
	era        func() uint64 // of the store that the documents were read from
	members    machine.Members
	log        *slog.Logger

	missingSince time.Time // when the store was first seen to differ; zero if it does not
	pauseUntil   time.Time
	pause        time.Duration
}

// NewKeeper returns the keeper of an instance. It does nothing until Run is called.
func NewKeeper(quarantine *Quarantine, writer mirror.Writer, era func() uint64, members machine.Members, log *slog.Logger) *Keeper {
	return &Keeper{quarantine: quarantine, writer: writer, era: era, members: members, log: log, pause: keeperPause}
}

// Run keeps the documents until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keeperPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Keeper) tick(ctx context.Context) {
	now := time.Now()
	puts, conditions, deletes := k.quarantine.documentChanges(now)
	if len(conditions) == 0 {
		k.missingSince = time.Time{}
		return
	}
	if k.missingSince.IsZero() {
		k.missingSince = now
	}
	rank := machine.Rank(DocumentPrefix, k.members)
	if rank >= maxKeepers || now.Sub(k.missingSince) < time.Duration(rank)*keeperTurn || now.Before(k.pauseUntil) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	if err := k.write(ctx, &mirror.Write{Conditions: conditions, Puts: puts, Deletes: deletes, Era: k.era()}); err != nil {
		k.pause = min(2*k.pause, keeperMaxPause)
		k.pauseUntil = now.Add(k.pause/2 + rand.N(k.pause))
		k.log.Info("storing suspect prompt parts failed", "puts", len(puts), "deletes", len(deletes), "error", err)
		return
	}
	k.pause, k.missingSince = keeperPause, time.Time{}
	k.pauseUntil = now.Add(keeperPause)
	k.log.Info("suspect prompt parts stored", "puts", len(puts), "deletes", len(deletes))
}

// write makes the changes, the documents under a new lease.
func (k *Keeper) write(ctx context.Context, write *mirror.Write) error {
	if len(write.Puts) > 0 {
		lease, err := k.writer.Grant(ctx, blockTime)
		if err != nil {
			return err
		}
		for i := range write.Puts {
			write.Puts[i].Lease = lease
		}
	}
	_, err := k.writer.Write(ctx, write)
	return err
}

// documentChanges returns what is to be changed in the store, with a condition for each change, at most maxBatch.
func (q *Quarantine) documentChanges(now time.Time) (puts []mirror.Put, conditions []mirror.Condition, deletes []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	blocked := q.blocked.Load()
	isBlocked := func(s *suspect) bool {
		_, found := blocked.until[s.part]
		return found
	}
	var wanted []uint64
	for key, s := range q.suspects {
		if s.lasting && len(s.crashes) > 0 && (isBlocked(s) || !s.recentlySound()) {
			wanted = append(wanted, key)
		}
	}
	slices.SortFunc(wanted, func(a, b uint64) int {
		return cmp.Or(compareSuspects(q.suspects[a], q.suspects[b]), cmp.Compare(a, b))
	})
	for _, key := range wanted[:min(len(wanted), maxDocuments)] {
		s, stored := q.suspects[key], q.stored[key]
		if len(conditions) == maxBatch || !stored.differs(s, isBlocked(s)) {
			continue
		}
		value, err := encodeDocument(s, isBlocked(s), now)
		if err != nil {
			q.log.Error("encoding suspect prompt part failed", "error", err)
			continue
		}
		name := cmp.Or(stored.key, documentKey(partRef{key: key, part: s.part}))
		puts = append(puts, mirror.Put{Key: name, Value: value})
		conditions = append(conditions, mirror.Condition{Key: name, Revision: stored.revision})
	}
	for _, key := range slices.Sorted(maps.Keys(q.stored)) {
		if s := q.suspects[key]; len(conditions) < maxBatch && (s == nil || len(s.crashes) == 0) {
			deletes = append(deletes, q.stored[key].key)
			conditions = append(conditions, mirror.Condition{Key: q.stored[key].key, Revision: q.stored[key].revision})
		}
	}
	return puts, conditions, deletes
}

// differs reports whether the document is to be written again.
func (d storedSuspect) differs(s *suspect, blocked bool) bool {
	switch {
	case d.revision == 0, blocked && !d.blocked:
		return true
	case !d.blocked && s.generations > d.generations:
		return true
	default:
		return s.lastCrash().Sub(d.lastCrash) > refreshAfter
	}
}
