package intake

import (
	"cmp"
	"time"
)

// stallTime is the time without a byte after which an arriving request counts as stalled. It is well above the pauses that a lost packet
// causes.
const stallTime = time.Second

// blockedTime is the time of one write to a caller after which the caller counts as not reading. A slow link takes a buffer of the server's in
// less.
const blockedTime = 3 * time.Second

// stage is what a connection is doing.
type stage uint8

const (
	idle      stage = iota // no byte of a request has arrived
	inHead                 // a part of the request's head has arrived
	inBody                 // the head is whole, the body is not
	inService              // the request is whole, and may be running at an endpoint
	refused                // the request is refused before it was whole, and its connection will be closed
)

// holding is what the decision on evictions knows of one connection.
type holding struct {
	stage      stage
	bytes      int64
	progressAt time.Time // of the last byte received, or of the end of the last request
	writingAt  time.Time // begin of the write in progress; zero without one
	served     bool      // a request on the connection was answered
}

func (h holding) arriving() bool { return h.stage == inHead || h.stage == inBody }

func (h holding) stalled(now time.Time) bool {
	return h.arriving() && now.Sub(h.progressAt) > stallTime
}

// kept reports whether the caller keeps a connection for its next request, which may be on its way.
func (h holding) kept() bool { return h.stage == idle && h.served }

// blocked reports whether the caller does not read its answer.
func (h holding) blocked(now time.Time) bool {
	return h.stage == inService && !h.writingAt.IsZero() && now.Sub(h.writingAt) > blockedTime
}

// shortage is the resource that is used up.
type shortage uint8

const (
	ofBytes     shortage = iota
	ofIdleBytes          // bytes, of which idle connections hold the larger part
	ofConnections
)

// evictBefore reports whether a goes before b where the resource is used up and both yield.
func evictBefore(a, b holding, short shortage, now time.Time) bool {
	switch {
	case (a.stage == refused) != (b.stage == refused):
		return a.stage == refused
	case a.blocked(now) != b.blocked(now):
		return b.blocked(now) // its request has run
	case a.blocked(now):
		return a.writingAt.Before(b.writingAt)
	case a.stalled(now) != b.stalled(now):
		return a.stalled(now)
	case short == ofConnections && a.kept() != b.kept():
		return b.kept()
	case short == ofConnections && a.arriving() != b.arriving():
		return b.arriving() // the caller of an idle connection only has to open a new one
	case short != ofConnections && a.bytes != b.bytes:
		return cmp.Less(b.bytes, a.bytes)
	default:
		return a.progressAt.Before(b.progressAt)
	}
}

// yieldsTo reports whether a connection makes room for wanting, whose bytes include those that it asks for, where the resource is used up.
func (h holding) yieldsTo(wanting holding, short shortage, now time.Time) bool {
	switch h.stage {
	case inService:
		return h.blocked(now)
	case refused:
		return short == ofConnections // it holds no bytes but the connection's
	default:
	}
	if h.stage == idle && wanting.arriving() && short == ofBytes {
		// A connection whose first byte, or next request, is on its way is not what uses up the bytes.
		return !h.served && now.Sub(h.progressAt) > stallTime
	}
	return short == ofConnections || wanting.stage == inService || h.stage == idle || h.stalled(now) || h.bytes > wanting.bytes
}
