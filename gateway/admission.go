package gateway

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	expectedWaitSeconds = "plumbarrow_expected_wait_seconds" // histogram of the wait for capacity as it was expected at its begin
	waitSeconds         = "plumbarrow_wait_seconds"          // histogram of the same requests' wait
)

// waitLimit returns how long a request may be expected to wait for capacity: the share of what its goal leaves beside the answer itself, and
// not longer than left. A request that can't meet its goal anyway may wait for left. untilGoal is the time until the goal, answer what an
// answer takes at least.
func waitLimit(share float64, untilGoal, answer, left time.Duration) time.Duration {
	spare := untilGoal - answer
	if spare <= 0 {
		return left
	}
	return min(time.Duration(share*float64(spare)), left)
}

// forecast is the wait that was expected when a request began to wait.
type forecast struct {
	made     bool
	known    bool
	expected time.Duration
	at       time.Time
}

// admitToQueue forecasts the wait of a request that is about to wait for capacity. It returns the refusal of one that would get it too late,
// else nil. left is how long the request may wait at most. One that was attempted before is always admitted.
func (f *requestState) admitToQueue(blocked upstream.Blocked, left time.Duration) *verdict.Refusal {
	if blocked != upstream.Full || f.tries > 0 || f.forecast.made {
		return nil
	}
	now := time.Now()
	expected, known := f.server.Upstreams.Forecast(f.service, f.priority())
	f.forecast = forecast{made: true, known: known, expected: expected, at: now}
	share := f.server.QueueGoalShare
	if !known || share == 0 {
		return nil
	}
	limit := waitLimit(share, f.arrived.Add(f.route.Goal).Sub(now), f.leastAnswerTime(0), left)
	if expected <= limit {
		return nil
	}
	refusal := verdict.Refuse(verdict.ShedOverload, "service %s is full; a place is expected in %d ms, too late for the goal after %d ms",
		f.service, expected.Milliseconds(), limit.Milliseconds())
	refusal.RetryAfter = roomExpectedIn(expected - limit)
	return refusal
}

// roomExpectedIn returns the Retry-After of a caller for whom there is room in the queue after the given time. The callers come back over as
// long again, so that they do not return together.
func roomExpectedIn(room time.Duration) time.Duration {
	room = min(max(room, minRetryAfter), maxRetryAfter)
	return room + time.Duration(rand.Float64()*float64(room))
}

// observeWait records the wait of a request that has got a place against what was expected.
func (f *requestState) observeWait() {
	if !f.forecast.known || f.tries > 0 {
		return
	}
	f.server.Counters.Observe(expectedWaitSeconds, f.forecast.expected.Seconds())
	f.server.Counters.Observe(waitSeconds, time.Since(f.forecast.at).Seconds())
}
