package ledger

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// errOutcomeUnknown means that a record may or may not have taken effect; errNotWritten means that it
// certainly has not.
var (
	errOutcomeUnknown = errors.New("record may have been written")
	errNotWritten     = errors.New("record not written")
)

// operation is one record that a caller submitted to a journal.
type operation struct {
	record *ledgerpb.Record
	ctx    context.Context
	// forwarded means that another instance sent the operation. It is written to the store even if
	// this instance considers another member the shard's home.
	forwarded bool
	// maybeWritten means that a write of the record had an unknown outcome.
	maybeWritten bool
	done         chan operationResult
}

// operationResult is the key's holder after an operation, or the error of the operation.
type operationResult struct {
	holder *holder
	err    error
}

func newOperation(ctx context.Context, record *ledgerpb.Record, forwarded bool) *operation {
	return &operation{record: record, ctx: ctx, forwarded: forwarded, done: make(chan operationResult, 1)}
}

func (o *operation) complete(held *holder) { o.done <- operationResult{holder: held} }

// fail completes the operation with an error that wraps errOutcomeUnknown or errNotWritten.
func (o *operation) fail(err error) {
	if o.maybeWritten {
		err = fmt.Errorf("%w: %v", errOutcomeUnknown, err)
	} else {
		err = fmt.Errorf("%w: %v", errNotWritten, err)
	}
	o.done <- operationResult{err: err}
}

// journal is a set of records in the store, spread over shards. Each shard's head document is
// written by compare-and-swap only, which makes the store the authority: a record takes effect if
// and only if a head that holds it is written.
type journal struct {
	family         string // part of its store keys, and its name in Commit calls
	parts          Parts
	shards         []*shard
	retention      time.Duration // of records, without the clock skew
	commitInterval time.Duration // minimum time between two writes of a shard
	suspects       *suspects
}

func newJournal(parts Parts, family string, shards int, retention, commitInterval time.Duration) *journal {
	j := &journal{family: family, parts: parts, retention: retention, commitInterval: commitInterval, suspects: newSuspects()}
	for i := range shards {
		j.shards = append(j.shards, newShard(j, i))
	}
	return j
}

// submit adds a record to its shard's queue and waits for the result until ctx ends. Errors wrap
// errOutcomeUnknown or errNotWritten.
func (j *journal) submit(ctx context.Context, record *ledgerpb.Record) (*holder, error) {
	op := newOperation(ctx, record, false)
	j.shardOf(recordKey(record.Key)).enqueue(op)
	return op.wait()
}

// wait returns the operation's result. If the context ends first, it returns errOutcomeUnknown: the
// record may be in a batch.
func (o *operation) wait() (*holder, error) {
	select {
	case result := <-o.done:
		return result.holder, result.err
	case <-o.ctx.Done():
		return nil, fmt.Errorf("%w: %v", errOutcomeUnknown, o.ctx.Err())
	}
}

func (j *journal) shardOf(key recordKey) *shard {
	return j.shards[binary.BigEndian.Uint64(key[:8])%uint64(len(j.shards))]
}

// commit serves Commit: it writes a batch that another instance sent to this one as the shard's
// home.
func (j *journal) commit(ctx context.Context, request *ledgerpb.CommitRequest) (*ledgerpb.CommitResponse, error) {
	if int(request.Shard) >= len(j.shards) {
		return nil, fmt.Errorf("journal %q has no shard %d", j.family, request.Shard)
	}
	operations := make([]*operation, 0, len(request.Records))
	for _, record := range request.Records {
		if len(record.Key) != hashBytes {
			return nil, fmt.Errorf("record key of journal %q has %d bytes, want %d", j.family, len(record.Key), hashBytes)
		}
		operations = append(operations, newOperation(ctx, record, true))
	}
	j.shards[request.Shard].enqueue(operations...)
	response := &ledgerpb.CommitResponse{}
	for _, op := range operations {
		response.Results = append(response.Results, resultOf(op.wait()))
	}
	return response, nil
}

func resultOf(held *holder, err error) *ledgerpb.CommitResult {
	result := &ledgerpb.CommitResult{Status: ledgerpb.CommitResult_SETTLED}
	switch {
	case errors.Is(err, errNotWritten):
		result.Status = ledgerpb.CommitResult_UNAVAILABLE
	case err != nil:
		result.Status = ledgerpb.CommitResult_UNKNOWN
	case held != nil:
		result.Found = &ledgerpb.Record{Nonce: held.nonce[:], Digest: held.digest, Value: held.value, At: held.createdAt}
		result.Finished = held.finished
	}
	return result
}

func holderOf(result *ledgerpb.CommitResult) *holder {
	if result.Found == nil {
		return nil
	}
	found := result.Found
	return &holder{nonce: nonceOf(found.Nonce), digest: found.Digest, value: found.Value, finished: result.Finished, createdAt: found.At}
}

func (j *journal) count(event string) {
	j.parts.Counters.Add("plumbarrow_ledger_"+j.family+"_total", "event", event)
}

// shard serializes this instance's operations on one shard. Its worker goroutine runs while
// operations are queued.
type shard struct {
	journal *journal
	number  int
	key     string // of the head document

	mu      sync.Mutex
	queue   []*operation
	running bool

	// Only the worker goroutine uses the fields below.
	loaded     bool
	version    infra.StoreVersion
	head       *ledgerpb.Head
	index      *index
	indexed    map[uint64]struct{} // ids of the sealed segments that the index holds
	lastCommit time.Time           // start of the last commit
}

func newShard(j *journal, number int) *shard {
	return &shard{
		journal: j,
		number:  number,
		key:     "ledger/" + j.family + "/" + strconv.Itoa(number),
		head:    &ledgerpb.Head{},
		index:   newIndex(j.retention + j.parts.Settings.clockSkew()),
		indexed: make(map[uint64]struct{}),
	}
}

// enqueue adds operations to the queue and starts the worker if it isn't running.
func (s *shard) enqueue(operations ...*operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, operations...)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// maxBatchBytes bounds the size of one batch's records. After an outage many outcomes may be queued,
// and the head must not exceed the largest value of the store.
const maxBatchBytes = infra.MaxValueBytes / 4

// nextBatch returns the next queued operations whose callers still wait. If there are none, it
// returns nil and marks the worker as stopped.
func (s *shard) nextBatch() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch []*operation
	size := 0
	for len(s.queue) > 0 && size < maxBatchBytes {
		op := s.queue[0]
		s.queue = s.queue[1:]
		if op.ctx.Err() != nil {
			continue
		}
		batch = append(batch, op)
		size += sizeOf(op.record)
	}
	s.running = len(batch) > 0
	return batch
}

// run completes the queued operations in batches, at most one per commit interval, until none are
// left.
func (s *shard) run() {
	for {
		time.Sleep(time.Until(s.lastCommit.Add(s.journal.commitInterval)))
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		if !forwarded(batch) {
			batch = s.sendToHome(batch)
		}
		if len(batch) > 0 {
			s.commit(batch)
		}
	}
}

// forwarded reports whether another instance sent any operation of the batch.
func forwarded(batch []*operation) bool {
	for _, op := range batch {
		if op.forwarded {
			return true
		}
	}
	return false
}
