// Package infra holds the narrow interfaces through which plumbarrow uses the platform's
// services (key-value store, instance list, rater, weight store) and the adapters behind them.
// Adapters do not repeat failed calls; the callers do, who know whether that is safe.
package infra

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Errors of a Store; a WeightStore returns ErrNotFound and ErrUnavailable too. Callers test them with
// errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the compare-and-swap found another version; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect; the caller must read the key to find out.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrLeaseLost means that the lease has ended or is held by another owner.
	ErrLeaseLost = errors.New("lease lost")
)

// StoreVersion orders the writes of a store; a key's version grows with each write to it and never
// repeats, not even after a deletion. 0 means that the key does not exist.
type StoreVersion uint64

// Entry is one key of the store as read.
type Entry struct {
	Key     string
	Value   []byte
	Version StoreVersion
}

// Lease is an exclusive lock on a key that expires unless it is renewed.
type Lease struct {
	Key     string
	Session string // id of the store's session that holds the lock
	// Fence is the fencing token. It grows with each new acquisition of the key, but not with a renewal.
	Fence uint64
	// Expires is on the holder's clock and counts from before the call was sent, so it is never later than
	// the expiry in the store.
	Expires time.Time
}

// Store is the platform's key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the entry of a key. Reads are never served from a cache. Errors: ErrNotFound,
	// ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below a prefix in key order; none is no error. Errors:
	// ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the value, of at most MaxValueBytes, if the key's version is expect (0: the key
	// does not exist) and returns the new version. Errors: ErrConflict, ErrUnavailable,
	// ErrOutcomeUnknown.
	CompareAndSwap(ctx context.Context, key string, expect StoreVersion, value []byte) (StoreVersion, error)
	// Delete removes the key if its version is expect. Errors as CompareAndSwap.
	Delete(ctx context.Context, key string, expect StoreVersion) error
	// Watch returns the entry as soon as its version differs from known (0: the key does not exist), be it
	// higher or lower, or the unchanged entry after wait. It returns ErrNotFound if the known entry was
	// deleted, or if the key still does not exist after wait, and ErrUnavailable if the store does not answer.
	Watch(ctx context.Context, key string, known StoreVersion, wait time.Duration) (Entry, error)
	// Acquire acquires or renews the lease on key for owner. Errors: ErrLeaseLost if the lease was lost or another
	// owner holds it, ErrUnavailable, ErrOutcomeUnknown.
	Acquire(ctx context.Context, key, owner string, ttl time.Duration) (Lease, error)
	// Release ends a lease before its expiry. Releasing a lost lease is no error. After any error the lease may
	// last until its expiry.
	Release(ctx context.Context, lease Lease) error
}
