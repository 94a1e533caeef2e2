package entry

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/verdict"
)

// Record holds the result of one request and the decisions that led to it.
type Record struct {
	RequestID string    `json:"request_id"`
	Customer  string    `json:"customer,omitempty"`
	Route     string    `json:"route,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Received  time.Time `json:"received"`
	// DurationMS is the time from the request's arrival to the end of its answer, in milliseconds.
	DurationMS float64 `json:"duration_ms"`
	Hops       int     `json:"hops,omitempty"`
	// ForwardedTo is the entry instance of another zone that served the request.
	ForwardedTo string          `json:"forwarded_to,omitempty"`
	Verdict     verdict.Verdict `json:"verdict"`
	// Reason of the refusal; empty if the request was served.
	Reason   verdict.Reason  `json:"reason,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	Notes    []decide.Note   `json:"notes,omitempty"`
	Attempts []AttemptRecord `json:"attempts,omitempty"`
	Bill     *ledger.Bill    `json:"bill,omitempty"`
}

// AttemptRecord holds the outcome of one attempt.
type AttemptRecord struct {
	ID       string          `json:"id"`
	Endpoint string          `json:"endpoint"`
	Pool     string          `json:"pool"`
	Version  string          `json:"version,omitempty"`
	Verdict  verdict.Verdict `json:"verdict"`
	// Reason of the failure; empty if the answer was complete.
	Reason verdict.Reason `json:"reason,omitempty"`
	// Events is the number of events of a stream that were sent to the caller or buffered for rating.
	Events int `json:"events,omitempty"`
}

// Explainer returns the records of recent requests.
type Explainer interface {
	// Explain returns the record of a finished request, while this instance still keeps it.
	Explain(requestID string) (Record, bool)
}

const explainShards = 8

// explainRing keeps the most recent records. A full shard overwrites its oldest record.
type explainRing struct {
	seed   maphash.Seed
	shards [explainShards]explainShard
}

type explainShard struct {
	mu      sync.Mutex
	limit   int
	next    int // index in records of the next write
	records []Record
	byID    map[string]int
}

func newExplainRing(records int) *explainRing {
	ring := &explainRing{seed: maphash.MakeSeed()}
	for i := range ring.shards {
		ring.shards[i].limit = (records + explainShards - 1) / explainShards
		ring.shards[i].byID = make(map[string]int)
	}
	return ring
}

func (r *explainRing) shard(id string) *explainShard {
	return &r.shards[maphash.String(r.seed, id)%explainShards]
}

func (r *explainRing) add(record Record) {
	shard := r.shard(record.RequestID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.limit == 0 {
		return
	}
	if len(shard.records) < shard.limit {
		shard.records = append(shard.records, Record{})
	}
	delete(shard.byID, shard.records[shard.next].RequestID)
	shard.records[shard.next] = record
	shard.byID[record.RequestID] = shard.next
	shard.next = (shard.next + 1) % shard.limit
}

// Explain implements Explainer.
func (s *Server) Explain(requestID string) (Record, bool) {
	shard := s.explain.shard(requestID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	index, ok := shard.byID[requestID]
	if !ok {
		return Record{}, false
	}
	record := shard.records[index]
	record.Notes = slices.Clone(record.Notes)
	record.Attempts = slices.Clone(record.Attempts)
	return record, true
}
