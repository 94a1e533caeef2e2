package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
)

// TestAttemptOutcomes checks the caller's answer and the number of attempts for sequences of endpoint reactions to
// one request.
func TestAttemptOutcomes(t *testing.T) {
	unsigned := answer{status: http.StatusOK, body: "whose?"}
	truncated := answer{status: http.StatusOK, header: "Signature: s", body: "ha", truncated: true}
	misdirected := answer{status: http.StatusMisdirectedRequest}
	for name, test := range map[string]struct {
		route      string
		script     []answer
		status     int
		body       string
		sent       int
		signed     bool
		retryAfter bool // the answer has a Retry-After
	}{
		"success":                       {"book", []answer{signed(200, "ok")}, 200, "ok", 1, true, false},
		"not sent goes elsewhere":       {"book", []answer{unsent(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"declined goes elsewhere":       {"book", []answer{declined(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"other endpoint's address":      {"book", []answer{misdirected, signed(200, "ok")}, 200, "ok", 2, true, false},
		"lost runs once":                {"book", []answer{connectionLost()}, 502, "", 1, false, false},
		"truncated runs once":           {"book", []answer{truncated}, 502, "", 1, false, false},
		"unsigned runs once":            {"book", []answer{unsigned}, 502, "", 1, false, false},
		"lost after declined":           {"book", []answer{declined(), connectionLost()}, 502, "", 2, false, false},
		"failure keeps its status":      {"book", []answer{signed(500, "no")}, 500, "no", 1, true, false},
		"refusal keeps its status":      {"book", []answer{signed(409, "twice")}, 409, "twice", 1, true, false},
		"503 that ran becomes 502":      {"book", []answer{signed(503, "ran")}, 502, "", 1, false, false},
		"429 that ran becomes 502":      {"book", []answer{signed(429, "ran")}, 502, "", 1, false, false},
		"declined by all":               {"book", []answer{declined(), declined(), declined(), declined(), declined(), declined()}, 503, "", 6, false, true},
		"read again after a loss":       {"read", []answer{connectionLost(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again after a failure":    {"read", []answer{signed(500, "no"), signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again when truncated":     {"read", []answer{truncated, signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again when unsigned":      {"read", []answer{unsigned, signed(200, "ok")}, 200, "ok", 2, true, false},
		"reads end with the failure":    {"read", []answer{signed(500, "one"), signed(500, "two")}, 500, "two", 2, true, false},
		"reads keep within attempts":    {"read", []answer{connectionLost(), connectionLost()}, 502, "", 2, false, false},
		"failure is delivered at loss":  {"read", []answer{signed(500, "one"), connectionLost()}, 500, "one", 2, true, false},
		"unsent does not use attempts":  {"read", []answer{unsent(), connectionLost(), signed(200, "ok")}, 200, "ok", 3, true, false},
		"stream that is not resumable":  {"once", []answer{connectionLost()}, 502, "", 1, false, false},
		"stream lost before its header": {"stream", []answer{connectionLost(), events("id: 1\ndata: a\n\n")}, 200, "id: 1\ndata: a\n\n", 2, true, false},
		"stream's failure after a loss": {"stream", []answer{connectionLost(), signed(500, "no"), signed(500, "no")}, 500, "no", 3, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(test.script...)
				got := f.call(test.route)
				c.Check(got.status, qt.Equals, test.status)
				if test.body != "" {
					c.Check(got.body, qt.Equals, test.body)
				}
				c.Check(f.sender.sent, qt.HasLen, test.sent)
				c.Check(got.header.Get("Signature") != "", qt.Equals, test.signed)
				c.Check(got.header.Get("Retry-After") != "", qt.Equals, test.retryAfter)
				c.Check(got.aborted, qt.IsFalse)
			})
		})
	}
}

// TestRetryAvoidsFailedEndpoint checks that a retry goes to another endpoint than the failed attempt.
func TestRetryAvoidsFailedEndpoint(t *testing.T) {
	c := qt.New(t)
	f := newFixture(connectionLost(), signed(200, "ok"))
	f.call("read")
	sent := f.endpoints()
	c.Assert(sent, qt.HasLen, 2)
	c.Check(sent[0], qt.Not(qt.Equals), sent[1])
}

// TestEndpointRequest checks that each attempt has the caller's method, target and body, and the time left at its
// start.
func TestEndpointRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := connectionLost()
		slow.delay = 700 * time.Millisecond
		f := newFixture(slow, signed(200, "ok"))
		f.call("read")
		for _, out := range f.sender.sent {
			c.Check(out.Method, qt.Equals, http.MethodPost)
			c.Check(out.Target, qt.Equals, "/read/x")
			c.Check(string(out.Body), qt.Equals, "body")
			c.Check(out.Header.Get("Customer"), qt.Equals, "firm")
		}
		c.Check(f.sender.sent[0].Header.Get("Left-Ms"), qt.Equals, "3000")
		c.Check(f.sender.sent[1].Header.Get("Left-Ms"), qt.Equals, "2300")
	})
}

// TestUnframedStreamWithoutEvents guards against delivering an empty stream as complete when the endpoint's process ended: a body
// without length and chunks ends with its connection either way.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	c := qt.New(t)
	empty := events("")
	empty.unframed = true
	whole := events("id: 1\ndata: a\n\n")
	whole.unframed = true
	f := newFixture(empty, whole)
	seen := f.call("stream")
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
	c.Check(f.sender.sent, qt.HasLen, 2)
	f = newFixture(empty)
	c.Check(f.call("once").status, qt.Equals, http.StatusBadGateway)
	f = newFixture(events(""))
	c.Check(f.call("once").status, qt.Equals, http.StatusOK)
}

// TestResume checks that a truncated stream is resumed after the last complete event, keeps the first answer's
// header, and repeats no part of an event.
func TestResume(t *testing.T) {
	c := qt.New(t)
	first := events("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
	first.header += "\nFrom: first"
	first.truncated = true
	rest := events("id: 3\ndata: c\n\n")
	rest.header += "\nFrom: second"
	f := newFixture(first, rest)
	seen := f.call("stream")
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	c.Check(seen.header.Get("From"), qt.Equals, "first")
	c.Check(f.sender.sent[1].Header.Get("After"), qt.Equals, "2")
	c.Check(seen.aborted, qt.IsFalse)
}

// TestBrokenStream checks that the caller's connection is aborted if a truncated stream cannot be resumed, so that
// the stream does not look complete.
func TestBrokenStream(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		c := qt.New(t)
		first := events("id: 1\ndata: a\n\nid: 2\nda")
		first.truncated = true
		again := events("")
		again.truncated = true
		f := newFixture(first, again, again)
		seen := f.call(route)
		c.Check(seen.aborted, qt.IsTrue)
		c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
	}
}

// TestBrokenStreamAfterFailure checks that a truncated stream is also aborted if an earlier attempt left a buffered
// failure, which must not be appended to the events.
func TestBrokenStreamAfterFailure(t *testing.T) {
	c := qt.New(t)
	first := events("id: 1\ndata: a\n\n")
	first.truncated = true
	empty := events("")
	empty.truncated = true
	f := newFixture(signed(500, "no"), first, empty)
	seen := f.call("stream")
	c.Check(seen.aborted, qt.IsTrue)
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
}

// TestResumeGetsPlainAnswer checks that a plain answer to the request that resumes a stream is not appended to the
// events that the caller has: another endpoint resumes the stream, or the caller's connection is aborted.
func TestResumeGetsPlainAnswer(t *testing.T) {
	first := events("id: 1\ndata: a\n\n")
	first.truncated = true
	for _, status := range []int{200, 404, 409, 500} {
		c := qt.New(t)
		f := newFixture(first, signed(status, "plain"), events("id: 2\ndata: b\n\n"))
		seen := f.call("stream")
		c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", qt.Commentf("status %d", status))
		c.Check(seen.aborted, qt.IsFalse)

		f = newFixture(first, signed(status, "plain"), signed(status, "plain"))
		seen = f.call("stream")
		c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n", qt.Commentf("status %d", status))
		c.Check(seen.aborted, qt.IsTrue)
	}
}

// TestEndlessEvent checks that a stream whose event never ends is given up after a bounded number of bytes.
func TestEndlessEvent(t *testing.T) {
	c := qt.New(t)
	endless := events("id: 1\ndata: " + strings.Repeat("x", 4*maxEventBytes))
	f := newFixture(endless, events("id: 1\ndata: a\n\n"))
	seen := f.call("stream")
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
}

// TestEndlessAnswer checks that an answer without a length that never ends is cut off, and does not look complete.
func TestEndlessAnswer(t *testing.T) {
	c := qt.New(t)
	endless := signed(200, strings.Repeat("x", 1<<20))
	endless.repeated = maxAnswerBytes>>20 + 2
	f := newFixture(endless)
	seen := f.call("book")
	c.Check(seen.aborted, qt.IsTrue)
	c.Check(len(seen.body) <= maxAnswerBytes+1, qt.IsTrue)
}

// TestStreamEndsWithinEvent checks that a stream that ends within an event counts as truncated, though its body ends
// without an error.
func TestStreamEndsWithinEvent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(events("id: 1\ndata: a\n\nid: 2\nda"), events("id: 2\ndata: b\n\n"))
	c.Check(f.call("stream").body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// TestCascade checks that the smallest model is asked first, and the largest if the confidence of its answer is too
// low.
func TestCascade(t *testing.T) {
	lowConfidence, highConfidence, large := events("id: 1\ndata: s\n\n"), events("id: 1\ndata: s\n\n"), events("id: 1\ndata: l\n\n")
	lowConfidence.header += "\nConfidence: 20"
	highConfidence.header += "\nConfidence: 80"
	for name, test := range map[string]struct {
		script []answer
		models []string
		body   string
	}{
		"accepted":                      {[]answer{highConfidence}, []string{"small"}, "id: 1\ndata: s\n\n"},
		"rejected":                      {[]answer{lowConfidence, large}, []string{"small", "large"}, "id: 1\ndata: l\n\n"},
		"larger model lost":             {[]answer{lowConfidence, connectionLost(), large}, []string{"small", "large", "large"}, "id: 1\ndata: l\n\n"},
		"larger model rejected as well": {[]answer{lowConfidence, lowConfidence}, []string{"small", "large"}, "id: 1\ndata: s\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(test.script...)
				seen := f.call("stream", "Model", "any")
				c.Check(seen.body, qt.Equals, test.body)
				var models []string
				for _, out := range f.sender.sent {
					models = append(models, out.Header.Get("Model"))
				}
				c.Check(models, qt.DeepEquals, test.models)
			})
		})
	}
}

// TestCascadeRunsOnce guards against good answers that are dropped for another run which the route does not allow: a request that may run only once
// goes to the largest model, and its answer is delivered whatever its confidence.
func TestCascadeRunsOnce(t *testing.T) {
	c := qt.New(t)
	unsure := events("id: 1\ndata: a\n\n")
	unsure.header += "\nConfidence: 20"
	f := newFixture(unsure)
	d := draft(2)
	eachRoute(d, func(r *catalog.Route) { r.Models = []string{"small", "large"} })
	f.current.Set(catalog.New(d))
	got := f.call("once", "Model", "any")
	c.Check(got.status, qt.Equals, http.StatusOK)
	c.Check(got.body, qt.Equals, "id: 1\ndata: a\n\n")
	c.Check(f.sender.sent[0].Header.Get("Model"), qt.Equals, "large")
}

// TestCascadeUnderLoad checks that the required confidence falls as the larger model's answer would come later, and
// that every answer is accepted once it would miss the goal.
func TestCascadeUnderLoad(t *testing.T) {
	c := qt.New(t)
	c.Check(requiredConfidence(100*time.Millisecond, time.Second), qt.Equals, float64(acceptConfidence))
	c.Check(requiredConfidence(900*time.Millisecond, time.Second), qt.Equals, float64(acceptConfidenceBusy))
	c.Check(requiredConfidence(1100*time.Millisecond, time.Second), qt.Equals, 0.0)
}

// TestSilentEndpoint checks that the first-byte limit leaves time for another endpoint, also if the goal takes nearly
// all the time left, and that it is longer for an endpoint with a long backlog.
func TestSilentEndpoint(t *testing.T) {
	c := qt.New(t)
	c.Check(firstByteLimit(4*time.Second, 40*time.Millisecond, 4469*time.Millisecond), qt.Equals, 2234500*time.Microsecond)
	c.Check(firstByteLimit(time.Second, 40*time.Millisecond, 6*time.Second), qt.Equals, time.Second)
	c.Check(firstByteLimit(time.Second, 1200*time.Millisecond, 6*time.Second), qt.Equals, 2900*time.Millisecond)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		f.call("read")
		c.Check(f.sender.sent[0].FirstByteTimeout, qt.Equals, time.Second)
	})
}

