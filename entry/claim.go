package entry

import (
	"context"
	"crypto/sha256"
	"io"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	maxIdempotencyKey = 255 // bytes
	// inProgressRetry is when a repeat of a request in progress is worthwhile.
	inProgressRetry = time.Second
)

var standings = map[ledger.Standing]string{
	ledger.Granted:    "granted",
	ledger.InProgress: "in_progress",
	ledger.Finished:   "replayed",
	ledger.Lost:       "lost",
	ledger.Mismatch:   "other_request",
}

// take claims the idempotency key before anything is dispatched. replayed says that the caller has
// got the recorded outcome.
func (f *serviceFlow) take(ctx context.Context, key string) (replayed bool, err error) {
	if len(key) > maxIdempotencyKey {
		return false, verdict.Refuse(verdict.BadRequest, "the idempotency key is longer than %d bytes", maxIdempotencyKey)
	}
	claim := ledger.Claim{
		Key:       ledger.ClaimKey{Customer: f.request.Customer.Name, Route: f.request.Route.Name, Key: key},
		Digest:    f.digest(),
		RequestID: f.request.ID,
		Claimer:   f.server.Self,
		ClaimedAt: time.Now(),
	}
	result, err := f.server.Claims.Claim(ctx, claim)
	if err != nil {
		if pool := f.snapshot.Pools[f.pool()]; pool != nil && pool.DeduplicatesByKey {
			f.server.Counters.Inc("plumbarrow_unclaimed_dispatches_total")
			return false, nil
		}
		return false, err
	}
	f.note(decide.Note{Stage: "claim", Reason: standings[result.Standing]})
	switch result.Standing {
	case ledger.Granted:
		f.claim = &claim
		f.claimEnds = result.Expires
		return false, nil
	case ledger.Finished:
		return true, f.replay(result.Outcome)
	case ledger.InProgress:
		refusal := verdict.Uncertain(verdict.ClaimInProgress, "a request with this idempotency key is in progress")
		refusal.RetryAfter = inProgressRetry
		return false, refusal
	case ledger.Mismatch:
		return false, verdict.Refuse(verdict.IdempotencyMismatch, "the idempotency key was used for another request")
	default:
		return false, verdict.Uncertain(verdict.ClaimOutcomeUnknown, "the instance that served this idempotency key is gone; the request may have run")
	}
}

// claimEnded refuses a dispatch under a claim whose time is over: this process was paused, and a
// repeat of the key may have run meanwhile as a new request.
func (f *serviceFlow) claimEnded(now time.Time) error {
	if f.claim == nil || f.claimEnds.IsZero() || now.Before(f.claimEnds) {
		return nil
	}
	return verdict.Refuse(verdict.ClaimExpired, "the claim of the idempotency key ended before the dispatch")
}

// digest identifies the request's method, target and body.
func (f *serviceFlow) digest() ledger.Digest {
	hash := sha256.New()
	request := f.context.Request()
	_, _ = io.WriteString(hash, request.Method+"\n"+request.URL.RequestURI()+"\n")
	_, _ = hash.Write(f.body)
	return ledger.Digest(hash.Sum(nil))
}

// replay gives the caller the outcome of the first request with the key.
func (f *serviceFlow) replay(outcome ledger.Outcome) error {
	f.context.Response().Header().Set(link.HeaderReplayed, "1")
	if outcome.Verdict != verdict.Ran {
		return verdict.Uncertain(verdict.ClaimOutcomeUnknown, "the first request with this idempotency key may have run; its answer was lost")
	}
	f.record.Verdict = verdict.Ran
	if outcome.Truncated {
		f.context.Response().Header().Set(HeaderTruncated, "1")
	}
	contentType := outcome.ContentType
	if contentType == "" {
		contentType = echo.MIMEOctetStream
	}
	return f.context.Blob(outcome.Status, contentType, outcome.Body)
}

// HeaderTruncated marks a replayed outcome whose body was too long to be kept.
const HeaderTruncated = "Plumbarrow-Truncated"

// outcomeOf is the outcome of a request that ended in a refusal.
func outcomeOf(err error) ledger.Outcome {
	refusal := asRefusal(err)
	return ledger.Outcome{Verdict: refusal.Verdict, Status: refusal.Reason.Status()}
}

// finish records the outcome of the claimed key. One with verdict NotRun frees the key.
func (f *serviceFlow) finish(outcome ledger.Outcome) {
	if f.claim == nil {
		return
	}
	claim := *f.claim
	f.claim = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.dispatching), recordTimeout)
	defer cancel()
	if err := f.server.Claims.Finish(ctx, claim, outcome); err != nil {
		f.server.Counters.Inc("plumbarrow_finish_errors_total")
		f.server.Log.Error("outcome of a claimed request", "request_id", claim.RequestID, "error", err)
	}
}
