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
	// newsTime is how long what an instance has learned of a part is passed on to all peers: some rounds of the exchange.
	newsTime = 5 * time.Second
	// sameCrash is how long after a known end of an endpoint a request must have been sent to count as one to its next process. It covers the
	// time that messages between instances take; an endpoint needs longer to start again.
	sameCrash = time.Second
	// maxTellings is the number of messages in which an instance passes on a piece of news. In a large fleet each peer receives it from several.
	maxTellings = 8
	// maxCrashes is the number of crashes kept for a part.
	maxCrashes = 48
)

// crash is the end of one endpoint while it worked on a request with the part.
type crash struct {
	endpoint uint64    // hash of the endpoint's id, under which it may start again
	sentAt   time.Time // when the request was sent
	endedAt  time.Time
}

// isSame reports whether both are records of the same end of an endpoint.
func (c crash) isSame(o crash) bool {
	return c.endpoint == o.endpoint && c.sentAt.Before(o.endedAt.Add(sameCrash)) && o.sentAt.Before(c.endedAt.Add(sameCrash))
}

// suspect is a part at one service under which endpoints have ended, or which was answered there while others ended elsewhere.
type suspect struct {
	part    uint64    // hash of the part alone; the suspect's key while that is unknown
	crashes []crash   // in the order in which the endpoints ended; only those after soundAt
	soundAt time.Time // when an endpoint was last seen to survive an answer to the part; zero if none was
	knownAt time.Time // when this instance learned of the first crash in crashes

	generations int       // see countGenerations
	changedAt   time.Time // when this instance learned last what peers may not know
	sequence    uint64    // of that change among the instance's changes
	tellings    int       // messages with that change
	lasting     bool      // see Quarantine.evaluate
}

// add records a crash, unless the part has proved sound since or the crash is known.
func (s *suspect) add(c crash, now time.Time) (added bool) {
	if slices.ContainsFunc(s.crashes, c.isSame) || len(s.crashes) >= maxCrashes || !c.endedAt.After(s.soundAt) {
		return false
	}
	if len(s.crashes) == 0 {
		s.knownAt = now
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, compareEnds)
	s.crashes = slices.Insert(s.crashes, at, c)
	s.generations = countGenerations(s.crashes)
	return true
}

func compareEnds(a, b crash) int { return a.endedAt.Compare(b.endedAt) }

// clear records that an endpoint survived an answer to the part at the time. It reports whether that changes anything.
func (s *suspect) clear(at time.Time) (changed bool) {
	if !at.After(s.soundAt) {
		return false
	}
	changed = s.soundAt.IsZero()
	s.soundAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.endedAt.After(at) })
	s.generations = countGenerations(s.crashes)
	return changed || len(s.crashes) != before
}

// unexplained returns the crashes that are not among the explained ones, in the order in which the endpoints ended.
func (s *suspect) unexplained(explained map[uint64][]crash) []crash {
	crashes := make([]crash, 0, len(s.crashes))
	for _, c := range s.crashes {
		if !slices.ContainsFunc(explained[c.endpoint], c.isSame) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// countGenerations counts successive crashes: those under a request that was sent after the crash counted before. Endpoints
// that end at the same time, for a reason of their own, so count once for all requests that they were serving.
func countGenerations(crashes []crash) int {
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

// missing returns how many generations more would block the part. It is less than 1 if the part is only judged once more.
func (s *suspect) missing() int { return s.required() - s.generations }

// recentlySound reports whether an answer to the part was survived shortly before the first crash.
func (s *suspect) recentlySound() bool {
	return !s.soundAt.IsZero() && len(s.crashes) > 0 && s.crashes[0].endedAt.Sub(s.soundAt) < soundMemory
}

// lastCrash returns when the last endpoint ended; zero if none did.
func (s *suspect) lastCrash() time.Time {
	if len(s.crashes) == 0 {
		return time.Time{}
	}
	return s.crashes[len(s.crashes)-1].endedAt
}

// isNews reports whether the last change is to be passed on to peers.
func (s *suspect) isNews(now time.Time) bool {
	return s.tellings < maxTellings && now.Sub(s.changedAt) < newsTime
}

// expired reports whether the suspect no longer matters. A part that has proved sound stays until peers know, and where it may be
// blocked for the sake of other services.
func (s *suspect) expired(now time.Time) bool {
	if len(s.crashes) == 0 {
		return now.Sub(s.changedAt) >= newsTime && !s.lasting
	}
	return now.Sub(s.lastCrash()) > blockTime
}

// compareSuspects orders suspects by strength of evidence, strongest first: the lasting ones, then by the generations that
// are missing, then the newest crash first.
func compareSuspects(a, b *suspect) int {
	if a.lasting != b.lasting {
		if a.lasting {
			return -1
		}
		return 1
	}
	if len(a.crashes) == 0 || len(b.crashes) == 0 {
		return cmp.Compare(len(b.crashes), len(a.crashes))
	}
	return cmp.Or(cmp.Compare(a.missing(), b.missing()), b.lastCrash().Compare(a.lastCrash()))
}
