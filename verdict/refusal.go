package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the error that a caller sees: what is known about the execution, why, and when a
// repeat is worthwhile.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string        // one English sentence for the caller; never holds secrets
	RetryAfter time.Duration // 0 when a repeat at any time is pointless or unknown
}

var _ error = (*Refusal)(nil)

// Error returns reason, verdict and detail on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Verdict, r.Detail)
}

// Refuse returns a refusal of a request that no endpoint has run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Of extracts the refusal from an error chain; any other error becomes an internal refusal with
// the verdict MayHaveRun, the only safe assumption.
func Of(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return Uncertain(Internal, "%v", err)
}