// TestRetryBudget checks that retries are bounded by the share of first attempts plus the burst, per service.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewRetryBudget()
	retries := 0
	for range 1000 {
		budget.Deposit("app")
		for range 2 {
			if budget.Take("app") {
				retries++
			}
		}
	}
	c.Check(retries <= retryBurst+int(1000*retryShare), qt.IsTrue, qt.Commentf("%d repeats", retries))
	c.Check(budget.Take("other"), qt.IsTrue)
}

// TestRetryBudgetCountsRejections checks that a retry is charged to the budget also if the failed attempt was
// rejected without running or reached another endpoint's address.
func TestRetryBudgetCountsRejections(t *testing.T) {
	for _, first := range []answer{declined(), {status: http.StatusMisdirectedRequest}, connectionLost()} {
		c := qt.New(t)
		f := newFixture(first, signed(200, "ok"))
		f.exhaustRetries("app")
		seen := f.call("read")
		c.Check(f.sender.sent, qt.HasLen, 1)
		c.Check(seen.status >= 500, qt.IsTrue)
	}
}

// TestUnsentAttemptNotCharged checks that a retry after an attempt of which no byte was sent is not charged to the
// budget.
func TestUnsentAttemptNotCharged(t *testing.T) {
	c := qt.New(t)
	f := newFixture(unsent(), unsent(), signed(200, "ok"))
	f.exhaustRetries("app")
	c.Check(f.call("book").status, qt.Equals, 200)
}

