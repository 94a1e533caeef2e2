package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minGenerations is the number of successive crashes from which a part is blocked. It is below the number of crashes
	// from which the platform requires the part to be out of service.
	minGenerations = 3
	// minGenerationsSound replaces minGenerations for a part that endpoints answered shortly before.
	minGenerationsSound = 8
	// soundMemory is how long a part counts as recently answered.
	soundMemory = 30 * time.Second
	// objectionTime is how long a part must have been suspect before it is blocked. Peers that have seen it answered
	// report so within this time.
	objectionTime = time.Second
	// blockTime is how long a part stays blocked after its last crash.
	blockTime = 10 * time.Minute
	// maxCrashes is the number of crashes kept for a part; maxSuspects the number of suspects.
	maxCrashes  = 48
	maxSuspects = 256
)

// crash is the end of one endpoint while it worked on a request with the part.
type crash struct {
	sentAt  time.Time // when the request was sent
	endedAt time.Time
}

// suspect is a part under which endpoints have ended.
type suspect struct {
	crashes map[uint64]crash // by hash of the endpoint's id; only those after soundAt
	soundAt time.Time        // when an endpoint was last seen to survive an answer to the part; zero if none was
	knownAt time.Time        // when this instance learned of the first crash in crashes
}

// add records a crash, unless the part has proved sound since or the crash is known.
func (s *suspect) add(endpoint uint64, c crash, now time.Time) (added bool) {
	if _, known := s.crashes[endpoint]; known || len(s.crashes) >= maxCrashes || !c.endedAt.After(s.soundAt) {
		return false
	}
	if len(s.crashes) == 0 {
		s.knownAt = now
	}
	s.crashes[endpoint] = c
	return true
}

// clear records that an endpoint survived an answer to the part at the time. It reports whether that changes anything.
func (s *suspect) clear(at time.Time) (changed bool) {
	if !at.After(s.soundAt) {
		return false
	}
	changed = s.soundAt.IsZero()
	s.soundAt = at
	for endpoint, c := range s.crashes {
		if !c.endedAt.After(at) {
			delete(s.crashes, endpoint)
			changed = true
		}
	}
	return changed
}

// unexplained returns the crashes at endpoints outside explained, in the order in which the endpoints ended.
func (s *suspect) unexplained(explained map[uint64]bool) []crash {
	crashes := make([]crash, 0, len(s.crashes))
	for endpoint, c := range s.crashes {
		if !explained[endpoint] {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b crash) int { return a.endedAt.Compare(b.endedAt) })
	return crashes
}

// generations counts successive crashes: those under a request that was sent after the crash counted before. Endpoints
// that end at the same time, for a reason of their own, so count once for all requests that they were serving.
func generations(crashes []crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if count == 0 || !c.sentAt.Before(last) {
			count++
			last = c.endedAt
		}
	}
	return count
}

// required returns the number of generations from which the part is blocked.
func (s *suspect) required() int {
	if s.recentlySound() {
		return minGenerationsSound
	}
	return minGenerations
}

// recentlySound reports whether an answer to the part was survived shortly before the first crash.
func (s *suspect) recentlySound() bool {
	if s.soundAt.IsZero() {
		return false
	}
	for _, c := range s.crashes {
		if c.endedAt.Sub(s.soundAt) < soundMemory {
			return true
		}
	}
	return false
}

// lastCrash returns when the last endpoint ended; zero if none did.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.endedAt.After(last) {
			last = c.endedAt
		}
	}
	return last
}

// expired reports whether the suspect no longer matters.
func (s *suspect) expired(now time.Time) bool {
	if len(s.crashes) == 0 {
		return now.Sub(s.soundAt) > soundMemory
	}
	return now.Sub(s.lastCrash()) > blockTime
}

// candidate is a suspect that may be blocked.
type candidate struct {
	part     uint64
	crashes  int
	required int
}

// blockedParts returns the parts to block, with the end of their blocking. An endpoint that ends breaks off all its requests, so
// that sound parts are suspect too. As in a greedy set cover, the part with most crashes is taken first and explains
// them; the other parts are judged by the rest.
func blockedParts(suspects map[uint64]*suspect, now time.Time) map[uint64]time.Time {
	blocked := make(map[uint64]time.Time)
	explained := make(map[uint64]bool)
	for {
		best, ok := worst(suspects, blocked, explained, now)
		if !ok {
			return blocked
		}
		s := suspects[best]
		blocked[best] = s.lastCrash().Add(blockTime)
		for endpoint := range s.crashes {
			explained[endpoint] = true
		}
	}
}

// worst returns the suspect to block next; false if there is none.
func worst(suspects map[uint64]*suspect, blocked map[uint64]time.Time, explained map[uint64]bool, now time.Time) (uint64, bool) {
	var candidates []candidate
	for part, s := range suspects {
		if _, done := blocked[part]; done || now.Sub(s.knownAt) < objectionTime {
			continue
		}
		crashes := s.unexplained(explained)
		if len(crashes) == 0 {
			continue
		}
		if required := s.required(); generations(crashes) >= required {
			candidates = append(candidates, candidate{part, len(crashes), required})
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.required, b.required), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.part, b.part))
	}).part, true
}
