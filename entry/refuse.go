package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// refuse counts an error as a refusal, records it, and sends it to the caller as JSON unless the
// answer's header has been sent already.
func (s *Server) refuse(err error, c echo.Context) {
	refusal := asRefusal(err)
	s.Counters.Refused(refusal.Reason)
	exchangeOf(c).setRefusal(refusal)
	if c.Response().Committed {
		return
	}
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if c.Request().ContentLength != 0 && !exchangeOf(c).bodyRead {
		// Otherwise net/http reads the rest of the body before it sends the refusal.
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	_ = c.JSON(refusal.Reason.Status(), ErrorBody(refusal, requestID(c)))
}

// ErrorBody returns a refusal as the body of an OpenAI-compatible error response.
func ErrorBody(refusal *verdict.Refusal, requestID string) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Message:      refusal.Detail,
		Type:         "plumbarrow_refusal",
		Code:         string(refusal.Reason),
		Verdict:      refusal.Verdict.String(),
		Reason:       string(refusal.Reason),
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}

// asRefusal returns err as a refusal for the caller, whatever its type.
func asRefusal(err error) *verdict.Refusal {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return refusalOf(failure)
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		reason := verdict.UnknownRoute
		if httpError.Code == http.StatusBadRequest {
			reason = verdict.BadRequest
		}
		return verdict.Refuse(reason, "%v", httpError.Message)
	}
	return verdict.RefusalOf(err)
}

// refusalOf returns the refusal that tells the caller about a failed attempt.
func refusalOf(failure *link.Failure) *verdict.Refusal {
	refusal := &verdict.Refusal{
		Verdict:    failure.Verdict,
		Reason:     verdict.UpstreamError,
		Detail:     "the endpoint failed: " + string(failure.Reason),
		RetryAfter: failure.RetryAfter,
	}
	switch failure.Reason {
	case verdict.RetryTruncated, verdict.RetryConnection, verdict.RetrySilent:
		refusal.Reason = verdict.UpstreamTruncated
	case verdict.RetryWrongVersion:
		refusal.Reason = verdict.VersionMismatch
	case verdict.RetryWrongAttempt:
		refusal.Reason = verdict.AttemptMismatch
	case verdict.RetryUnavailable, verdict.RetryOverloaded, verdict.RetryNotSent:
		refusal.Reason = verdict.NoEndpoint
	}
	return refusal
}