// TestRefusals checks the status of requests that are refused before any attempt.
func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		change func(f *fixture, r *http.Request)
	}{
		"no configuration": {503, func(f *fixture, _ *http.Request) { *f.current = catalog.Current{} }},
		"no route":         {404, func(_ *fixture, r *http.Request) { r.URL.Path = "/none/x" }},
		"other host":       {404, func(_ *fixture, r *http.Request) { r.Host = "elsewhere" }},
		"no key":           {401, func(_ *fixture, r *http.Request) { r.Header.Del("Key") }},
		"unknown key":      {401, func(_ *fixture, r *http.Request) { r.Header.Set("Key", "stolen") }},
		"no endpoint":      {503, func(f *fixture, _ *http.Request) { f.table.Evacuate(map[string]bool{"a": true}) }},
		"about to end":     {503, func(f *fixture, _ *http.Request) { f.server.Stop(time.Now()) }},
		"long body":        {413, func(_ *fixture, r *http.Request) { r.ContentLength = 101 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture()
				r := f.request("read")
				test.change(f, r)
				seen := f.serve(r)
				c.Check(seen.status, qt.Equals, test.status)
				c.Check(f.sender.sent, qt.HasLen, 0)
			})
		})
	}
}

// TestStopping checks that a stopping instance refuses streams while it still serves plain requests.
func TestStopping(t *testing.T) {
	c := qt.New(t)
	f := newFixture(signed(200, "ok"))
	f.server.Stop(time.Now().Add(5 * time.Second))
	f.server.RefuseStreams()
	stream := f.call("stream")
	c.Check(stream.status, qt.Equals, 503)
	c.Check(stream.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	read := f.call("read")
	c.Check(read.status, qt.Equals, 200)
	c.Check(read.header.Get("Connection"), qt.Equals, "close")
}

// fillEndpoints occupies all slots of the service.
func (f *fixture) fillEndpoints() []*upstream.Grant {
	var grants []*upstream.Grant
	for {
		grant, blocked := f.table.Place(&upstream.Need{Service: "app"})
		if blocked != upstream.NotBlocked {
			return grants
		}
		grants = append(grants, grant)
	}
}

// TestVersionAbsent checks that a request is served by another version if the chosen one has no endpoint.
func TestVersionAbsent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(signed(200, "ok"))
	f.server.Versions = fixedVersion{only: "v2"}
	c.Check(f.call("read").status, qt.Equals, 200)
}

