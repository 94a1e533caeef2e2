package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is the error that is returned to a caller.
type Refusal struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string        // one English sentence for the caller; never holds secrets
	RetryAfter time.Duration // time after which a repeat may succeed; 0 if it cannot or the time is unknown
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

// RefusalOf returns the refusal in err's chain. Any other error becomes a refusal with the reason Internal and
// the verdict MayHaveRun, the only safe assumption.
func RefusalOf(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return Uncertain(Internal, "%v", err)
}
