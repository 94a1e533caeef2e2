package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
)

// TestOutcomes plays what endpoints do with one request and checks what its caller sees and how often it
// was sent.
func TestOutcomes(t *testing.T) {
	unsigned := answer{status: http.StatusOK, body: "whose?"}
	broken := answer{status: http.StatusOK, header: "Signature: s", body: "ha", breaks: true}
	elsewhere := answer{status: http.StatusMisdirectedRequest}
	for name, one := range map[string]struct {
		route  string
		script []answer
		status int
		body   string
		sent   int
		signed bool
		again  bool // the answer asks to come back
	}{
		"booked":                        {"book", []answer{signed(200, "ok")}, 200, "ok", 1, true, false},
		"not sent goes elsewhere":       {"book", []answer{unsent(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"declined goes elsewhere":       {"book", []answer{declined(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"other endpoint's address":      {"book", []answer{elsewhere, signed(200, "ok")}, 200, "ok", 2, true, false},
		"lost runs once":                {"book", []answer{lost()}, 502, "", 1, false, false},
		"broken runs once":              {"book", []answer{broken}, 502, "", 1, false, false},
		"unsigned runs once":            {"book", []answer{unsigned}, 502, "", 1, false, false},
		"lost after declined":           {"book", []answer{declined(), lost()}, 502, "", 2, false, false},
		"failure keeps its status":      {"book", []answer{signed(500, "no")}, 500, "no", 1, true, false},
		"refusal keeps its status":      {"book", []answer{signed(409, "twice")}, 409, "twice", 1, true, false},
		"503 that ran is no promise":    {"book", []answer{signed(503, "ran")}, 502, "", 1, false, false},
		"429 that ran is no promise":    {"book", []answer{signed(429, "ran")}, 502, "", 1, false, false},
		"declined by all":               {"book", []answer{declined(), declined(), declined(), declined(), declined(), declined()}, 503, "", 6, false, true},
		"read again after a loss":       {"read", []answer{lost(), signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again after a failure":    {"read", []answer{signed(500, "no"), signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again when broken":        {"read", []answer{broken, signed(200, "ok")}, 200, "ok", 2, true, false},
		"read again when unsigned":      {"read", []answer{unsigned, signed(200, "ok")}, 200, "ok", 2, true, false},
		"reads end with the failure":    {"read", []answer{signed(500, "one"), signed(500, "two")}, 500, "two", 2, true, false},
		"reads keep within attempts":    {"read", []answer{lost(), lost()}, 502, "", 2, false, false},
		"a failure outlives a loss":     {"read", []answer{signed(500, "one"), lost()}, 500, "one", 2, true, false},
		"unsent does not use attempts":  {"read", []answer{unsent(), lost(), signed(200, "ok")}, 200, "ok", 3, true, false},
		"stream that may not go on":     {"once", []answer{lost()}, 502, "", 1, false, false},
		"stream not begun may go on":    {"stream", []answer{lost(), events("id: 1\ndata: a\n\n")}, 200, "id: 1\ndata: a\n\n", 2, true, false},
		"stream's failure after a loss": {"stream", []answer{lost(), signed(500, "no"), signed(500, "no")}, 500, "no", 3, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(one.script...)
				seen := f.call(one.route)
				c.Check(seen.status, qt.Equals, one.status)
				if one.body != "" {
					c.Check(seen.body, qt.Equals, one.body)
				}
				c.Check(f.sender.sent, qt.HasLen, one.sent)
				c.Check(seen.header.Get("Signature") != "", qt.Equals, one.signed)
				c.Check(seen.header.Get("Retry-After") != "", qt.Equals, one.again)
				c.Check(seen.aborted, qt.IsFalse)
			})
		})
	}
}

// TestAttemptsElsewhere avoids the endpoint that failed the request.
func TestAttemptsElsewhere(t *testing.T) {
	c := qt.New(t)
	f := newFixture(lost(), signed(200, "ok"))
	f.call("read")
	sent := f.endpoints()
	c.Assert(sent, qt.HasLen, 2)
	c.Check(sent[0], qt.Not(qt.Equals), sent[1])
}

// TestSent passes method, target and body on unchanged, with the time left.
func TestSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := lost()
		slow.after = 700 * time.Millisecond
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

// TestResume goes on with a broken stream after the last whole event, with the first header, and passes
// no part of an event twice.
func TestResume(t *testing.T) {
	c := qt.New(t)
	first := events("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
	first.header += "\nFrom: first"
	first.breaks = true
	rest := events("id: 3\ndata: c\n\n")
	rest.header += "\nFrom: second"
	f := newFixture(first, rest)
	seen := f.call("stream")
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	c.Check(seen.header.Get("From"), qt.Equals, "first")
	c.Check(f.sender.sent[1].Header.Get("After"), qt.Equals, "2")
	c.Check(seen.aborted, qt.IsFalse)
}

// TestBrokenStream cuts the caller's connection where a stream cannot go on, so that it does not look
// whole.
func TestBrokenStream(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		c := qt.New(t)
		broken := events("id: 1\ndata: a\n\nid: 2\nda")
		broken.breaks = true
		again := events("")
		again.breaks = true
		f := newFixture(broken, again, again)
		seen := f.call(route)
		c.Check(seen.aborted, qt.IsTrue)
		c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
	}
}

// TestBrokenStreamAfterFailure cuts a broken stream too where an earlier endpoint's failure is at hand: it
// must not follow the events.
func TestBrokenStreamAfterFailure(t *testing.T) {
	c := qt.New(t)
	broken := events("id: 1\ndata: a\n\n")
	broken.breaks = true
	empty := events("")
	empty.breaks = true
	f := newFixture(signed(500, "no"), broken, empty)
	seen := f.call("stream")
	c.Check(seen.aborted, qt.IsTrue)
	c.Check(seen.body, qt.Equals, "id: 1\ndata: a\n\n")
}

// TestEndInEvent takes a stream that ends within an event for broken, though its body is whole.
func TestEndInEvent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(events("id: 1\ndata: a\n\nid: 2\nda"), events("id: 2\ndata: b\n\n"))
	c.Check(f.call("stream").body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// TestCascade asks the smallest model first, and the largest where its answer is not trusted.
func TestCascade(t *testing.T) {
	doubted, trusted, large := events("id: 1\ndata: s\n\n"), events("id: 1\ndata: s\n\n"), events("id: 1\ndata: l\n\n")
	doubted.header += "\nConfidence: 20"
	trusted.header += "\nConfidence: 80"
	for name, one := range map[string]struct {
		script []answer
		models []string
		body   string
	}{
		"trusted":              {[]answer{trusted}, []string{"small"}, "id: 1\ndata: s\n\n"},
		"doubted":              {[]answer{doubted, large}, []string{"small", "large"}, "id: 1\ndata: l\n\n"},
		"larger one lost":      {[]answer{doubted, lost(), large}, []string{"small", "large", "large"}, "id: 1\ndata: l\n\n"},
		"larger one as unsure": {[]answer{doubted, doubted}, []string{"small", "large"}, "id: 1\ndata: s\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(one.script...)
				seen := f.call("stream", "Model", "any")
				c.Check(seen.body, qt.Equals, one.body)
				var models []string
				for _, out := range f.sender.sent {
					models = append(models, out.Header.Get("Model"))
				}
				c.Check(models, qt.DeepEquals, one.models)
			})
		})
	}
}

// TestCascadeUnderLoad passes a doubted answer on where the larger model's would come too late.
func TestCascadeUnderLoad(t *testing.T) {
	c := qt.New(t)
	c.Check(requiredTrust(100*time.Millisecond, time.Second), qt.Equals, float64(trust))
	c.Check(requiredTrust(900*time.Millisecond, time.Second), qt.Equals, float64(trustBusy))
	c.Check(requiredTrust(1100*time.Millisecond, time.Second), qt.Equals, 0.0)
}

// TestSilentEndpoint leaves time for another endpoint, also where the goal is nearly the whole time, and
// waits longer for an endpoint with a long backlog.
func TestSilentEndpoint(t *testing.T) {
	c := qt.New(t)
	c.Check(firstByteLimit(4*time.Second, 40*time.Millisecond, 4469*time.Millisecond), qt.Equals, 2234500*time.Microsecond)
	c.Check(firstByteLimit(time.Second, 40*time.Millisecond, 6*time.Second), qt.Equals, time.Second)
	c.Check(firstByteLimit(time.Second, 1200*time.Millisecond, 6*time.Second), qt.Equals, 2900*time.Millisecond)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		f.call("read")
		c.Check(f.sender.sent[0].FirstByte, qt.Equals, time.Second)
	})
}

// TestRetryBudget ends repeats once they outnumber what first attempts paid for.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewRetries()
	repeats := 0
	for range 1000 {
		budget.Paid("app")
		for range 2 {
			if budget.Take("app") {
				repeats++
			}
		}
	}
	c.Check(repeats <= retryBurst+int(1000*retryShare), qt.IsTrue, qt.Commentf("%d repeats", repeats))
	c.Check(budget.Take("other"), qt.IsTrue)
}

