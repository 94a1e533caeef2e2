package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// scriptedPermits refuses the first permits, then grants permits and records their results. It is also
// a queue that counts waits and returns waitRefusal at once.
type scriptedPermits struct {
	refusals    int
	waits       int
	waitRefusal *verdict.Refusal // returned by Wait
	results     []machine.Result
}

func (p *scriptedPermits) Acquire(context.Context, *machine.Endpoint) (machine.Permit, *verdict.Refusal) {
	if p.refusals > 0 {
		p.refusals--
		return nil, verdict.Refuse(verdict.RetryPermit, "taken")
	}
	return p, nil
}

func (p *scriptedPermits) Done(result machine.Result) { p.results = append(p.results, result) }

func (p *scriptedPermits) Wait(context.Context, string, int, time.Time) *verdict.Refusal {
	p.waits++
	return p.waitRefusal
}

// TestPlacement checks when a request for a busy pool tries the next endpoint, waits in the queue or
// is refused.
func TestPlacement(t *testing.T) {
	full := verdict.Refuse(verdict.QueueFull, "full")
	for _, test := range []struct {
		name        string
		refusals    int
		queue       bool
		waitRefusal *verdict.Refusal
		reason      verdict.Reason // "" when served
		waits       int
	}{
		{"free", 0, true, nil, "", 0},
		{"one endpoint taken, the other free", 1, true, nil, "", 0},
		{"all taken, then free", 2, true, nil, "", 1},
		{"all taken again and again", 20, true, nil, "", 10},
		{"all taken, queue full", 2, true, full, verdict.QueueFull, 1},
		{"all taken, no queue", 2, false, nil, verdict.NoEndpoint, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			permits := &scriptedPermits{refusals: test.refusals, waitRefusal: test.waitRefusal}
			f := newTestInstance(c, "a", func(parts *entry.Parts) {
				parts.Permits = permits
				if test.queue {
					parts.Queue = permits
				}
			})
			f.add("small-engines", "small@v1", engine("v1"))
			f.add("small-engines", "small@v1", engine("v1"))
			r := f.ask("assistant", true)
			c.Assert(permits.waits, qt.Equals, test.waits)
			if test.reason != "" {
				assertRefused(c, r, test.reason, verdict.NotRun)
				return
			}
			c.Assert(r.status, qt.Equals, http.StatusOK)
			c.Assert(permits.results, qt.HasLen, 1)
			c.Assert(permits.results[0].Completed, qt.IsTrue)
		})
	}
}

// scriptedDispatcher fails the first attempts with the given failures and answers the later ones.
type scriptedDispatcher struct {
	failures []*link.Failure
	attempts []*link.Attempt
}

func (d *scriptedDispatcher) Do(_ context.Context, attempt *link.Attempt) (*link.Answer, error) {
	d.attempts = append(d.attempts, attempt)
	if n := len(d.attempts); n <= len(d.failures) {
		return nil, d.failures[n-1]
	}
	header := http.Header{link.HeaderAttemptID: {attempt.ID}, link.HeaderVersion: {"v1"}, link.HeaderRunning: {"3"}, link.HeaderLeaving: {"1"}}
	body := io.NopCloser(strings.NewReader(strings.Join(streamEvents, "")))
	return &link.Answer{Status: http.StatusOK, Header: header, Body: body, Length: -1}, nil
}

// TestSilentConnections checks the retries after silent connections. Silence on a reused connection
// leads to an attempt on a new connection and is not reported as an endpoint failure; silence that
// condemns the endpoint is reported and excludes the endpoint from the next attempt.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	silent := func(onNewConnection, unresponsive bool) *link.Failure {
		return &link.Failure{Reason: verdict.RetrySilent, OnNewConnection: onNewConnection, EndpointUnresponsive: unresponsive, Err: errors.New("silent")}
	}
	dispatcher := &scriptedDispatcher{failures: []*link.Failure{silent(false, false), silent(true, true)}}
	permits := &scriptedPermits{}
	f := newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.Dispatcher, parts.Permits = dispatcher, permits
	})
	f.add("small-engines", "small@v1", engine("v1"))
	f.add("small-engines", "small@v1", engine("v1"))
	c.Assert(f.ask("assistant", true).status, qt.Equals, http.StatusOK)
	newConnection := []bool{dispatcher.attempts[0].NewConnection, dispatcher.attempts[1].NewConnection}
	c.Assert(newConnection, qt.DeepEquals, []bool{false, true})
	c.Assert(dispatcher.attempts[0].ReusedFirstByteTimeout < dispatcher.attempts[0].FirstByteTimeout, qt.IsTrue)
	c.Assert(dispatcher.attempts[2].Endpoint.ID, qt.Not(qt.Equals), dispatcher.attempts[1].Endpoint.ID)
	c.Assert(permits.results[0].Failure, qt.Equals, verdict.Reason(""))
	c.Assert(permits.results[1].Failure, qt.Equals, verdict.RetrySilent)
	served := permits.results[2]
	c.Assert([]any{served.Completed, served.Leaving, served.LoadReported, served.Running}, qt.DeepEquals, []any{true, true, true, 3})
}

// deadlineQueue records the deadline of each wait and refuses the fifth.
type deadlineQueue struct {
	scriptedPermits
	deadlines []time.Time
}

func (q *deadlineQueue) Wait(_ context.Context, _ string, _ int, deadline time.Time) *verdict.Refusal {
	q.deadlines = append(q.deadlines, deadline)
	if len(q.deadlines) == 5 {
		return verdict.Refuse(verdict.DeadlineExceeded, "too late")
	}
	return nil
}

// TestQueueingIsBounded checks that all waits of a request share one deadline, earlier than the
// route's, however often the request leaves the queue and finds the pool full again.
func TestQueueingIsBounded(t *testing.T) {
	c := qt.New(t)
	queue := &deadlineQueue{scriptedPermits: scriptedPermits{refusals: 1000}}
	f := newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.Settings.QueueWaitMS = 5_000
		parts.Permits = queue
		parts.Queue = queue
	})
	f.add("small-engines", "small@v1", engine("v1"))
	start := time.Now()
	r := f.ask("assistant", true)
	assertRefused(c, r, verdict.QueueTimeout, verdict.NotRun)
	for _, end := range queue.deadlines {
		c.Assert(end, qt.Equals, queue.deadlines[0])
	}
	c.Assert(queue.deadlines[0].Before(start.Add(10*time.Second)), qt.IsTrue) // the route's deadline
}
