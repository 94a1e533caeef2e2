package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// stubClaims returns the same result for every claim.
type stubClaims struct {
	result ledger.ClaimResult
	err    error
}

func (s stubClaims) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return s.result, s.err
}
func (s stubClaims) Finish(context.Context, ledger.Claim, ledger.Outcome) error { return nil }

// TestNonIdempotent checks for each way a non-idempotent request can end what the caller gets, what a
// repeat with the same key gets, how often the service runs and how many bills are recorded.
func TestNonIdempotent(t *testing.T) {
	book := func(w http.ResponseWriter) { w.WriteHeader(http.StatusCreated); _, _ = io.WriteString(w, "booked") }
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	short := func(w http.ResponseWriter) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	}
	long := func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", 1<<20)) }
	events := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "data: 2\n\n")
	}
	cutLong := func(w http.ResponseWriter) { long(w); panic(http.ErrAbortHandler) }
	unavailable := verdict.Refuse(verdict.LedgerUnavailable, "down")
	for _, test := range []struct {
		name     string
		answer   func(http.ResponseWriter)
		claims   ledger.Claims
		edit     func(string) string
		key      string
		runs     int64
		status   int // of the first request; 0 if it is refused
		reason   verdict.Reason
		verdict  verdict.Verdict
		repeated verdict.Reason // of a repeat; "" if it gets the recorded outcome
		bills    int
	}{
		{name: "served", answer: book, key: "k", runs: 1, status: 201, bills: 1},
		{name: "served long", answer: long, key: "k", runs: 1, status: 200, bills: 1},
		{name: "served as a stream", answer: events, key: "k", runs: 1, status: 200, bills: 1},
		{name: "cut stream", answer: func(w http.ResponseWriter) { events(w); panic(http.ErrAbortHandler) }, key: "k", runs: 1, reason: "cut", repeated: verdict.ClaimOutcomeUnknown},
		{name: "reset after the run", answer: abort, key: "k", runs: 1, reason: verdict.UpstreamTruncated, verdict: verdict.MayHaveRun, repeated: verdict.ClaimOutcomeUnknown},
		{name: "reset without key", answer: abort, runs: 1, reason: verdict.UpstreamTruncated, verdict: verdict.MayHaveRun},
		{name: "short answer", answer: short, key: "k", runs: 1, reason: verdict.UpstreamTruncated, verdict: verdict.MayHaveRun, repeated: verdict.ClaimOutcomeUnknown},
		{name: "cut long answer", answer: cutLong, key: "k", runs: 1, reason: "cut", repeated: verdict.ClaimOutcomeUnknown},
		{name: "bad gateway", answer: func(w http.ResponseWriter) { w.WriteHeader(502) }, key: "k", runs: 1, reason: verdict.UpstreamError, verdict: verdict.MayHaveRun, repeated: verdict.ClaimOutcomeUnknown},
		{name: "ledger refuses", answer: book, claims: stubClaims{err: unavailable}, key: "k", reason: verdict.LedgerUnavailable, verdict: verdict.NotRun, repeated: verdict.LedgerUnavailable},
		{name: "ledger refuses, service deduplicates", answer: book, claims: stubClaims{err: unavailable}, key: "k", runs: 2, status: 201, bills: 2,
			edit: func(d string) string {
				return strings.Replace(d, `request_price`, "deduplicates_by_key = true\nrequest_price", 1)
			}},
		{name: "claim lost", answer: book, claims: stubClaims{result: ledger.ClaimResult{Standing: ledger.OutcomeUnknown}}, key: "k", reason: verdict.ClaimOutcomeUnknown, verdict: verdict.MayHaveRun, repeated: verdict.ClaimOutcomeUnknown},
		{name: "in progress", answer: book, claims: stubClaims{result: ledger.ClaimResult{Standing: ledger.InProgress}}, key: "k", reason: verdict.ClaimInProgress, verdict: verdict.MayHaveRun, repeated: verdict.ClaimInProgress},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestInstance(c, "a", func(parts *entry.Parts) {
				if test.claims != nil {
					parts.Claims = test.claims
				}
			})
			if test.edit != nil {
				f.configure(test.edit)
			}
			var runs atomic.Int64
			run := func(w http.ResponseWriter, r *http.Request) {
				c.Check(r.Header.Get("Authorization"), qt.Equals, "")
				c.Check(r.Header.Get(link.HeaderIdempotencyKey), qt.Equals, test.key)
				runs.Add(1)
				test.answer(w)
			}
			f.add("booking", "", run)
			f.add("booking", "", run)
			header := []string{}
			if test.key != "" {
				header = []string{link.HeaderIdempotencyKey, test.key}
			}
			first := f.send(http.MethodPost, "/bookings/1", "{}", header...)
			switch {
			case test.reason == "cut":
				c.Assert(first.err, qt.IsNotNil)
			case test.status != 0:
				c.Assert(first.status, qt.Equals, test.status, qt.Commentf("%s", first.body))
			default:
				assertRefused(c, first, test.reason, test.verdict)
			}
			if test.key != "" {
				again := f.send(http.MethodPost, "/bookings/1", "{}", header...)
				if test.repeated != "" {
					c.Assert(again.refusal().Reason, qt.Equals, string(test.repeated))
				} else if test.claims == nil {
					c.Assert(again.header.Get(link.HeaderReplayed), qt.Equals, "1")
					c.Assert(again.status, qt.Equals, test.status)
				}
			}
			c.Assert(runs.Load(), qt.Equals, test.runs)
			c.Assert(f.ledger.Bills(), qt.HasLen, test.bills)
		})
	}
}

