package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"plumbarrow.example/plumbarrow/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closingService answers the first request of each connection and closes it after running the
// second one, without an answer.
func closingService(c *qt.C) (address string, runs *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for served := 0; ; served++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					if request.URL.Path == "/run" {
						runs.Add(1)
					}
					if served > 0 {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	return listener.Addr().String(), runs
}

// TestSilentSecondRun guards against a second run of a request that net/http sends again by itself when
// a reused connection closes before the answer: the plain client runs it twice, the dispatcher must run
// it once.
func TestSilentSecondRun(t *testing.T) {
	c := qt.New(t)
	address, runs := closingService(c)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	plain := &http.Client{Transport: transport}
	response, err := plain.Get("http://" + address + "/warm")
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/run", strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	request.Header.Set(HeaderIdempotencyKey, "k")
	if response, err := plain.Do(request); err == nil {
		response.Body.Close()
	}
	c.Assert(runs.Load(), qt.Equals, int64(2), qt.Commentf("net/http no longer repeats the request, so the check below proves nothing"))

	runs.Store(0)
	dispatcher := NewDispatcher()
	defer dispatcher.Close()
	warm := newAttempt(address, false)
	warm.Path = "/warm"
	answer, err := dispatcher.Do(t.Context(), warm)
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	attempt := newAttempt(address, false)
	attempt.Header = http.Header{HeaderIdempotencyKey: {"k"}}
	_, err = dispatcher.Do(t.Context(), attempt)
	var failure *Failure
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Assert(failure.Verdict, qt.Equals, verdict.MayHaveRun)
	c.Assert(failure.OnNewConnection, qt.IsFalse)
	c.Assert(runs.Load(), qt.Equals, int64(1))
	_, err = onceTransport{http.DefaultTransport}.RoundTrip(request)
	c.Assert(err, qt.ErrorIs, errReplayable)
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gone.Close()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/declined":
			w.Header().Set(HeaderVerdict, "not_run")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/short":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		case "/502-declared":
			w.Header().Set(HeaderVerdict, "not_run")
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer server.Close()
	server.Config.ErrorLog = nil
	alive := server.Listener.Addr().String()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, test := range []struct {
		name, address, path string
		ctx                 context.Context
		verdict             verdict.Verdict
		reason              verdict.Reason
		refused             bool
		status              int // of an answer instead of a failure
	}{
		{"nothing listens", gone.Addr().String(), "/run", t.Context(), verdict.NotRun, verdict.RetryNotSent, true, 0},
		{"cancelled before", alive, "/run", cancelled, verdict.NotRun, verdict.RetryNotSent, false, 0},
		{"declared", alive, "/declined", t.Context(), verdict.NotRun, verdict.RetryUnavailable, false, 0},
		{"closed after the request", alive, "/abort", t.Context(), verdict.MayHaveRun, verdict.RetryConnection, false, 0},
		{"declaration on another status", alive, "/502-declared", t.Context(), 0, "", false, http.StatusBadGateway},
		{"short body", alive, "/short", t.Context(), verdict.MayHaveRun, verdict.RetryTruncated, false, 0},
	} {
		c.Run(test.name, func(c *qt.C) {
			dispatcher := NewDispatcher()
			defer dispatcher.Close()
			attempt := newAttempt(test.address, false)
			attempt.Path = test.path
			answer, err := dispatcher.Do(test.ctx, attempt)
			if err == nil {
				defer answer.Body.Close()
				if test.status != 0 {
					c.Assert(answer.Status, qt.Equals, test.status)
					return
				}
				_, err = io.ReadAll(answer.Body)
			}
			var failure *Failure
			c.Assert(errors.As(err, &failure), qt.IsTrue)
			c.Assert(failure.Verdict, qt.Equals, test.verdict, qt.Commentf("%v", failure))
			c.Assert(failure.Reason, qt.Equals, test.reason)
			c.Assert(failure.Refused, qt.Equals, test.refused)
		})
	}
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func dispatch(c *qt.C, d *Dispatcher, attempt *Attempt) *Failure {
	answer, err := d.Do(c.Context(), attempt)
	if err == nil {
		_, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	var failure *Failure
	if err != nil {
		c.Assert(errors.As(err, &failure), qt.IsTrue)
	}
	return failure
}

// TestSilentConnection checks that an attempt on a pooled connection whose path is lost times out, that
// one on a new connection succeeds, and that only timeouts on new connections of at least minSilence
// condemn the endpoint.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newPipeNetwork()
		defer serveHTTP(network, answerOK)()
		dispatcher := NewDispatcherWith(network.dial)
		defer dispatcher.Close()
		c.Assert(dispatch(c, dispatcher, newAttempt("e:1", true)), qt.Equals, (*Failure)(nil))
		network.lastConn.Load().silent.Store(true)

		reused := newAttempt("e:1", true)
		reused.ReusedFirstByteTimeout = 2 * time.Second
		start := time.Now()
		failure := dispatch(c, dispatcher, reused)
		c.Assert(failure.Reason, qt.Equals, verdict.RetrySilent)
		c.Assert([]bool{failure.OnNewConnection, failure.EndpointUnresponsive}, qt.DeepEquals, []bool{false, false})
		c.Assert(time.Since(start), qt.Equals, 2*time.Second)

		fresh := newAttempt("e:1", true)
		fresh.NewConnection = true
		c.Assert(dispatch(c, dispatcher, fresh), qt.Equals, (*Failure)(nil))
		network.silent.Store(true)
		shortWait := newAttempt("e:1", true)
		shortWait.NewConnection, shortWait.FirstByteTimeout = true, minSilence/2
		for range condemnThreshold {
			c.Assert(dispatch(c, dispatcher, shortWait).EndpointUnresponsive, qt.IsFalse)
		}
		failure = dispatch(c, dispatcher, fresh)
		c.Assert(failure, qt.Not(qt.Equals), (*Failure)(nil))
		c.Assert(failure.EndpointUnresponsive, qt.IsFalse)
		c.Assert(dispatch(c, dispatcher, fresh).EndpointUnresponsive, qt.IsTrue)
		network.silent.Store(false)
		c.Assert(dispatch(c, dispatcher, fresh), qt.Equals, (*Failure)(nil))
		network.silent.Store(true)
		c.Assert(dispatch(c, dispatcher, fresh).EndpointUnresponsive, qt.IsFalse)
	})
}

