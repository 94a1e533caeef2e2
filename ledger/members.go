package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"plumbarrow.example/plumbarrow/machine"
)

// suspectTTL is how long a member that failed a call is not called again.
const suspectTTL = 2 * time.Second

// ranked returns up to n members in the order in which they should serve the key, by rendezvous
// hashing over their ids.
func ranked(members []machine.Member, key string, n int) []machine.Member {
	left := slices.Clone(members)
	var order []machine.Member
	for len(order) < n && len(left) > 0 {
		names := make([]string, len(left))
		for i, member := range left {
			names[i] = string(member.ID)
		}
		first := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		i := slices.Index(names, first)
		order = append(order, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return order
}

// suspects holds the members that recently failed a call. Safe for concurrent use.
type suspects struct {
	mu    sync.Mutex
	until map[machine.Incarnation]time.Time // end of the suspicion
}

func newSuspects() *suspects { return &suspects{until: make(map[machine.Incarnation]time.Time)} }

// add makes the member a suspect for suspectTTL and removes expired entries.
func (s *suspects) add(member machine.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for incarnation, until := range s.until {
		if now.After(until) {
			delete(s.until, incarnation)
		}
	}
	s.until[member.Incarnation] = now.Add(suspectTTL)
}

// has reports whether the member failed a call within suspectTTL.
func (s *suspects) has(member machine.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until[member.Incarnation])
}
