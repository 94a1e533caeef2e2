package ledger

import (
	"context"
	"sync"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Memory is an in-memory ledger of one process, for tests of other packages.
type Memory struct {
	mu     sync.Mutex
	claims map[ClaimKey]memoryClaim
	bills  map[string]Bill
	pins   map[recordKey]contract.VersionID
}

type memoryClaim struct {
	claim   Claim
	outcome *Outcome
}

var (
	_ Claims = (*Memory)(nil)
	_ Bills  = (*Memory)(nil)
	_ Pins   = (*Memory)(nil)
)

// NewMemory returns an empty ledger.
func NewMemory() *Memory {
	return &Memory{
		claims: make(map[ClaimKey]memoryClaim),
		bills:  make(map[string]Bill),
		pins:   make(map[recordKey]contract.VersionID),
	}
}

// Claim implements Claims.
func (m *Memory) Claim(_ context.Context, claim Claim) (ClaimResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.claims[claim.Key]
	switch {
	case !ok:
		m.claims[claim.Key] = memoryClaim{claim: claim}
		return ClaimResult{Standing: Granted}, nil
	case found.claim.Digest != claim.Digest:
		return ClaimResult{Standing: Mismatch}, nil
	case found.outcome != nil:
		return ClaimResult{Standing: Finished, Outcome: *found.outcome}, nil
	default:
		return ClaimResult{Standing: InProgress, Claimer: found.claim.Claimer}, nil
	}
}

// Finish implements Claims.
func (m *Memory) Finish(_ context.Context, claim Claim, outcome Outcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome.Verdict == verdict.NotRun {
		delete(m.claims, claim.Key)
		return nil
	}
	m.claims[claim.Key] = memoryClaim{claim: claim, outcome: &outcome}
	return nil
}

// Record implements Bills.
func (m *Memory) Record(_ context.Context, bill Bill) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.bills[bill.RequestID]; !ok {
		m.bills[bill.RequestID] = bill
	}
	return nil
}

// Admit implements Bills; it admits everything.
func (m *Memory) Admit(context.Context, *contract.Customer, int64) (func(), error) {
	return func() {}, nil
}

// Bills returns the recorded bills by request id.
func (m *Memory) Bills() map[string]Bill {
	m.mu.Lock()
	defer m.mu.Unlock()
	bills := make(map[string]Bill, len(m.bills))
	for id, bill := range m.bills {
		bills[id] = bill
	}
	return bills
}

// Pin implements Pins.
func (m *Memory) Pin(_ context.Context, customer, session string, version contract.VersionID) (contract.VersionID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := hashKey(customer, session)
	if pinned, ok := m.pins[key]; ok {
		return pinned, nil
	}
	m.pins[key] = version
	return version, nil
}

// Repin implements Pins.
func (m *Memory) Repin(_ context.Context, customer, session string, from, to contract.VersionID) (contract.VersionID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := hashKey(customer, session)
	if pinned, ok := m.pins[key]; !ok || pinned == from {
		m.pins[key] = to
	}
	return m.pins[key], nil
}