// TestServiceRetries checks which failed requests are retried at another endpoint.
func TestServiceRetries(t *testing.T) {
	for _, test := range []struct {
		name, method string
		fail         func(http.ResponseWriter)
		status       int
		calls        int64
	}{
		{"idempotent, reset", http.MethodGet, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 200, 2},
		{"not idempotent, reset", http.MethodPost, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 502, 1},
		{"not idempotent, declared not run", http.MethodPost, func(w http.ResponseWriter) {
			w.Header().Set(link.HeaderVerdict, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 200, 2},
		{"not idempotent, 503 undeclared", http.MethodPost, func(w http.ResponseWriter) { w.WriteHeader(503) }, 502, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestInstance(c, "a", nil)
			var calls atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					test.fail(w)
					return
				}
				_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI())
			}
			f.add("booking", "", handler)
			f.add("booking", "", handler)
			r := f.send(test.method, "/bookings/x%2Fy?q=1", "")
			c.Assert(r.status, qt.Equals, test.status, qt.Commentf("%s", r.body))
			c.Assert(calls.Load(), qt.Equals, test.calls)
			if test.status == 200 {
				c.Assert(r.body, qt.Equals, test.method+" /bookings/x%2Fy?q=1")
			}
		})
	}
}

// TestBookingOutlivesCaller checks that a non-idempotent request runs to its end after its caller has
// disconnected: its outcome and bill are recorded, and a repeat gets the outcome.
func TestBookingOutlivesCaller(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", nil)
	ctx, cancel := context.WithCancel(t.Context())
	running, finish := make(chan struct{}), make(chan struct{})
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "booked")
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/bookings", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer sk-acme")
	request.Header.Set(link.HeaderIdempotencyKey, "k")
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	<-running
	cancel()
	<-disconnected
	close(finish)
	for {
		again := f.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
		if again.status == http.StatusConflict {
			continue // the first request is not over yet
		}
		c.Assert(again.body, qt.Equals, "booked")
		c.Assert(again.header.Get(link.HeaderReplayed), qt.Equals, "1")
		break
	}
	c.Assert(f.ledger.Bills(), qt.HasLen, 1)
}