// TestBudgetCountsEveryArrival charges the budget for each endpoint that is asked again, also after one
// that declined unrun or had only another's address.
func TestBudgetCountsEveryArrival(t *testing.T) {
	for _, first := range []answer{declined(), {status: http.StatusMisdirectedRequest}, lost()} {
		c := qt.New(t)
		f := newFixture(first, signed(200, "ok"))
		f.spend("app")
		seen := f.call("read")
		c.Check(f.sender.sent, qt.HasLen, 1)
		c.Check(seen.status >= 500, qt.IsTrue)
	}
}

// TestUnsentIsFree charges nothing for an attempt of which no byte left.
func TestUnsentIsFree(t *testing.T) {
	c := qt.New(t)
	f := newFixture(unsent(), unsent(), signed(200, "ok"))
	f.spend("app")
	c.Check(f.call("book").status, qt.Equals, 200)
}

// TestRefusals checks requests that reach no endpoint.
func TestRefusals(t *testing.T) {
	for name, one := range map[string]struct {
		status int
		change func(f *fixture, r *http.Request)
	}{
		"no configuration": {503, func(f *fixture, _ *http.Request) { *f.current = catalog.Current{} }},
		"no route":         {404, func(_ *fixture, r *http.Request) { r.URL.Path = "/none/x" }},
		"other host":       {404, func(_ *fixture, r *http.Request) { r.Host = "elsewhere" }},
		"no key":           {401, func(_ *fixture, r *http.Request) { r.Header.Del("Key") }},
		"unknown key":      {401, func(_ *fixture, r *http.Request) { r.Header.Set("Key", "stolen") }},
		"no endpoint":      {503, func(f *fixture, _ *http.Request) { f.table.Evacuate(map[string]bool{"a": true}) }},
		"about to end":     {503, func(f *fixture, _ *http.Request) { f.server.Close(ClosedToAll) }},
		"long body":        {413, func(_ *fixture, r *http.Request) { r.ContentLength = 101 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture()
				r := f.request("read")
				one.change(f, r)
				seen := f.serve(r)
				c.Check(seen.status, qt.Equals, one.status)
				c.Check(f.sender.sent, qt.HasLen, 0)
			})
		})
	}
}