// TestProvedConnection checks that attempts that are not idempotent use only connections that finished an
// answer within recentIdleTimeout, and that connections idle for longer than their pool allows are not
// reused.
func TestProvedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newPipeNetwork()
		defer serveHTTP(network, answerOK)()
		dispatcher := NewDispatcherWith(network.dial)
		defer dispatcher.Close()
		for _, step := range []struct {
			idempotent bool
			pause      time.Duration
			dials      int64
		}{
			{true, 0, 1},
			{false, 0, 2}, // never on a connection of the other pool
			{false, 2 * time.Second, 2},
			{false, 4 * time.Second, 3},
			{true, 20 * time.Second, 3},
			{true, 31 * time.Second, 4},
		} {
			time.Sleep(step.pause)
			c.Assert(dispatch(c, dispatcher, newAttempt("e:1", step.idempotent)), qt.Equals, (*Failure)(nil))
			c.Assert(network.dials.Load(), qt.Equals, step.dials, qt.Commentf("%+v", step))
		}
	})
}

// TestBackpressure checks that a caller that reads an answer more slowly than the progress timeout does
// not fail the attempt, and that a pause of the endpoint does.
func TestBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newPipeNetwork()
		defer serveHTTP(network, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 256<<10))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})()
		dispatcher := NewDispatcherWith(network.dial)
		defer dispatcher.Close()
		answer, err := dispatcher.Do(t.Context(), newAttempt("e:1", true))
		c.Assert(err, qt.IsNil)
		defer answer.Body.Close()
		part := make([]byte, 64<<10)
		for range 4 {
			time.Sleep(time.Minute)
			_, err := io.ReadFull(answer.Body, part)
			c.Assert(err, qt.IsNil)
		}
		start := time.Now()
		_, err = answer.Body.Read(part)
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Assert(failure.Reason, qt.Equals, verdict.RetrySilent)
		c.Assert(time.Since(start), qt.Equals, 10*time.Second)
	})
}

func TestRequestHeader(t *testing.T) {
	c := qt.New(t)
	header := RequestHeader(http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"X-Drop, close"}, "X-Drop": {"1"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Plumbarrow-Verdict": {"not_run"}, "Content-Length": {"3"},
		"Idempotency-Key": {"k"}, "X-Keep": {"2"},
	})
	c.Assert(header, qt.DeepEquals, http.Header{"Idempotency-Key": {"k"}, "X-Keep": {"2"}})
}
