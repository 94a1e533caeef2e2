package answercheck

import "sync"

const (
	// fieldBytes is what a parsed field holds beside its text: the entry of the map, the slice of its values.
	fieldBytes = 256
	// textCopies is how often a head's text is held: as a line that arrives, as one that is parsed, and as parsed.
	textCopies = 3
	// freeBytes of each answer count for no budget, so that heads of ordinary size never fail for want of memory.
	freeBytes = 12 << 10
)

// Budget bounds what the heads of all answers together make the process hold, above what each holds anyway. nil bounds nothing. Safe for
// concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the bytes in use.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// hold is what the answers on one connection make the process hold. Its zero value has no budget.
type hold struct {
	budget *Budget

	// Guarded by budget.mu.
	bytes  int64 // of the present answer
	closed bool
}

// grow adds bytes of a head, and the field of a whole line. It returns false if the budget has no room for them.
func (h *hold) grow(text int, whole bool) bool {
	if h.budget == nil {
		return true
	}
	more := int64(text) * textCopies
	if whole {
		more += fieldBytes
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	charge := charged(h.bytes+more) - charged(h.bytes)
	if h.closed || charge > 0 && h.budget.held+charge > h.budget.limit {
		return false
	}
	h.bytes += more
	h.budget.held += charge
	return true
}

// charged returns the part of an answer's bytes that counts for the budget.
func charged(bytes int64) int64 { return max(bytes-freeBytes, 0) }

// release gives back what is held; closes says that nothing more may be held.
func (h *hold) release(closes bool) {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.held -= charged(h.bytes)
	h.bytes, h.closed = 0, h.closed || closes
}
