package verdict

import "net/http"

// Reason is why a request was refused or an attempt was retried. Each value has a counter,
// plumbarrow_refusals_total{reason="…"} or plumbarrow_retries_total{reason="…"}.
type Reason string

// Reasons for refusing a request.
const (
	BadRequest              Reason = "bad_request"
	BodyTooLarge            Reason = "body_too_large"
	HeadTooLarge            Reason = "head_too_large" // the head or the trailer
	CallerGone              Reason = "caller_gone"
	CallerTooSlow           Reason = "caller_too_slow"
	MissingKey              Reason = "missing_api_key"
	UnknownKey              Reason = "unknown_api_key"
	UnknownModel            Reason = "unknown_model"
	UnknownRoute            Reason = "unknown_route"
	ModelNotAllowed         Reason = "model_not_allowed"
	BudgetExhausted         Reason = "budget_exhausted"
	RateLimited             Reason = "rate_limited"
	VersionWithdrawn        Reason = "version_withdrawn"
	SessionVersionWithdrawn Reason = "session_version_withdrawn"
	SessionInvalid          Reason = "session_invalid"
	NoEndpoint              Reason = "no_endpoint"
	EndpointsUnreachable    Reason = "endpoints_unreachable" // no instance that was asked reaches an endpoint of the service
	QueueFull               Reason = "queue_full"
	QueueTimeout            Reason = "queue_timeout"
	ShedOverload            Reason = "shed_overload"
	InstanceFull            Reason = "instance_full"      // the instance has no memory for the request
	PromptQuarantined       Reason = "prompt_quarantined" // a part of the prompt crashes endpoints
	DeadlineExceeded        Reason = "deadline_exceeded"
	ZoneOutOfService        Reason = "zone_out_of_service"
	NoConfiguration         Reason = "no_configuration"
	ConfigUnconfirmed       Reason = "configuration_unconfirmed"
	Stopping                Reason = "stopping"
	LedgerUnavailable       Reason = "ledger_unavailable"
	BillsBacklogged         Reason = "bills_backlogged"
	IdempotencyMismatch     Reason = "idempotency_key_reused"
	ClaimInProgress         Reason = "claim_in_progress"
	ClaimOutcomeUnknown     Reason = "claim_outcome_unknown"
	ClaimExpired            Reason = "claim_expired"
	UpstreamError           Reason = "upstream_error"     // any other failure of the endpoint
	UpstreamRefused         Reason = "upstream_refused"   // an endpoint answered with a status that is not retried, or all are busy
	UpstreamTruncated       Reason = "upstream_truncated" // the answer is incomplete, or the connection was lost or silent
	VersionMismatch         Reason = "version_mismatch"
	AttemptMismatch         Reason = "attempt_mismatch"
	HopLimit                Reason = "hop_limit"
	Internal                Reason = "internal"
)

// Reasons for a retry, hedge or cascade step.
const (
	RetryNotSent       Reason = "not_sent"             // no byte of the request was sent
	RetryConnection    Reason = "connection_lost"      // after a part of the request was sent
	RetrySilent        Reason = "connection_silent"    // the next bytes of the answer did not come in time
	RetryUnavailable   Reason = "endpoint_unavailable" // the endpoint takes no work; it has not run the request
	RetryOverloaded    Reason = "endpoint_overloaded"  // the endpoint is full
	RetryTruncated     Reason = "truncated_answer"
	RetryWrongVersion  Reason = "wrong_version"
	RetryWrongAttempt  Reason = "wrong_attempt"
	RetryWrongEndpoint Reason = "wrong_endpoint"            // another endpoint answers at the address
	RetryWithdrawn     Reason = "withdrawn_before_dispatch" // the check before dispatch failed
	RetryPermit        Reason = "permit_lost"               // the endpoint had no permit left
	RetryServerError   Reason = "server_error"
	RetryHedge         Reason = "hedge"
	RetryLowQuality    Reason = "low_quality"
	RetryStreamResumed Reason = "stream_resumed"
)

var statusByReason = map[Reason]int{
	BadRequest:              http.StatusBadRequest,
	BodyTooLarge:            http.StatusRequestEntityTooLarge,
	HeadTooLarge:            http.StatusRequestHeaderFieldsTooLarge,
	CallerGone:              499, // nginx's status for a connection closed by the client; the client never receives it
	CallerTooSlow:           http.StatusRequestTimeout,
	MissingKey:              http.StatusUnauthorized,
	UnknownKey:              http.StatusUnauthorized,
	UnknownModel:            http.StatusNotFound,
	UnknownRoute:            http.StatusNotFound,
	ModelNotAllowed:         http.StatusForbidden,
	BudgetExhausted:         http.StatusPaymentRequired,
	RateLimited:             http.StatusTooManyRequests,
	VersionWithdrawn:        http.StatusGone,
	SessionVersionWithdrawn: http.StatusGone,
	SessionInvalid:          http.StatusBadRequest,
	QueueFull:               http.StatusTooManyRequests,
	DeadlineExceeded:        http.StatusGatewayTimeout,
	IdempotencyMismatch:     http.StatusUnprocessableEntity,
	ClaimInProgress:         http.StatusConflict,
	ClaimOutcomeUnknown:     http.StatusConflict,
	ClaimExpired:            http.StatusConflict,
	UpstreamError:           http.StatusBadGateway,
	UpstreamTruncated:       http.StatusBadGateway,
	VersionMismatch:         http.StatusBadGateway,
	AttemptMismatch:         http.StatusBadGateway,
	HopLimit:                http.StatusLoopDetected,
	Internal:                http.StatusInternalServerError,
}

// Status returns the HTTP status of a refusal for this reason. The default is 503.
func (r Reason) Status() int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
