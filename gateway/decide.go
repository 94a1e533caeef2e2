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
	// maxTries bounds the endpoints asked for one request, those that reject it unrun included.
	maxTries = 6
	// queueShare is the part of the time left that a request may wait for a place; the rest is for
	// its work.
	queueShare = 0.5
	// lateFactor and lateSlack say how long an endpoint may be silent beyond what is expected of it
	// before a request that may be repeated goes elsewhere: twice the time, and what short answers
	// vary by.
	lateFactor = 2
	lateSlack  = 500 * time.Millisecond
	// absentWait is how long a request waits for a service without any endpoint: entries lost with
	// the store are back within about two seconds.
	absentWait = 300 * time.Millisecond
	// retryFirst is the pause asked of callers while nobody waits; retryPerWaiting is added for each
	// waiting request, retryLongest bounds the sum.
	retryFirst      = 250 * time.Millisecond
	retryPerWaiting = 10 * time.Millisecond
	retryLongest    = 2 * time.Second
)

// hashShare maps an id to [0, 1), the same at every instance.
func hashShare(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// progress is what is known of a request after a failed attempt.
type progress struct {
	failed  *failedAttempt
	route   *catalog.Route
	runs    int // attempts that may have run, the failed one included
	tries   int
	begun   bool // events have been passed on
	retries *decide.Allowance
	service string
}

// decideNext says whether another attempt may follow; nil means that it may. An attempt that never left
// is no load for an endpoint and costs nothing of the retry budget.
func decideNext(p *progress) *verdict.Refusal {
	refusal := &verdict.Refusal{Verdict: p.failed.verdict, Reason: verdict.UpstreamError, Detail: "the endpoint failed the request"}
	if p.failed.verdict == verdict.NotRun {
		refusal.Reason, refusal.Detail = verdict.UpstreamRefused, "the endpoints are busy"
		refusal.RetryAfter = retryAfter(0)
	}
	switch {
	case p.tries >= maxTries:
		return refusal
	case p.runs > 0 && !p.route.Repeatable():
		return refusal
	case p.runs >= p.route.MaxAttempts:
		return refusal
	case !p.failed.paid && p.failed.reason != verdict.RetryNotSent && !p.retries.Take(p.service):
		return refusal
	default:
		return nil
	}
}

// firstByteLimit is how long an endpoint may be silent before a request that may be repeated goes
// elsewhere: until the goal is missed or the answer is overdue, whichever is later, but half of the time
// left stays for the other endpoint.
func firstByteLimit(goal, expected, left time.Duration) time.Duration {
	return min(left/2, max(goal, lateFactor*expected+lateSlack))
}

// retryAfter is the pause asked of a caller that is refused while others wait. It is spread, so that
// refused callers do not return together.
func retryAfter(waiting int) time.Duration {
	pause := min(retryFirst+time.Duration(waiting)*retryPerWaiting, retryLongest)
	return time.Duration(float64(pause) * (0.75 + 0.5*rand.Float64()))
}

// patience is how long the request may go on waiting for a place; 0 means that it cannot be served
// in time any more.
func (f *flow) patience(now time.Time, blocked upstream.Blocked) time.Duration {
	total := f.deadline.Sub(f.arrived)
	ends := f.arrived.Add(time.Duration(float64(total) * queueShare))
	if blocked == upstream.Absent {
		ends = f.arrived.Add(absentWait)
	}
	return ends.Sub(now)
}