// TestQueue checks that a request that waited for a slot is sent according to the configuration at its dispatch, not
// at its arrival.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		grants := f.fillEndpoints()
		go func() {
			time.Sleep(300 * time.Millisecond)
			next := draft(2)
			next.Routes[0].Shares = []catalog.Share{{Service: "other", Weight: 1}}
			// The endpoint is listed first: the waiting request may wake at this instant, and without an endpoint it is
			// refused.
			f.table.Apply(upstream.Report{ID: "o1", Service: "other", Address: "o1", Zone: "a", Slots: 1})
			f.current.Set(catalog.New(next))
			grants[0].Done(upstream.Answered)
		}()
		c.Check(f.call("read").status, qt.Equals, 200)
		c.Check(f.endpoints(), qt.DeepEquals, []string{"o1"})
	})
}

// TestQueueRevoked checks that a queued request is refused, not sent, if its customer's key is removed meanwhile.
func TestQueueRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		grants := f.fillEndpoints()
		go func() {
			time.Sleep(300 * time.Millisecond)
			next := draft(2)
			next.Customers = nil
			f.current.Set(catalog.New(next))
			grants[0].Done(upstream.Answered)
		}()
		c.Check(f.call("read").status, qt.Equals, 401)
		c.Check(f.sender.sent, qt.HasLen, 0)
	})
}

