// Package ledger persists claims of non-idempotent requests, session pins and bills, and enforces the
// customers' monthly budgets. The platform's key-value store is the authority; entry instances only
// batch and cache. The package dispatches nothing: what follows from a claim's standing is its
// caller's decision.
package ledger

import (
	"context"
	"crypto/sha256"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// ClaimKey identifies a non-idempotent request by its caller's idempotency key.
type ClaimKey struct {
	Customer string
	Route    string
	Key      string
}

// Digest is the SHA-256 of a request's method, target (path and query) and body.
type Digest [sha256.Size]byte

// Claim is the idempotency record of a non-idempotent request: the right to dispatch it once.
type Claim struct {
	Key       ClaimKey
	Digest    Digest
	RequestID string
	Claimer   machine.Member
	ClaimedAt time.Time
}

// Outcome is the answer to a finished request; a repeat of its key gets the same answer.
type Outcome struct {
	Verdict     verdict.Verdict
	Status      int // HTTP status
	ContentType string
	Body        []byte // at most MaxOutcomeBytes; empty with Truncated set beyond that
	Truncated   bool
}

// MaxOutcomeBytes is the longest answer body that is stored for repeats.
const MaxOutcomeBytes = 4096

// Standing is the result of a claim attempt.
type Standing uint8

// Standings of a claim.
const (
	// Granted: the caller holds the claim and may dispatch once.
	Granted Standing = iota + 1
	// InProgress: another request with the key is being served; its claimer confirmed that.
	InProgress
	// Finished: the key has an outcome.
	Finished
	// OutcomeUnknown: the key was claimed, its claimer can't be reached and no outcome is known. The
	// verdict is MayHaveRun.
	OutcomeUnknown
	// Mismatch: the key was used with another digest.
	Mismatch
)

var standingNames = [...]string{
	Granted: "granted", InProgress: "in_progress", Finished: "finished", OutcomeUnknown: "lost", Mismatch: "mismatch",
}

// String returns the name that counters use.
func (s Standing) String() string {
	if int(s) < len(standingNames) {
		return standingNames[s]
	}
	return ""
}

// ClaimResult is the answer to a claim attempt.
type ClaimResult struct {
	Standing Standing
	Outcome  Outcome        // of a Finished claim
	Claimer  machine.Member // instance that holds the key; zero if unknown
	// Expires is the end of a Granted claim by this process's clock. A claimer that was paused beyond
	// it must not dispatch any more, because repeats of the key may count as new by then. Zero means
	// no expiry.
	Expires time.Time
}

// Claims grants each key at most once within the retry window, over all entry instances.
type Claims interface {
	// Claim tries to take the key. An error means that nothing was granted; it is a refusal with
	// verdict NotRun and reason ledger_unavailable.
	Claim(ctx context.Context, claim Claim) (ClaimResult, error)
	// Finish records the outcome. An outcome with verdict NotRun frees the key. Finish may
	// return before the store holds the record; the ledger retries in the background. An error
	// means that the request holds no claim.
	Finish(ctx context.Context, claim Claim, outcome Outcome) error
}

// Pins keeps, over all entry instances, the version of sessions that callers identify by a session
// id only. Errors are refusals with verdict NotRun and reason ledger_unavailable.
type Pins interface {
	// Pin returns the version to which the session is pinned. A session without a pin is pinned to
	// the given version.
	Pin(ctx context.Context, customer, session string, version contract.VersionID) (contract.VersionID, error)
	// Repin moves a session from a withdrawn version to another one and returns the version
	// that it is pinned to then. That may be a third version if another instance moved the session
	// first.
	Repin(ctx context.Context, customer, session string, from, to contract.VersionID) (contract.VersionID, error)
}

// BillLine is one attempt's cost within a bill.
type BillLine struct {
	Version      contract.VersionID
	Pool         string
	PromptTokens int64
	OutputTokens int64
	Micros       int64 // micro-units of currency
}

// Bill is what one request costs its customer. A request has at most one bill.
type Bill struct {
	RequestID string
	Customer  string
	Route     string
	Lines     []BillLine
	At        time.Time // the request's arrival; its UTC month is the month of the bill
}

// Total is the sum of the lines in micro-units of currency.
func (b Bill) Total() int64 {
	var total int64
	for _, line := range b.Lines {
		total += line.Micros
	}
	return total
}

// Bills records each bill exactly once.
type Bills interface {
	// Record returns once a second process or the store holds the bill. A repeat of a request id
	// within this incarnation changes nothing. Errors are refusals.
	Record(ctx context.Context, bill Bill) error
	// Admit reserves the cost of a new billable request. It fails with bills_backlogged if too many
	// bills are pending, and with budget_exhausted if less than reserve is left of the customer's
	// budget. reserve is the most that the request may cost, in micro-units of currency. The
	// reservation ends with release, to be called exactly once, after Record.
	Admit(ctx context.Context, customer *contract.Customer, reserve int64) (release func(), err error)
}
