package upstream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream/upstreampb"
)

const (
	// peerLoadTTL is how long a peer's reported load is counted: several exchange intervals.
	peerLoadTTL = 2 * time.Second
	// peerLoadFresh is the age up to which a peer's report counts in full: an exchange interval. Small fleets report
	// more often; in large ones two instances exchange loads only every few seconds, and the endpoint works on the
	// reported prompts meanwhile.
	peerLoadFresh = 300 * time.Millisecond
	// peerTotalAge is the age up to which the sum of the peers' loads is used again.
	peerTotalAge = 50 * time.Millisecond
)

// LoadTopic exchanges with peers the load that each instance puts on endpoints.
type LoadTopic struct {
	table *Table
}

var _ link.Topic = (*LoadTopic)(nil)

// NewLoadTopic returns a topic that sends the table's own load and stores that of peers in it.
func NewLoadTopic(table *Table) *LoadTopic { return &LoadTopic{table: table} }

// Name implements link.Topic.
func (l *LoadTopic) Name() string { return "endpoint loads" }

// Message implements link.Topic.
func (l *LoadTopic) Message(machine.Member) []byte {
	now := time.Now()
	message := &upstreampb.Loads{}
	for hash, endpoint := range l.table.view.Load().byHash {
		endpoint.mu.Lock()
		ownLoad, stated := endpoint.ownLoad, endpoint.ownStated.message(now)
		endpoint.mu.Unlock()
		if ownLoad.requests == 0 && stated == nil {
			continue
		}
		message.Endpoints = append(message.Endpoints, &upstreampb.EndpointLoad{
			Endpoint:  hash,
			Requests:  uint32(ownLoad.requests),
			WorkMs:    uint32(max(ownLoad.prefill, 0) / time.Millisecond),
			Statement: stated,
		})
	}
	data, err := proto.Marshal(message)
	if err != nil {
		l.table.log.Error("encoding endpoint loads failed", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (l *LoadTopic) Receive(from machine.Member, data []byte) {
	message := &upstreampb.Loads{}
	if err := proto.Unmarshal(data, message); err != nil {
		l.table.log.Warn("decoding endpoint loads failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	received := make(map[uint64]*upstreampb.EndpointLoad, len(message.GetEndpoints()))
	for _, entry := range message.GetEndpoints() {
		received[entry.GetEndpoint()] = entry
	}
	for hash, endpoint := range l.table.view.Load().byHash {
		entry := received[hash]
		endpoint.mu.Lock()
		peerLoad := load{requests: int(entry.GetRequests()), prefill: time.Duration(entry.GetWorkMs()) * time.Millisecond}
		endpoint.setPeer(from.ID, peerLoad, now)
		if message := entry.GetStatement(); message != nil {
			stated := receivedStatement(message, now)
			l.table.notePace(endpoint.report.Service, stated)
			if l.table.usesStatedLoads(endpoint.report.Service) {
				endpoint.observe(stated)
			}
		}
		endpoint.mu.Unlock()
	}
}
