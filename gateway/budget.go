package gateway

import "sync"

const (
	// retryShare is how many repeats each first attempt pays for. It stays well below the platform's
	// bound, which counts the callers' own repeats at other instances too.
	retryShare = 0.7
	// retryBurst is the number of repeats that can be saved up per service.
	retryBurst = 8
)

// RetryBudget bounds this instance's repeats per service: first attempts pay tokens in, repeats take
// them out, as in Finagle's RetryBudget. Safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRetryBudget returns a budget with nothing spent.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: make(map[string]float64)} }

// Paid counts a first attempt.
func (b *RetryBudget) Paid(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.left(service)+retryShare, retryBurst)
}

// Take reports whether a repeat is within the budget, and takes it out if so.
func (b *RetryBudget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	return true
}

func (b *RetryBudget) left(service string) float64 {
	left, ok := b.tokens[service]
	if !ok {
		return retryBurst
	}
	return left
}