// TestStopping serves plain requests to the end of a stop and refuses streams before.
func TestStopping(t *testing.T) {
	c := qt.New(t)
	f := newFixture(signed(200, "ok"))
	f.server.Stop()
	f.server.Close(ClosedToStreams)
	stream := f.call("stream")
	c.Check(stream.status, qt.Equals, 503)
	c.Check(stream.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	read := f.call("read")
	c.Check(read.status, qt.Equals, 200)
	c.Check(read.header.Get("Connection"), qt.Equals, "close")
}

// fill takes all places of the service.
func (f *fixture) fill() []*upstream.Grant {
	var grants []*upstream.Grant
	for {
		grant, blocked := f.table.Place(&upstream.Need{Service: "app"})
		if blocked != upstream.NotBlocked {
			return grants
		}
		grants = append(grants, grant)
	}
}

// TestVersionAbsent serves a request with another version where its own has no endpoint left.
func TestVersionAbsent(t *testing.T) {
	c := qt.New(t)
	f := newFixture(signed(200, "ok"))
	f.server.Versions = fixedVersion{only: "v2"}
	c.Check(f.call("read").status, qt.Equals, 200)
}

// TestQueue serves a request that waited for a place, by the configuration of the moment at which it is
// sent.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		grants := f.fill()
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

// TestQueueRevoked sends nothing for a customer whose key was taken away while the request waited.
func TestQueueRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		grants := f.fill()
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

// TestOverload refuses a request that finds no place in a part of its time, as not run and with the time
// to come back.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		f.fill()
		began := time.Now()
		seen := f.call("book")
		c.Check(seen.status, qt.Equals, 503)
		c.Check(seen.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(time.Since(began) <= 1600*time.Millisecond, qt.IsTrue)
	})
}

