package ledger

import (
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// billQueue holds the bills of this incarnation that the store does not hold yet, in the order of
// their numbers.
type billQueue struct {
	limit int // upper bound of pending bills plus admitted requests

	mu         sync.Mutex
	last       uint64 // number of the newest bill
	applied    uint64 // the store's totals include all bills up to this number
	replicated uint64 // a second process or the store has held all bills up to this number
	pending    []*ledgerpb.HeldBill
	admitted   int               // requests in flight that may still add a bill
	numbers    map[string]uint64 // by request id, of the newest bills
	ids        []string          // ring buffer of the keys of numbers
	changed    chan struct{}     // closed and replaced when replicated grows
}

func newBillQueue(limit int) *billQueue {
	return &billQueue{limit: limit, numbers: make(map[string]uint64), changed: make(chan struct{})}
}

// admit reserves a place for one bill and reports whether the queue was below its limit.
func (q *billQueue) admit() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+q.admitted >= q.limit {
		return false
	}
	q.admitted++
	return true
}

// release ends one reservation made by admit.
func (q *billQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted--
}

// add queues a bill under the next number. If the request already has a bill, it returns that
// bill's number and added is false.
func (q *billQueue) add(bill Bill) (number uint64, added bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if number, ok := q.numbers[bill.RequestID]; ok {
		return number, false
	}
	q.last++
	held := &ledgerpb.HeldBill{
		Number:   q.last,
		Customer: bill.Customer,
		Month:    monthOf(bill.At),
		Micros:   bill.Total(),
		At:       time.Now().Unix(),
	}
	for _, line := range bill.Lines {
		held.PromptTokens += line.PromptTokens
		held.OutputTokens += line.OutputTokens
	}
	q.pending = append(q.pending, held)
	q.indexRequestID(bill.RequestID, q.last)
	return q.last, true
}

// indexRequestID records the bill number of a request id. It keeps the ids of the newest 2*limit
// bills.
func (q *billQueue) indexRequestID(id string, number uint64) {
	slots := 2 * q.limit
	slot := int(number) % slots
	if len(q.ids) <= slot {
		q.ids = append(q.ids, make([]string, slot+1-len(q.ids))...)
	}
	delete(q.numbers, q.ids[slot])
	q.ids[slot] = id
	q.numbers[id] = number
}

// progress returns the highest replicated number and a channel that is closed when it grows.
func (q *billQueue) progress() (replicated uint64, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.replicated, q.changed
}

// after returns the pending bills with higher numbers and the highest applied number.
func (q *billQueue) after(number uint64) (bills []*ledgerpb.HeldBill, applied uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, bill := range q.pending {
		if bill.Number > number {
			return append(bills, q.pending[i:]...), q.applied
		}
	}
	return nil, q.applied
}

// hasUnreplicated reports whether any bill is held by this process alone.
func (q *billQueue) hasUnreplicated() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.replicated < q.last
}

// advance records the highest numbers that a second process holds and that the store has applied.
func (q *billQueue) advance(held, applied uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if applied > q.applied {
		q.applied = min(applied, q.last)
		for len(q.pending) > 0 && q.pending[0].Number <= q.applied {
			q.pending = q.pending[1:]
		}
	}
	replicated := max(q.replicated, min(held, q.last), q.applied)
	if replicated > q.replicated {
		q.replicated = replicated
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

// oldest returns when the oldest pending bill was recorded; ok is false if none is pending.
func (q *billQueue) oldest() (at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return time.Time{}, false
	}
	return time.Unix(q.pending[0].At, 0), true
}

// len returns the number of pending bills.
func (q *billQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// monthOf returns year times 100 plus month in UTC.
func monthOf(at time.Time) uint32 {
	at = at.UTC()
	return uint32(at.Year()*100 + int(at.Month()))
}