// TestOverload checks that a request that gets no slot within its queue time is refused as not run, with a
// Retry-After.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		f.fillEndpoints()
		began := time.Now()
		seen := f.call("book")
		c.Check(seen.status, qt.Equals, 503)
		c.Check(seen.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(time.Since(began) <= 1600*time.Millisecond, qt.IsTrue)
	})
}

// TestTimeout checks that a request is answered at the route's timeout, with 504 because it may have run.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := signed(200, "late")
		slow.delay = time.Minute
		f := newFixture(slow)
		began := time.Now()
		c.Check(f.call("book", "Wait-Ms", "20000").status, qt.Equals, 504)
		c.Check(time.Since(began), qt.Equals, 4*time.Second)
	})
}

// TestCallerLeft checks that the attempt ends at once when the caller leaves, and that no retry follows.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		slow := signed(200, "late")
		slow.delay = time.Minute
		f := newFixture(slow)
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		began := time.Now()
		seen := f.serve(f.request("read").WithContext(ctx))
		c.Check(seen.aborted, qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, time.Second)
		c.Check(f.sender.sent, qt.HasLen, 1)
	})
}

// TestDrainsBeforeDispatch checks that a queued request is not sent to an endpoint that began to drain meanwhile.
func TestDrainsBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		grants := f.fillEndpoints()
		go func() {
			time.Sleep(100 * time.Millisecond)
			for _, id := range []machine.EndpointID{"e1", "e2"} {
				f.table.Apply(upstream.Report{ID: id, Service: "app", Address: string(id), Zone: "a", Slots: 4, Draining: true})
			}
			for _, grant := range grants {
				grant.Done(upstream.Answered)
			}
		}()
		c.Check(f.call("book").status, qt.Equals, 200)
		c.Check(f.endpoints(), qt.DeepEquals, []string{"e3"})
	})
}