// TestTimeout answers within the route's time: what may have run is no promise.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := signed(200, "late")
		slow.after = time.Minute
		f := newFixture(slow)
		began := time.Now()
		c.Check(f.call("book", "Wait-Ms", "20000").status, qt.Equals, 504)
		c.Check(time.Since(began), qt.Equals, 4*time.Second)
	})
}

// TestCallerLeft ends the attempt at once and sends nothing more.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		slow := signed(200, "late")
		slow.after = time.Minute
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

// TestDrainsBeforeDispatch sends nothing to an endpoint that announced its end while the request waited.
func TestDrainsBeforeDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(signed(200, "ok"))
		grants := f.fill()
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

// recordedVersions keeps what was told of versions.
type recordedVersions struct {
	fixedVersion
	seen []canary.Attempt
}

func (r *recordedVersions) Observe(_, _ string, attempt canary.Attempt) {
	r.seen = append(r.seen, attempt)
}

// TestTrafficIsNoFault: a version whose endpoints have much to do when the traffic rises is measured
// against the work that stood before the request, not against the request's own prompt alone.
func TestTrafficIsNoFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		slow := signed(200, "ok")
		slow.after = 300 * time.Millisecond
		f := newFixture(slow)
		versions := &recordedVersions{}
		f.server.Versions = versions
		for range 9 { // three at each endpoint
			_, blocked := f.table.Place(&upstream.Need{Service: "app", Parts: []upstream.Part{{ID: 7, Tokens: 10000}}, PromptTokens: 10000})
			c.Assert(blocked, qt.Equals, upstream.NotBlocked)
		}
		f.call("read")
		c.Assert(versions.seen, qt.HasLen, 1)
		c.Check(versions.seen[0].Expected > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%s behind three long prompts", versions.seen[0].Expected))
	})
}

// TestBrokenAnswerIsNoEvidence: an endpoint that ends within its answers says nothing of their version.
func TestBrokenAnswerIsNoEvidence(t *testing.T) {
	for name, one := range map[string]struct {
		first answer
		seen  []bool // whether each attempt that was observed failed
	}{
		"broken off": {answer{status: 200, header: "Signature: s", body: "o", breaks: true}, []bool{false}},
		"lost":       {lost(), []bool{false}},
		"a failure":  {signed(500, "no"), []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(one.first, signed(200, "ok"))
			versions := &recordedVersions{}
			f.server.Versions = versions
			c.Check(f.call("read").status, qt.Equals, 200)
			var failed []bool
			for _, attempt := range versions.seen {
				failed = append(failed, attempt.Failed)
			}
			c.Check(failed, qt.DeepEquals, one.seen)
		})
	}
}
