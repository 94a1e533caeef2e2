package upstream

import (
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream/upstreampb"
)

// peerLoadAge is how long a peer's load counts after its last word: some exchange intervals.
const peerLoadAge = 2 * time.Second

// LoadTopic tells peers the load that this instance causes at endpoints, and takes theirs.
type LoadTopic struct {
	table *Table
}

var _ link.Topic = (*LoadTopic)(nil)

// NewLoadTopic returns the topic of a table.
func NewLoadTopic(table *Table) *LoadTopic { return &LoadTopic{table: table} }

// Name implements link.Topic.
func (l *LoadTopic) Name() string { return "endpoint loads" }

// Message implements link.Topic.
func (l *LoadTopic) Message(machine.Member) []byte {
	message := &upstreampb.Loads{}
	for hash, endpoint := range l.table.view.Load().byHash {
		endpoint.mu.Lock()
		own := endpoint.own
		endpoint.mu.Unlock()
		if own.requests == 0 {
			continue
		}
		message.Endpoints = append(message.Endpoints, &upstreampb.EndpointLoad{
			Endpoint: hash,
			Requests: uint32(own.requests),
			WorkMs:   uint32(max(own.prefill, 0) / time.Millisecond),
		})
	}
	data, err := proto.Marshal(message)
	if err != nil {
		l.table.log.Error("loads not encoded", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (l *LoadTopic) Receive(from machine.Member, data []byte) {
	message := &upstreampb.Loads{}
	if err := proto.Unmarshal(data, message); err != nil {
		l.table.log.Warn("loads not decoded", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	told := make(map[uint64]load, len(message.GetEndpoints()))
	for _, one := range message.GetEndpoints() {
		told[one.GetEndpoint()] = load{requests: int(one.GetRequests()), prefill: time.Duration(one.GetWorkMs()) * time.Millisecond}
	}
	for hash, endpoint := range l.table.view.Load().byHash {
		endpoint.mu.Lock()
		if load, ok := told[hash]; ok {
			endpoint.peers[from.ID] = peerLoad{load: load, at: now}
		} else {
			delete(endpoint.peers, from.ID)
		}
		endpoint.mu.Unlock()
	}
}
