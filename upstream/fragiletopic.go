package upstream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream/upstreampb"
)

// hundredths is the unit in which room is sent to peers.
const hundredths = 100

// ToleranceTopic exchanges with peers the tolerances that endpoints state and the room found at them, as an instance has to know them
// before its own first answer.
type ToleranceTopic struct {
	table *Table
}

var _ link.Topic = (*ToleranceTopic)(nil)

// NewToleranceTopic returns a topic that exchanges the tolerances known to the table.
func NewToleranceTopic(table *Table) *ToleranceTopic { return &ToleranceTopic{table: table} }

// Name implements link.Topic.
func (l *ToleranceTopic) Name() string { return "endpoint tolerances" }

// Message implements link.Topic.
func (l *ToleranceTopic) Message(machine.Member) []byte {
	t, now := l.table, time.Now()
	t.currentSharers(now)
	if !t.fragile.any.Load() {
		return nil
	}
	message := &upstreampb.Tolerances{}
	for hash, endpoint := range t.view.Load().byHash {
		endpoint.mu.Lock()
		f := endpoint.fragility
		endpoint.mu.Unlock()
		if entry := f.message(hash, now); entry != nil {
			message.Endpoints = append(message.Endpoints, entry)
		}
	}
	if len(message.Endpoints) == 0 {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil {
		t.log.Error("encoding endpoint tolerances failed", "error", err)
		return nil
	}
	return data
}

// message returns what is sent to peers; nil if there is nothing that counts.
func (f *fragility) message(hash uint64, now time.Time) *upstreampb.EndpointTolerance {
	age := now.Sub(f.stated.at)
	if f.stated.at.IsZero() || !f.stated.counts(now) && (f.stated.stated || age > endedToleranceTTL) {
		return nil
	}
	entry := &upstreampb.EndpointTolerance{Endpoint: hash, AgeMs: uint32(age.Milliseconds())}
	if !f.stated.stated {
		return entry
	}
	entry.Rejections = proto.Uint32(uint32(min(f.stated.rejections, maxTolerance)))
	if !f.cutAt.IsZero() {
		entry.Room, entry.RejectionAgeMs = uint32(f.room*hundredths), uint32(now.Sub(f.cutAt).Milliseconds())
	}
	return entry
}

// Receive implements link.Topic.
func (l *ToleranceTopic) Receive(from machine.Member, data []byte) {
	message := &upstreampb.Tolerances{}
	if err := proto.Unmarshal(data, message); err != nil {
		l.table.log.Warn("decoding endpoint tolerances failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	byHash := l.table.view.Load().byHash
	for _, entry := range message.GetEndpoints() {
		if endpoint := byHash[entry.GetEndpoint()]; endpoint != nil {
			l.table.adoptTolerance(endpoint, entry, now)
		}
	}
}

// adoptTolerance takes over what a peer knows of an endpoint where it is newer.
func (t *Table) adoptTolerance(e *Endpoint, entry *upstreampb.EndpointTolerance, now time.Time) {
	received := tolerance{
		rejections: int(entry.GetRejections()), stated: entry.Rejections != nil, at: now.Add(-time.Duration(entry.GetAgeMs()) * time.Millisecond),
	}
	instances := len(t.currentSharers(now))
	e.mu.Lock()
	f := &e.fragility
	cutAt := now.Add(-time.Duration(entry.GetRejectionAgeMs()) * time.Millisecond)
	if room := float64(entry.GetRoom()) / hundredths; room > 0 && cutAt.After(f.cutAt) {
		f.cut(min(room, f.places(e.report.Slots, now)), cutAt)
		f.hold = roomHold(received.rejections, instances)
		t.fragile.of(e.report.Service).recordCut(f.roomCut, e.report.Slots)
	}
	newer := received.at.After(f.stated.at)
	if newer {
		f.stated = received
	}
	service := e.report.Service
	e.mu.Unlock()
	if newer {
		t.noteTolerance(service, received, received.at, now)
	}
}
