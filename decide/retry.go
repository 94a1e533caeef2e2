package decide

import (
	"cmp"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// MaxAttempts is the maximum number of attempts per cascade step of a request, including the first.
const MaxAttempts = 3

// FailedAttempt describes an attempt that did not end in a complete answer.
type FailedAttempt struct {
	// Pool whose retry budget is used; must be the one passed to RetryBudget.Deposit. Empty means
	// the route's name.
	Pool    string
	Verdict verdict.Verdict
	Reason  verdict.Reason // a retry reason
	// Attempts made in this step, including this one.
	Attempts int
	// Delivered is set if the caller has received a part of the answer.
	Delivered bool
	// Resumable is set if the engine, or another one with the same version, can continue the answer
	// where it broke off.
	Resumable bool
}

// Action is what follows a failed attempt.
type Action uint8

// Actions.
const (
	// Stop refuses the request.
	Stop Action = iota
	// RetryOtherEndpoint makes a new attempt: at another endpoint, or on a new connection if the
	// connection was at fault.
	RetryOtherEndpoint
	// Resume continues a broken stream.
	Resume
)

var actionNames = [...]string{Stop: "stop", RetryOtherEndpoint: "retry", Resume: "resume"}

// String returns the action's name as it is used in notes.
func (a Action) String() string { return actionNames[a] }

// RetryDecision is the decision about a failed attempt.
type RetryDecision struct {
	Action Action
	// Reason of the retry, for counters.
	Reason verdict.Reason
	// Refusal to give if the action is Stop.
	Refusal *verdict.Refusal
	Notes   []Note
}

// Retry decides what follows a failed attempt. A request that is not idempotent is repeated only if it
// is certain not to have run. A request whose answer was delivered in part may be resumed, but not
// repeated. A further attempt takes a token from the budget; a nil budget allows all.
func Retry(request *Request, failed FailedAttempt, budget *RetryBudget, now time.Time) RetryDecision {
	refusal := refusalOf(failed)
	if failed.Verdict != verdict.NotRun && !request.Idempotent {
		return stop(refusal, "not_idempotent")
	}
	if failed.Delivered && !failed.Resumable {
		return stop(refusal, "already_delivered")
	}
	if failed.Attempts >= MaxAttempts {
		return stop(refusal, "attempts_used_up")
	}
	if !failed.Delivered && !now.Before(request.Deadline) {
		refusal.Reason = verdict.DeadlineExceeded
		return stop(refusal, "deadline")
	}
	if budget != nil && !budget.Take(request.Customer.Name, cmp.Or(failed.Pool, request.Route.Name)) {
		return stop(refusal, "retry_budget")
	}
	action := RetryOtherEndpoint
	if failed.Delivered {
		action = Resume
	}
	note := Note{Stage: "retry", Reason: action.String(), Value: float64(failed.Attempts)}
	return RetryDecision{Action: action, Reason: failed.Reason, Notes: []Note{note}}
}

func stop(refusal *verdict.Refusal, reason string) RetryDecision {
	return RetryDecision{Action: Stop, Refusal: refusal, Notes: []Note{{Stage: "retry", Reason: reason}}}
}

// refusalOf returns the refusal that reports a failed attempt to the caller.
func refusalOf(failed FailedAttempt) *verdict.Refusal {
	refusal := &verdict.Refusal{Verdict: failed.Verdict, Reason: verdict.UpstreamError, Detail: "the endpoint failed: " + string(failed.Reason)}
	switch failed.Reason {
	case verdict.RetryTruncated, verdict.RetryConnection, verdict.RetrySilent:
		refusal.Reason = verdict.UpstreamTruncated
	case verdict.RetryWrongVersion:
		refusal.Reason = verdict.VersionMismatch
	case verdict.RetryWrongAttempt:
		refusal.Reason = verdict.AttemptMismatch
	case verdict.RetryWithdrawn:
		refusal.Reason = verdict.VersionWithdrawn
	case verdict.RetryUnavailable, verdict.RetryOverloaded, verdict.RetryPermit, verdict.RetryNotSent:
		refusal.Reason = verdict.NoEndpoint
	}
	return refusal
}

// Hedge reports whether to send a hedged request while the first attempt has not begun to answer (Dean
// and Barroso, "The tail at scale", 2013). waited is the time since the first attempt, hedgeDelay the
// time by which most answers have begun; 0 disables hedging. Only idempotent requests are hedged, at
// most once, within the retry budget, and only if another hedgeDelay fits before the deadline. budget
// must not be nil.
func Hedge(request *Request, pool string, attempts int, waited, hedgeDelay time.Duration, budget *RetryBudget, now time.Time) bool {
	if !request.Idempotent || attempts != 1 || hedgeDelay <= 0 || waited < hedgeDelay {
		return false
	}
	if !now.Add(hedgeDelay).Before(request.Deadline) {
		return false
	}
	return budget.Take(request.Customer.Name, pool)
}
