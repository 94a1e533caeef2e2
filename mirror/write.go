package mirror

import (
	"context"
	"errors"
	"time"
)

// Errors of writes. Callers test them with errors.Is.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrNoLease means that the lease has ended; nothing was written.
	ErrNoLease = errors.New("lease has ended")
	// ErrUnavailable means that the call had no effect and will have none.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect, or may yet do so seconds later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
)

// Condition is a document's revision that a write depends on; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Lease identifies a lease of the store. Another era may give out its id again.
type Lease struct {
	Era uint64
	ID  uint64 // 0: none
}

// Put is one document to write. A document with a lease is removed when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease Lease
}

// Write is a transaction: its changes take effect together, and only if all conditions hold.
type Write struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string // keys
	Era        uint64   // in which the conditions were read
}

// Writer writes to the platform's store.
type Writer interface {
	// Write returns the revision of the change, in the write's era. If the store is of a newer one, it fails as if a
	// condition did not hold, or a lease had ended. Errors: ErrConflict, ErrNoLease, ErrUnavailable, ErrOutcomeUnknown.
	Write(ctx context.Context, write *Write) (uint64, error)
	// Grant starts a lease. Errors: ErrUnavailable, ErrOutcomeUnknown.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew restarts a lease's TTL. A lease of an older era has ended. Errors: ErrNoLease, ErrUnavailable, ErrOutcomeUnknown.
	Renew(ctx context.Context, lease Lease) error
	// End ends a lease early. Errors as Renew.
	End(ctx context.Context, lease Lease) error
}
