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
	maxIdempotencyKeyBytes = 255
	// inProgressRetryAfter is the Retry-After of a refused repeat while the first request runs.
	inProgressRetryAfter = time.Second
)

// claimNoteReasons are the reasons of claim notes in explain records. Counters use Standing.String,
// whose names differ.
var claimNoteReasons = map[ledger.Standing]string{
	ledger.Granted:        "granted",
	ledger.InProgress:     "in_progress",
	ledger.Finished:       "replayed",
	ledger.OutcomeUnknown: "lost",
	ledger.Mismatch:       "other_request",
}

// claimKey claims the idempotency key before anything is dispatched. replayed reports that the key
// had a recorded outcome, which has been sent to the caller. If the ledger can't be reached, the
// request runs without a claim only if its pool deduplicates by the key.
func (f *serviceFlow) claimKey(ctx context.Context, key string) (replayed bool, err error) {
	if len(key) > maxIdempotencyKeyBytes {
		return false, verdict.Refuse(verdict.BadRequest, "the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
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
	f.note(decide.Note{Stage: "claim", Reason: claimNoteReasons[result.Standing]})
	switch result.Standing {
	case ledger.Granted:
		f.claim = &claim
		f.claimExpires = result.Expires
		return false, nil
	case ledger.Finished:
		return true, f.replay(result.Outcome)
	case ledger.InProgress:
		refusal := verdict.Uncertain(verdict.ClaimInProgress, "a request with this idempotency key is in progress")
		refusal.RetryAfter = inProgressRetryAfter
		return false, refusal
	case ledger.Mismatch:
		return false, verdict.Refuse(verdict.IdempotencyMismatch, "the idempotency key was used for another request")
	default:
		return false, verdict.Uncertain(verdict.ClaimOutcomeUnknown, "the instance that served this idempotency key is gone; the request may have run")
	}
}

// checkClaimExpiry refuses a dispatch under an expired claim. A claim expires if this process was
// paused for long; a repeat of the key may have run as a new request since.
func (f *serviceFlow) checkClaimExpiry(now time.Time) error {
	if f.claim == nil || f.claimExpires.IsZero() || now.Before(f.claimExpires) {
		return nil
	}
	return verdict.Refuse(verdict.ClaimExpired, "the claim of the idempotency key ended before the dispatch")
}

// digest returns a SHA-256 over the request's method, target and body, to detect a reused key.
func (f *serviceFlow) digest() ledger.Digest {
	hash := sha256.New()
	request := f.context.Request()
	_, _ = io.WriteString(hash, request.Method+"\n"+request.URL.RequestURI()+"\n")
	_, _ = hash.Write(f.body)
	return ledger.Digest(hash.Sum(nil))
}

// replay sends the caller the recorded outcome of the first request with the key.
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

// HeaderTruncated marks a replayed outcome whose body was streamed or too long to be stored.
const HeaderTruncated = "Plumbarrow-Truncated"

// refusedOutcome returns the outcome to record for a request that ended in a refusal.
func refusedOutcome(err error) ledger.Outcome {
	refusal := asRefusal(err)
	return ledger.Outcome{Verdict: refusal.Verdict, Status: refusal.Reason.Status()}
}

// finishClaim records the outcome under the claimed key, if there is one. An outcome with verdict
// NotRun frees the key.
func (f *serviceFlow) finishClaim(outcome ledger.Outcome) {
	if f.claim == nil {
		return
	}
	claim := *f.claim
	f.claim = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.dispatchContext), recordTimeout)
	defer cancel()
	if err := f.server.Claims.Finish(ctx, claim, outcome); err != nil {
		f.server.Counters.Inc("plumbarrow_finish_errors_total")
		f.server.Log.Error("recording the outcome of a claimed request failed", "request_id", claim.RequestID, "customer", claim.Key.Customer, "error", err)
	}
}
