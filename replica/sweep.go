package replica

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"plumbarrow.example/plumbarrow/infra"
)

// sweepInterval is the time between two sweeps for unreferenced parts. It is far longer than
// proposeTimeout, the longest time from writing a part to swapping the head.
const sweepInterval = 6 * time.Hour

// sweeper deletes parts that were left behind by proposals that failed or whose instance crashed. A
// part is deleted if two sweeps in a row find it unreferenced at the same version: a proposal that
// needs it again writes it again, which changes its version.
type sweeper struct {
	store      infra.Store
	candidates map[string]infra.StoreVersion // unreferenced at the last sweep, by key
}

// sweepLoop sweeps while this instance is elected among all live ones.
func (r *Replica) sweepLoop(ctx context.Context) error {
	s := &sweeper{store: r.store}
	for {
		sleep(ctx, sweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !r.electedSweeper() {
			s.candidates = nil
			continue
		}
		deleted, err := s.sweep(ctx)
		if err != nil {
			r.log.Warn("sweep of unreferenced parts failed", "error", err)
		}
		if deleted > 0 {
			r.log.Info("unreferenced parts deleted", "parts", deleted)
		}
	}
}

// electedSweeper reports whether this instance sweeps, by rendezvous hashing over all live members.
func (r *Replica) electedSweeper() bool {
	var ids []string
	for _, member := range r.members.Live() {
		ids = append(ids, string(member.ID))
	}
	return rendezvous.New(ids, xxhash.Sum64String).Lookup(partPrefix) == string(r.members.Self().ID)
}

// sweep makes one pass and returns the number of deleted parts. The head is read after the list, so
// that a part that became referenced in between counts as referenced.
func (s *sweeper) sweep(ctx context.Context) (deleted int, err error) {
	entries, err := s.store.List(ctx, partPrefix)
	if err != nil {
		return 0, fmt.Errorf("list parts: %w", err)
	}
	head, _, err := readHead(ctx, s.store)
	if err != nil {
		return 0, err
	}
	referenced := make(map[string]bool)
	for _, record := range head.Records {
		for _, part := range record.Parts {
			referenced[part.Digest] = true
		}
	}
	candidates := make(map[string]infra.StoreVersion)
	for _, entry := range entries {
		switch version, known := s.candidates[entry.Key]; {
		case referenced[strings.TrimPrefix(entry.Key, partPrefix)]:
		case !known || version != entry.Version:
			candidates[entry.Key] = entry.Version
		case s.store.Delete(ctx, entry.Key, entry.Version) == nil:
			deleted++
		}
	}
	s.candidates = candidates
	return deleted, nil
}
