package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// maxTries bounds the attempts for one request, including those that an endpoint rejects without running
	// them.
	maxTries = 6
	// queueShare is the share of a request's time limit, counted from its arrival, after which it no longer waits
	// for capacity. The rest is for its execution.
	queueShare = 0.5
	// A repeatable request is retried at another endpoint if no first byte arrives within firstByteFactor times
	// the expected time plus firstByteSlack, which covers the variation of short answers.
	firstByteFactor = 2
	firstByteSlack  = 500 * time.Millisecond
	// noEndpointWait is how long a request waits for a service that has no endpoint at all. Registrations that
	// were lost with the store are restored within about two seconds.
	noEndpointWait = 300 * time.Millisecond
	// The Retry-After of a refusal is minRetryAfter plus retryAfterPerWaiting for each queued request, at most
	// maxRetryAfter.
	minRetryAfter        = 250 * time.Millisecond
	retryAfterPerWaiting = 10 * time.Millisecond
	maxRetryAfter        = 2 * time.Second
)

// hashShare hashes an id to [0, 1). The result is the same at every instance.
func hashShare(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// retryState is the input of decideRetry: the state of a request after a failed attempt.
type retryState struct {
	failed      *failedAttempt
	route       *catalog.Route
	runs        int // attempts that may have run, including the failed one
	tries       int
	retryBudget *decide.RetryBuckets
	service     string
}

// decideRetry returns nil if another attempt is allowed, else the refusal for the caller. An allowed retry is
// charged to the retry budget, unless the failed attempt sent no byte and so caused no load at an endpoint.
func decideRetry(state *retryState) *verdict.Refusal {
	refusal := &verdict.Refusal{Verdict: state.failed.verdict, Reason: verdict.UpstreamError, Detail: "the endpoint failed the request"}
	if state.failed.verdict == verdict.NotRun {
		refusal.Reason, refusal.Detail = verdict.UpstreamRefused, "the endpoints are busy"
		refusal.RetryAfter = retryAfter(0)
	}
	switch {
	case state.tries >= maxTries:
		return refusal
	case state.runs > 0 && !state.route.Repeatable():
		return refusal
	case state.runs >= state.route.MaxAttempts:
		return refusal
	case !state.failed.charged && state.failed.reason != verdict.RetryNotSent && !state.retryBudget.Take(state.service):
		return refusal
	default:
		return nil
	}
}

// firstByteLimit returns how long a repeatable request waits for the first byte before it is retried at another
// endpoint: until the goal is missed or the answer is overdue, whichever is later, but at most half of the time
// left, so that the other endpoint gets the remaining half.
func firstByteLimit(goal, expected, left time.Duration) time.Duration {
	return min(left/2, max(goal, firstByteFactor*expected+firstByteSlack))
}

// retryAfter returns the Retry-After for a caller that is refused while the given number of requests is queued.
func retryAfter(waiting int) time.Duration {
	return jittered(min(minRetryAfter+time.Duration(waiting)*retryAfterPerWaiting, maxRetryAfter))
}

// jittered returns the pause with a jitter of 25 % either way, so that refused callers do not return together.
func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.75 + 0.5*rand.Float64()))
}

// leastAnswerTime returns the time that an attempt takes at least, by what answers of the route took recently; 0 if that is not known.
// expected is the time to the first byte of its answer, as far as that is known.
func (f *requestState) leastAnswerTime(expected time.Duration) time.Duration {
	whole, _ := f.server.answerTimes.Low(f.route.Name)
	rest, _ := f.server.answerRests.Low(f.route.Name)
	return max(whole, expected+rest)
}

// outOfTime returns the refusal of a request for which no further attempt can end in time, else nil. expected is the time to the first
// byte of its answer, as far as that is known. A stream that the caller already receives goes on: how much of it is left is not known.
func (f *requestState) outOfTime(expected time.Duration) *verdict.Refusal {
	if f.stream != nil && f.stream.headerSent {
		return nil
	}
	if !f.finishesInTime(expected) {
		return stoppingRefusal()
	}
	if least := f.leastAnswerTime(expected); time.Now().Add(least).After(f.deadline) {
		return verdict.Refuse(verdict.DeadlineExceeded, "an answer takes %d ms at least and the deadline leaves %d ms", least.Milliseconds(),
			time.Until(f.deadline).Milliseconds())
	}
	return nil
}

// queueTimeLeft returns how much longer the request may wait for capacity; 0 or less if it may not wait any
// more.
func (f *requestState) queueTimeLeft(now time.Time, blocked upstream.Blocked) time.Duration {
	limit := f.timeLimit()
	ends := f.arrived.Add(time.Duration(float64(limit.Sub(f.arrived)) * queueShare))
	if latest := limit.Add(-f.leastAnswerTime(0)); latest.Before(ends) {
		ends = latest
	}
	if blocked == upstream.NoneEligible {
		ends = f.arrived.Add(noEndpointWait)
	}
	return ends.Sub(now)
}
