package upstream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream/upstreampb"
)

const (
	// minStatedRate replaces lower limits, in requests per second. Only answers tell that a limit has ended.
	minStatedRate = 0.25
	// A limit is split over statedUsersPerRate instances for each request per second, and minStatedUsers more. Each of them may have one
	// request saved up. With more instances these would exceed the limit in a burst; with fewer, one instance that others
	// don't see would.
	statedUsersPerRate = 2
	minStatedUsers     = 4
	// endedLimitTTL is how long instances tell each other that a limit has ended.
	endedLimitTTL = time.Minute
)

// statedLimit is the request rate that an endpoint in need states in its answers.
type statedLimit struct {
	rate float64 // requests per second from all instances together
	// inForce is false if the endpoint has stated no limit or has ceased to.
	inForce    bool
	observedAt time.Time // of the answer that this is known from; zero if there was none
}

// setLimit replaces the stated limit. A limit that comes into force begins without saved requests. The caller holds the lock.
func (e *Endpoint) setLimit(limit statedLimit) {
	if limit.inForce && !e.statedLimit.inForce {
		e.limiter = pacer{}
	}
	e.statedLimit = limit
}

// ownStatedRate returns the rate at which this instance may use an endpoint that states a limit. The caller holds the lock.
func (t *Table) ownStatedRate(e *Endpoint) float64 {
	return e.limitShare.of(instanceStatedRate, e.hash, max(e.statedLimit.rate, minStatedRate), t.self, t.members.Live())
}

// instanceStatedRate returns this instance's part of a stated limit. It is a splitFunc.
func instanceStatedRate(endpoint uint64, rate float64, self machine.InstanceID, members []machine.Member) float64 {
	return splitRate(endpoint, rate, minStatedUsers+int(statedUsersPerRate*rate), self, members)
}

// RecordRateLimit records the limit that the endpoint's answer states, or that it states none. An answer without a limit only ends one
// that was observed before the request was sent, so that answers that overtake each other do not.
func (g *Grant) RecordRateLimit(rate float64, stated bool) {
	now := time.Now()
	e := g.Endpoint
	e.mu.Lock()
	before := e.statedLimit
	ends := before.inForce && !stated && g.startedAt.After(before.observedAt)
	if stated || ends {
		e.setLimit(statedLimit{rate: rate, inForce: stated, observedAt: now})
	}
	e.mu.Unlock()
	switch {
	case stated && (!before.inForce || before.rate != rate):
		g.table.log.Info("endpoint states a limit", "endpoint", e.id, "service", g.Report.Service, "requests_per_second", rate)
		g.table.counters.Inc("plumbarrow_stated_limits_total")
	case ends:
		g.table.log.Info("endpoint states no limit any more", "endpoint", e.id, "service", g.Report.Service)
	}
}

// LimitTopic exchanges with peers the limits that endpoints state, as instances without a part of a limit see no answers of
// the endpoint.
type LimitTopic struct {
	table *Table
}

var _ link.Topic = (*LimitTopic)(nil)

// NewLimitTopic returns a topic that exchanges the limits known to the table.
func NewLimitTopic(table *Table) *LimitTopic { return &LimitTopic{table: table} }

// Name implements link.Topic.
func (l *LimitTopic) Name() string { return "endpoint limits" }

// Message implements link.Topic.
func (l *LimitTopic) Message(machine.Member) []byte {
	now := time.Now()
	message := &upstreampb.Limits{}
	for hash, endpoint := range l.table.view.Load().byHash {
		endpoint.mu.Lock()
		limit := endpoint.statedLimit
		endpoint.mu.Unlock()
		age := now.Sub(limit.observedAt)
		if limit.observedAt.IsZero() || !limit.inForce && age > endedLimitTTL {
			continue
		}
		entry := &upstreampb.EndpointLimit{Endpoint: hash, AgeMs: uint32(age.Milliseconds())}
		if limit.inForce {
			entry.Rate = proto.Float64(limit.rate)
		}
		message.Endpoints = append(message.Endpoints, entry)
	}
	if len(message.Endpoints) == 0 {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		l.table.log.Error("encoding endpoint limits failed", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (l *LimitTopic) Receive(from machine.Member, data []byte) {
	message := &upstreampb.Limits{}
	if err := proto.Unmarshal(data, message); err != nil {
		l.table.log.Warn("decoding endpoint limits failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	byHash := l.table.view.Load().byHash
	for _, entry := range message.GetEndpoints() {
		endpoint := byHash[entry.GetEndpoint()]
		if endpoint == nil {
			continue
		}
		observedAt := now.Add(-time.Duration(entry.GetAgeMs()) * time.Millisecond)
		endpoint.mu.Lock()
		if observedAt.After(endpoint.statedLimit.observedAt) {
			endpoint.setLimit(statedLimit{rate: entry.GetRate(), inForce: entry.Rate != nil, observedAt: observedAt})
		}
		endpoint.mu.Unlock()
	}
}
