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

// scriptedPermits refuses the first permits and notes the results of the others. It is the queue
// too: a wait makes room.
type scriptedPermits struct {
	refusals int
	waits    int
	outcome  *verdict.Refusal // of a wait
	results  []machine.Result
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
	return p.outcome
}

// TestPlacement checks how a request gets, or does not get, a permit of a busy pool.
func TestPlacement(t *testing.T) {
	full := verdict.Refuse(verdict.QueueFull, "full")
	for _, test := range []struct {
		name     string
		refusals int
		queue    bool
		outcome  *verdict.Refusal
		reason   verdict.Reason // "" when served
		waits    int
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
			permits := &scriptedPermits{refusals: test.refusals, outcome: test.outcome}
			f := newFleet(c, "a", func(parts *entry.Parts) {
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

// scriptedDispatcher fails the first attempts and answers the next.
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

// TestSilenceBlame checks what a silence makes of the next attempt and of the endpoint: a reused
// connection's is the connection's own, and only condemned endpoints are reported.
func TestSilenceBlame(t *testing.T) {
	c := qt.New(t)
	silent := func(fresh, condemned bool) *link.Failure {
		return &link.Failure{Reason: verdict.RetrySilent, FreshConnection: fresh, Condemned: condemned, Err: errors.New("silent")}
	}
	dispatcher := &scriptedDispatcher{failures: []*link.Failure{silent(false, false), silent(true, true)}}
	permits := &scriptedPermits{}
	f := newFleet(c, "a", func(parts *entry.Parts) {
		parts.Dispatcher, parts.Permits = dispatcher, permits
	})
	f.add("small-engines", "small@v1", engine("v1"))
	f.add("small-engines", "small@v1", engine("v1"))
	c.Assert(f.ask("assistant", true).status, qt.Equals, http.StatusOK)
	fresh := []bool{dispatcher.attempts[0].Fresh, dispatcher.attempts[1].Fresh}
	c.Assert(fresh, qt.DeepEquals, []bool{false, true})
	c.Assert(dispatcher.attempts[0].FirstByteReused < dispatcher.attempts[0].FirstByte, qt.IsTrue)
	c.Assert(dispatcher.attempts[2].Endpoint.ID, qt.Not(qt.Equals), dispatcher.attempts[1].Endpoint.ID)
	c.Assert(permits.results[0].Failure, qt.Equals, verdict.Reason(""))
	c.Assert(permits.results[1].Failure, qt.Equals, verdict.RetrySilent)
	served := permits.results[2]
	c.Assert([]any{served.Completed, served.Leaving, served.Reported, served.Running}, qt.DeepEquals, []any{true, true, true, 3})
}

// endsQueue notes until when each wait may last.
type endsQueue struct {
	scriptedPermits
	ends []time.Time
}

func (q *endsQueue) Wait(_ context.Context, _ string, _ int, deadline time.Time) *verdict.Refusal {
	q.ends = append(q.ends, deadline)
	if len(q.ends) == 5 {
		return verdict.Refuse(verdict.DeadlineExceeded, "too late")
	}
	return nil
}

// TestQueueingIsBounded: however often a request that left the queue finds the pool full again, all
// its waits together end at one time, before the route's deadline.
func TestQueueingIsBounded(t *testing.T) {
	c := qt.New(t)
	queue := &endsQueue{scriptedPermits: scriptedPermits{refusals: 1000}}
	f := newFleet(c, "a", func(parts *entry.Parts) {
		parts.Settings.QueueWaitMS = 5_000
		parts.Permits = queue
		parts.Queue = queue
	})
	f.add("small-engines", "small@v1", engine("v1"))
	start := time.Now()
	r := f.ask("assistant", true)
	assertRefused(c, r, verdict.QueueTimeout, verdict.NotRun)
	for _, end := range queue.ends {
		c.Assert(end, qt.Equals, queue.ends[0])
	}
	c.Assert(queue.ends[0].Before(start.Add(10*time.Second)), qt.IsTrue) // the route's deadline
}