// recordedVersions records the observed attempts.
type recordedVersions struct {
	fixedVersion
	attempts []canary.Attempt
}

func (*recordedVersions) ObservePace(string, string, time.Duration, bool) {}

func (r *recordedVersions) Begin(service, version string, at canary.Circumstances, expected time.Duration) *canary.Trial {
	return canary.NewTrial(r, service, version, at, expected)
}

func (r *recordedVersions) Observe(_, _ string, attempt canary.Attempt) {
	r.attempts = append(r.attempts, attempt)
}

// TestExpectedTimeIncludesQueuedWork checks that the expected time of an attempt includes the work queued before it.
// Otherwise a rise of traffic would make the version look slow.
func TestExpectedTimeIncludesQueuedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := signed(200, "ok")
		slow.delay = 300 * time.Millisecond
		f := newFixture(slow)
		versions := &recordedVersions{}
		f.server.Versions = versions
		for range 9 { // three at each endpoint
			_, blocked := f.table.Place(&upstream.Need{Service: "app", PromptParts: []upstream.PromptPart{{ID: 7, Tokens: 10000}}, PromptTokens: 10000})
			c.Assert(blocked, qt.Equals, upstream.NotBlocked)
		}
		f.call("read")
		c.Assert(versions.attempts, qt.HasLen, 1)
		c.Check(versions.attempts[0].Expected > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s behind three long prompts", versions.attempts[0].Expected))
	})
}

// TestTruncatedAnswerNotObserved checks that truncated and lost answers, which occur when an endpoint stops, do not
// count against their version.
func TestTruncatedAnswerNotObserved(t *testing.T) {
	for name, test := range map[string]struct {
		first    answer
		attempts []bool // for each observed attempt, whether it failed
	}{
		"truncated": {answer{status: 200, header: "Signature: s", body: "o", truncated: true}, []bool{false}},
		"lost":      {connectionLost(), []bool{false}},
		"a failure": {signed(500, "no"), []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(test.first, signed(200, "ok"))
			versions := &recordedVersions{}
			f.server.Versions = versions
			c.Check(f.call("read").status, qt.Equals, 200)
			var failed []bool
			for _, attempt := range versions.attempts {
				failed = append(failed, attempt.Failed)
			}
			c.Check(failed, qt.DeepEquals, test.attempts)
		})
	}
}

// TestLeavingAnswer checks that an endpoint gets no further request after any answer in which it says that it leaves, also if that
// answer is discarded, and that the answer itself is delivered.
func TestLeavingAnswer(t *testing.T) {
	leaving := func(a answer) answer {
		a.header += "\nLeaving: 1"
		return a
	}
	for name, test := range map[string]struct {
		answer answer
		status int
	}{
		"success":         {leaving(signed(200, "ok")), 200},
		"failure":         {leaving(signed(404, "no")), 404},
		"rejection":       {leaving(declined()), 200},
		"stream":          {leaving(events("id: 1\ndata: a\n\n")), 200},
		"other endpoint":  {leaving(answer{status: http.StatusMisdirectedRequest, header: "X: y"}), 200},
		"low confidence":  {leaving(answer{status: 200, header: "Signature: s\nConfidence: 1", body: "no"}), 200},
		"broken off":      {leaving(answer{status: 200, header: "Signature: s", body: "ha", truncated: true}), 200},
		"without a stamp": {leaving(answer{status: 200, header: "X: y", body: "whose?"}), 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			script := []answer{test.answer}
			for range 40 {
				script = append(script, signed(200, "ok"))
			}
			f := newFixture(script...)
			seen := f.call("stream", "Model", "any")
			c.Check(seen.status, qt.Equals, test.status)
			for range 20 {
				c.Check(f.call("read").status, qt.Equals, 200)
			}
			sent := f.endpoints()
			c.Check(slices.Contains(sent[1:], sent[0]), qt.IsFalse)
		})
	}
}
