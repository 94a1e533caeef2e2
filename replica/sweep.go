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

// sweepInterval is the time between two looks for parts that nothing refers to. A proposal takes
// at most proposeTimeout from writing a part to swapping the head, which is far less.
const sweepInterval = 6 * time.Hour

// sweeper deletes parts that proposals left behind when they failed or their instance died. A part
// goes if two looks in a row find it unreferenced at the same version: whoever needs it again
// writes it again, which gives it another version.
type sweeper struct {
	store infra.Store
	found map[string]infra.Version // unreferenced at the last look
}

// sweepLoop sweeps while this instance is elected among all live ones.
func (r *Replica) sweepLoop(ctx context.Context) error {
	s := &sweeper{store: r.store}
	for {
		pause(ctx, sweepInterval)
		if ctx.Err() != nil {
			return nil
		}
		if !r.electedOfAll() {
			s.found = nil
			continue
		}
		deleted, err := s.sweep(ctx)
		if err != nil {
			r.log.Warn("unreferenced parts not swept", "error", err)
		}
		if deleted > 0 {
			r.log.Info("unreferenced parts deleted", "parts", deleted)
		}
	}
}

func (r *Replica) electedOfAll() bool {
	var ids []string
	for _, member := range r.members.Live() {
		ids = append(ids, string(member.ID))
	}
	return rendezvous.New(ids, xxhash.Sum64String).Lookup(partPrefix) == string(r.members.Self().ID)
}

// sweep looks once. The head is read after the list, so that a part which became referenced in
// between counts as referenced.
func (s *sweeper) sweep(ctx context.Context) (deleted int, err error) {
	entries, err := s.store.List(ctx, partPrefix)
	if err != nil {
		return 0, fmt.Errorf("list parts: %w", err)
	}
	head, _, err := readHead(ctx, s.store)
	if err != nil {
		return 0, err
	}
	used := make(map[string]bool)
	for _, record := range head.Records {
		for _, part := range record.Parts {
			used[part.Digest] = true
		}
	}
	found := make(map[string]infra.Version)
	for _, entry := range entries {
		switch before, seen := s.found[entry.Key]; {
		case used[strings.TrimPrefix(entry.Key, partPrefix)]:
		case !seen || before != entry.Version:
			found[entry.Key] = entry.Version
		case s.store.Delete(ctx, entry.Key, entry.Version) == nil:
			deleted++
		}
	}
	s.found = found
	return deleted, nil
}
