package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
)

const (
	// settleTime is how long an endpoint must survive after the first byte of an answer for the answer's parts to count as
	// sound. An endpoint may end only after it has produced a first piece.
	settleTime = 500 * time.Millisecond
	// probeTimeout bounds a probe. probePause is the time before the second one: a process that ends may close its
	// connections before its listener.
	probeTimeout = 300 * time.Millisecond
	probePause   = 200 * time.Millisecond
)

// Ending is how an attempt ended.
type Ending uint8

// Endings of attempts.
const (
	// Closed means that the answer was complete, or that this instance gave up the attempt.
	Closed Ending = iota
	// NotRun means that the endpoint has not begun to work on the request.
	NotRun
	// Refused means that the endpoint's address refused the connection.
	Refused
	// Broken means that the connection was lost before the answer was complete.
	Broken
)

// Exposure is one attempt of a request whose prompt has shared parts. The quarantine's lock guards its fields.
type Exposure struct {
	quarantine *Quarantine
	endpoint   machine.EndpointID
	address    string
	parts      []partRef // shared ones, at the service
	sentAt     time.Time
	answeredAt time.Time // first byte of a successful answer; zero before
	endedAt    time.Time // zero while the attempt lasts
	broken     bool      // the connection was lost before the answer was complete
}

// Begin records that a request with the shared parts is sent to an endpoint of the service. End must be called on the
// result. Without parts the result is nil, on which all methods may be called.
func (q *Quarantine) Begin(endpoint machine.EndpointID, address, service string, parts []upstream.PromptPart) *Exposure {
	if len(parts) == 0 {
		return nil
	}
	now := time.Now()
	x := &Exposure{quarantine: q, endpoint: endpoint, address: address, parts: partRefs(service, parts), sentAt: now}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle(endpoint, now)
	q.open[endpoint] = append(q.open[endpoint], x)
	for _, ref := range x.parts {
		if s := q.suspects[ref.key]; s != nil {
			s.part = ref.part // a peer may not have stated it
		}
	}
	return x
}

// RecordAnswer records the first byte of a successful answer.
func (x *Exposure) RecordAnswer() {
	if x == nil {
		return
	}
	x.quarantine.mu.Lock()
	defer x.quarantine.mu.Unlock()
	x.answeredAt = time.Now()
}

// End records how the attempt ended.
func (x *Exposure) End(ending Ending) {
	if x == nil {
		return
	}
	now := time.Now()
	q := x.quarantine
	q.mu.Lock()
	x.endedAt, x.broken = now, ending == Broken
	q.mu.Unlock()
	switch ending {
	case Refused:
		q.remove(x)
		q.RecordCrash(x.endpoint, now)
	case NotRun:
		q.remove(x)
	case Broken:
		q.probe(x, now)
	case Closed:
	}
}

// remove forgets an exposure.
func (q *Quarantine) remove(x *Exposure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keep(x.endpoint, func(other *Exposure) bool { return other != x })
}

// keep filters the exposures at an endpoint. The caller holds the lock.
func (q *Quarantine) keep(endpoint machine.EndpointID, wanted func(*Exposure) bool) {
	kept := q.open[endpoint][:0]
	for _, x := range q.open[endpoint] {
		if wanted(x) {
			kept = append(kept, x)
		}
	}
	clear(q.open[endpoint][len(kept):])
	if len(kept) == 0 {
		delete(q.open, endpoint)
		return
	}
	q.open[endpoint] = kept
}

// settle removes the exposures whose endpoint has survived the answer for settleTime. Their parts count as sound. If the attempt has
// ended since, and its connection was lost or one of the parts is suspect, a probe must show first that the endpoint is alive. The
// caller holds the lock.
func (q *Quarantine) settle(endpoint machine.EndpointID, now time.Time) {
	if len(q.open[endpoint]) == 0 {
		return
	}
	q.keep(endpoint, func(x *Exposure) bool {
		if _, probing := q.probing[endpoint]; probing {
			return true
		}
		switch {
		case x.answeredAt.IsZero():
			return x.endedAt.IsZero() || now.Sub(x.endedAt) < settleTime
		case now.Sub(x.answeredAt) < settleTime:
			return true
		case x.endedAt.IsZero() || x.endedAt.Sub(x.answeredAt) >= settleTime || !x.broken && !q.anySuspect(x.parts):
			q.recordSound(x.parts, now)
			return false
		default:
			go q.probe(x, x.answeredAt.Add(settleTime))
			return now.Sub(x.answeredAt) < 2*settleTime
		}
	})
}

// exposedAt reports whether the attempt may have ended the endpoint, or was broken off by its end, at the given time.
func (x *Exposure) exposedAt(at time.Time) bool {
	if x.sentAt.After(at) {
		return false
	}
	if !x.answeredAt.IsZero() && at.Sub(x.answeredAt) > settleTime {
		return false
	}
	return x.endedAt.IsZero() || at.Sub(x.endedAt) <= settleTime
}

// probe finds out whether the endpoint of an exposure has ended, and records that or, if the exposure's answer had begun, that its
// parts are sound. at is when the connection broke or the answer settled.
func (q *Quarantine) probe(x *Exposure, at time.Time) {
	q.mu.Lock()
	_, busy := q.probing[x.endpoint]
	q.probing[x.endpoint] = struct{}{}
	q.mu.Unlock()
	if busy {
		return
	}
	go func() {
		state := q.stateOf(x.address)
		q.mu.Lock()
		delete(q.probing, x.endpoint)
		if state == alive && !x.answeredAt.IsZero() && at.Sub(x.answeredAt) >= settleTime {
			q.recordSound(x.parts, time.Now())
			q.keep(x.endpoint, func(other *Exposure) bool { return other != x })
		}
		q.mu.Unlock()
		if state == dead {
			q.RecordCrash(x.endpoint, at)
		}
	}()
}

// processState is what probes show of an endpoint's process.
type processState uint8

const (
	// unknown means that nothing answered: the path to the endpoint may be cut.
	unknown processState = iota
	alive
	dead
)

// stateOf probes an address up to twice.
func (q *Quarantine) stateOf(address string) processState {
	if q.probeOnce(address) == dead {
		return dead
	}
	time.Sleep(probePause)
	return q.probeOnce(address)
}

func (q *Quarantine) probeOnce(address string) processState {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := q.prober.Probe(ctx, address)
	switch {
	case err == nil:
		return alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return dead
	default:
		return unknown
	}
}
