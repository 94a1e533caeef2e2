package decide

import (
	"cmp"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

// MaxAttempts is how often one cascade step of a request is dispatched, the first time included.
const MaxAttempts = 3

// Failed is an attempt that did not end in a whole answer.
type Failed struct {
	// Pool whose retry budget is used, the one that RetryBudget.Paid was told; empty for the route's
	// name.
	Pool    string
	Verdict verdict.Verdict
	Reason  verdict.Reason // a retry reason
	// Attempts made in this step, this one included.
	Attempts int
	// Delivered says that the caller has received a part of the answer.
	Delivered bool
	// Resumable says that the engine, or one with the same version, can go on with the answer where
	// it broke off.
	Resumable bool
}

// Action is what follows a failed attempt.
type Action uint8

// Actions.
const (
	// Stop refuses the request.
	Stop Action = iota
	// Elsewhere makes a new attempt at another endpoint.
	Elsewhere
	// Resume goes on with a broken stream.
	Resume
)

var actionNames = [...]string{Stop: "stop", Elsewhere: "retry", Resume: "resume"}

// String returns the action's name in notes.
func (a Action) String() string { return actionNames[a] }

// AfterFailure is the decision about a failed attempt.
type AfterFailure struct {
	Action Action
	// Reason of the retry, for counters.
	Reason verdict.Reason
	// Refusal to give if the action is Stop.
	Refusal *verdict.Refusal
	Notes   []Note
}

// Retry decides what follows a failed attempt. A request that is not idempotent is repeated only
// if it certainly has not run; one whose answer has reached the caller in part is at most resumed.
// An attempt that is to follow takes a token from the budget; nil means that there is no budget.
func Retry(request *Request, failed Failed, budget *RetryBudget, now time.Time) AfterFailure {
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
	action := Elsewhere
	if failed.Delivered {
		action = Resume
	}
	note := Note{Stage: "retry", Reason: action.String(), Value: float64(failed.Attempts)}
	return AfterFailure{Action: action, Reason: failed.Reason, Notes: []Note{note}}
}

func stop(refusal *verdict.Refusal, why string) AfterFailure {
	return AfterFailure{Action: Stop, Refusal: refusal, Notes: []Note{{Stage: "retry", Reason: why}}}
}

// refusalOf words a failed attempt for the caller.
func refusalOf(failed Failed) *verdict.Refusal {
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

// Hedge says whether to send a second attempt while the first is still silent: for idempotent reads
// only, once, after the time by which most answers have begun (Dean and Barroso, "The tail at
// scale", 2013), and within the retry budget.
func Hedge(request *Request, pool string, attempts int, waited, usual time.Duration, budget *RetryBudget, now time.Time) bool {
	if !request.Idempotent || attempts != 1 || usual <= 0 || waited < usual {
		return false
	}
	if !now.Add(usual).Before(request.Deadline) {
		return false
	}
	return budget.Take(request.Customer.Name, pool)
}
