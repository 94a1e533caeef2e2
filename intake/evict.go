package intake

import (
	"cmp"
	"time"
)

// stallTime is the time without a byte after which an arriving request counts as stalled. It is well above the pauses that a lost packet
// causes.
const stallTime = time.Second

// stage is what a connection is doing.
type stage uint8

const (
	idle      stage = iota // no byte of a request has arrived
	inHead                 // a part of the request's head has arrived
	inBody                 // the head is whole, the body is not
	inService              // the request is whole or refused, and may be running at an endpoint
)

// holding is what the decision on evictions knows of one connection.
type holding struct {
	stage      stage
	bytes      int64
	progressAt time.Time // of the last byte received, or of the end of the last request
}

func (h holding) arriving() bool { return h.stage == inHead || h.stage == inBody }

func (h holding) stalled(now time.Time) bool {
	return h.arriving() && now.Sub(h.progressAt) > stallTime
}

// shortage is the resource that is used up.
type shortage uint8

const (
	ofBytes shortage = iota
	ofConnections
)

// evictBefore reports whether a goes before b where the resource is used up and both yield.
func evictBefore(a, b holding, short shortage, now time.Time) bool {
	switch {
	case a.stalled(now) != b.stalled(now):
		return a.stalled(now)
	case short == ofConnections && a.arriving() != b.arriving():
		return b.arriving() // the caller of an idle connection only has to open a new one
	case short == ofBytes && a.bytes != b.bytes:
		return cmp.Less(b.bytes, a.bytes)
	default:
		return a.progressAt.Before(b.progressAt)
	}
}

// yieldsTo reports whether a connection makes room for wanting, whose bytes include those that it asks for, where the resource is used up.
func (h holding) yieldsTo(wanting holding, short shortage, now time.Time) bool {
	if h.stage == inService {
		return false
	}
	return short == ofConnections || wanting.stage == inService || h.stage == idle || h.stalled(now) || h.bytes > wanting.bytes
}
