package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// group is one part at all services. A part that crashes the endpoints of one service is expected to crash those of any other, unless these
// have answered it: routes may move between services.
type group struct {
	part     uint64
	evidence *suspect // the crashes at services that have not answered the part, and at those where so many ended that an answer does not count
	sound    []uint64 // keys of the part at the services that answered it, and where few have ended since
}

// groupSuspects returns the parts under which endpoints have ended one after the other, at all services together.
func groupSuspects(suspects map[uint64]*suspect) []*group {
	crashes := make(map[uint64]int, len(suspects))
	for _, s := range suspects {
		crashes[s.part] += len(s.crashes)
	}
	members := make(map[uint64][]uint64)
	for key, s := range suspects {
		if crashes[s.part] > 1 {
			members[s.part] = append(members[s.part], key)
		}
	}
	var groups []*group
	for part, keys := range members {
		slices.Sort(keys)
		if g := newGroup(part, keys, suspects); g.evidence.generations > 1 {
			groups = append(groups, g)
		}
	}
	return groups
}

func newGroup(part uint64, keys []uint64, suspects map[uint64]*suspect) *group {
	g := &group{part: part, evidence: &suspect{part: part}}
	var answered []uint64
	for _, key := range keys {
		s := suspects[key]
		if s.recentlySound() && s.missing() > 0 || len(s.crashes) == 0 {
			answered = append(answered, key)
			continue
		}
		g.evidence.merge(s)
	}
	if len(g.evidence.crashes) == 0 { // no service without answers
		for _, key := range answered {
			g.evidence.merge(suspects[key])
		}
		return g
	}
	for _, key := range answered {
		if g.answerCounts(suspects[key].soundAt) {
			g.sound = append(g.sound, key)
		}
	}
	return g
}

// answerCounts reports whether a service's answer to the part is recent enough for the part not to be blocked there.
func (g *group) answerCounts(at time.Time) bool {
	return !at.IsZero() && len(g.evidence.crashes) > 0 && g.evidence.crashes[0].endedAt.Sub(at) < soundMemory
}

// merge adds what is known of the same part at another service.
func (s *suspect) merge(o *suspect) {
	if len(o.crashes) == 0 {
		return
	}
	if s.knownAt.IsZero() || o.knownAt.Before(s.knownAt) {
		s.knownAt = o.knownAt
	}
	if o.recentlySound() && o.soundAt.After(s.soundAt) {
		s.soundAt = o.soundAt
	}
	s.crashes = append(slices.Clone(s.crashes), o.crashes...)
	slices.SortFunc(s.crashes, compareEnds)
	s.generations = countGenerations(s.crashes)
}

// blockedParts are the parts to block. Immutable.
type blockedParts struct {
	until map[uint64]time.Time // end of the blocking, by part
	sound map[uint64]bool      // keys of parts at services for which they are not blocked
}

// find returns the end of a part's blocking at a service; false if it is not blocked there.
func (b *blockedParts) find(ref partRef) (until time.Time, found bool) {
	if b.sound[ref.key] {
		return time.Time{}, false
	}
	if until, found = b.until[ref.part]; !found {
		until, found = b.until[ref.key] // from a peer that does not state the part alone
	}
	return until, found
}

// judge returns the parts to block. An endpoint that ends breaks off all its requests, so that sound parts are suspect too. As in a greedy set
// cover, the part with most crashes is taken first and explains them; the other parts are judged by the rest.
func judge(groups []*group, now time.Time) *blockedParts {
	blocked := &blockedParts{until: make(map[uint64]time.Time), sound: make(map[uint64]bool)}
	explained := make(map[uint64][]crash) // by endpoint
	open := slices.DeleteFunc(slices.Clone(groups), func(g *group) bool {
		return g.evidence.missing() > 0 || now.Sub(g.evidence.knownAt) < objectionTime
	})
	for {
		best := worst(open, explained)
		if best == nil {
			return blocked
		}
		open = slices.DeleteFunc(open, func(g *group) bool { return g == best })
		blocked.until[best.part] = best.evidence.lastCrash().Add(blockTime)
		for _, key := range best.sound {
			blocked.sound[key] = true
		}
		for _, c := range best.evidence.crashes {
			explained[c.endpoint] = append(explained[c.endpoint], c)
		}
	}
}

// candidate is a part that may be blocked.
type candidate struct {
	group    *group
	crashes  int
	required int
}

// worst returns the part to block next; nil if there is none.
func worst(groups []*group, explained map[uint64][]crash) *group {
	var candidates []candidate
	for _, g := range groups {
		crashes := g.evidence.unexplained(explained)
		if len(crashes) == 0 {
			continue
		}
		if required := g.evidence.required(); countGenerations(crashes) >= required {
			candidates = append(candidates, candidate{g, len(crashes), required})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.required, b.required), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.group.part, b.group.part))
	}).group
}
