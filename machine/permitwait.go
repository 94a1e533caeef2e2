package machine

import "time"

// permitWaitTTL is how long an instance counts as waiting after a denied request. It asks more
// often than that while it has requests waiting.
const permitWaitTTL = 60 * time.Millisecond

// permitWait is the state of an instance that waits for a permit of one endpoint.
type permitWait struct {
	firstDenied time.Time // first denial since the last grant or pause in asking
	lastDenied  time.Time // latest denial
}

// recordRequest records the outcome of a request for a permit.
func (t *permitWait) recordRequest(granted bool, now time.Time) {
	switch {
	case granted:
		*t = permitWait{}
	case !t.isWaiting(now):
		t.firstDenied, t.lastDenied = now, now
	default:
		t.lastDenied = now
	}
}

func (t *permitWait) isWaiting(now time.Time) bool { return now.Sub(t.lastDenied) < permitWaitTTL }

// precedes reports whether an instance with held permits is served before the other one: it is
// waiting, and it holds fewer permits, or as many and has waited longer.
func (t *permitWait) precedes(held int, other *permitWait, otherHeld int, now time.Time) bool {
	if !t.isWaiting(now) || held > otherHeld {
		return false
	}
	return held < otherHeld || !other.isWaiting(now) || t.firstDenied.Before(other.firstDenied)
}

// isNextInLine reports whether the requester, an instance with held permits, is served next: no
// waiting instance precedes it. Without this rule the home, which sees freed permits first, would
// grant them all to itself.
func (t *trackedEndpoint) isNextInLine(held int, requester *permitWait, now time.Time) bool {
	if t.home.wait.precedes(t.endpoint.InFlight, requester, held, now) && requester != &t.home.wait {
		return false
	}
	for _, other := range t.home.holders {
		if &other.wait != requester && other.wait.precedes(other.held, requester, held, now) {
			return false
		}
	}
	return true
}
