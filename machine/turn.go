package machine

import "time"

// turnFor is how long an instance that got no permit is waited for. It asks more often than that
// while it has requests waiting.
const turnFor = 60 * time.Millisecond

// turn is an instance's place among those that wait for a permit of one endpoint.
type turn struct {
	since time.Time // of the first request in vain since the last permit
	last  time.Time // of the last one
}

// asked notes the answer to a request for a permit.
func (t *turn) asked(granted bool, now time.Time) {
	switch {
	case granted:
		*t = turn{}
	case !t.waits(now):
		t.since, t.last = now, now
	default:
		t.last = now
	}
}

func (t *turn) waits(now time.Time) bool { return now.Sub(t.last) < turnFor }

// before says whether an instance with held permits goes before the other one: it waits, and it
// holds fewer, or as many and has waited for longer.
func (t *turn) before(held int, other *turn, otherHeld int, now time.Time) bool {
	if !t.waits(now) || held > otherHeld {
		return false
	}
	return held < otherHeld || !other.waits(now) || t.since.Before(other.since)
}

// fair says whether an instance with held permits may get one more before those that wait.
// Without this the home, which sees freed permits first, would keep them to itself.
func (t *tracked) fair(held int, asker *turn, now time.Time) bool {
	if t.home.turn.before(t.endpoint.InFlight, asker, held, now) && asker != &t.home.turn {
		return false
	}
	for _, one := range t.home.holders {
		if &one.turn != asker && one.turn.before(one.held, asker, held, now) {
			return false
		}
	}
	return true
}
