package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/verdict"
)

const idHeader = "Request-Id"

// scriptedEndpoint answers each request with the bytes that script returns for its path and id.
type scriptedEndpoint struct {
	script func(path, id string) string
	conns  atomic.Int64
	runs   atomic.Int64
	bodies sync.Map // by id
}

func (s *scriptedEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.conns.Add(1)
	go s.serve(far)
	return near, nil
}

// serve answers requests until the script closes the connection: "" closes it without an answer, a
// trailing "!" closes it after the answer.
func (s *scriptedEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.runs.Add(1)
		id := request.Header.Get(idHeader)
		s.bodies.Store(id, string(body))
		answer := s.script(request.URL.Path, id)
		answer, closes := strings.CutSuffix(answer, "!")
		if _, err := io.WriteString(conn, answer); err != nil || closes || answer == "" {
			return
		}
	}
}

// matchID matches answers by the id that they echo.
func matchID(answer http.Header, id string) Match {
	if answer.Get(idHeader) == id {
		return SameRequest
	}
	return OtherRequest
}

func matchAny(http.Header, string) Match { return SameRequest }

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func scriptedClient(script func(path, id string) string) (*EndpointClient, *scriptedEndpoint) {
	endpoint := &scriptedEndpoint{script: script}
	client := NewEndpointClientWith(endpoint.dial, matchID)
	return client, endpoint
}

func newEndpointRequest(id, path string) *EndpointRequest {
	return &EndpointRequest{
		Address: "10.0.0.1:80", ID: id, Method: http.MethodPost, Target: path, Host: "host",
		Header: http.Header{idHeader: {id}}, Body: []byte("work"),
	}
}

func readAndClose(c *qt.C, answer *EndpointAnswer) string {
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Body.Close(), qt.IsNil)
	return string(body)
}

// TestEndpointClientReuses checks that a connection is reused after a complete answer until its keep-alive time is
// over.
func TestEndpointClientReuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, endpoint := scriptedClient(func(_, id string) string {
			return strings.Replace(okAnswer(id, "done"), "\r\n", "\r\nKeep-Alive: timeout=5\r\n", 1)
		})
		defer client.Close()
		for _, id := range []string{"a", "b"} {
			answer, err := client.Send(t.Context(), newEndpointRequest(id, "/"))
			c.Assert(err, qt.IsNil)
			c.Check(readAndClose(c, answer), qt.Equals, "done")
		}
		c.Check(endpoint.conns.Load(), qt.Equals, int64(1))
		time.Sleep(4100 * time.Millisecond) // more than the timeout less keepAliveMargin
		answer, err := client.Send(t.Context(), newEndpointRequest("c", "/"))
		c.Assert(err, qt.IsNil)
		readAndClose(c, answer)
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// TestEndpointClientKeepsFew checks that idle connections beyond MaxIdleConns are closed.
func TestEndpointClientKeepsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, _ := scriptedClient(func(_, id string) string { return okAnswer(id, "done") })
		defer client.Close()
		var answers []*EndpointAnswer
		for _, id := range []string{"a", "b", "c"} {
			request := newEndpointRequest(id, "/")
			request.MaxIdleConns = 2
			answer, err := client.Send(t.Context(), request)
			c.Assert(err, qt.IsNil)
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			readAndClose(c, answer)
		}
		c.Check(client.idle["10.0.0.1:80"], qt.HasLen, 2)
	})
}

// TestEndpointClientNeverRepeats checks that a request whose reused connection closes without an answer is sent
// once and fails with MayHaveRun.
func TestEndpointClientNeverRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, endpoint := scriptedClient(func(path, id string) string {
			if path == "/lost" {
				return ""
			}
			return okAnswer(id, "done")
		})
		defer client.Close()
		answer, err := client.Send(t.Context(), newEndpointRequest("a", "/"))
		c.Assert(err, qt.IsNil)
		readAndClose(c, answer)
		_, err = client.Send(t.Context(), newEndpointRequest("b", "/lost"))
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
		c.Check(failure.OnNewConnection, qt.IsFalse)
		c.Check(endpoint.runs.Load(), qt.Equals, int64(2))
	})
}

// TestEndpointClientNotSent checks that a request without a connection fails with NotRun.
func TestEndpointClientNotSent(t *testing.T) {
	c := qt.New(t)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	_, err := NewEndpointClientWith(refuse, nil).Send(t.Context(), newEndpointRequest("a", "/"))
	var failure *Failure
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
}

// TestEndpointClientSkipsLateAnswers checks that the answer with the request's id is returned, and that answers to
// other requests, which arrive late on the connection, are skipped.
func TestEndpointClientSkipsLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, _ := scriptedClient(func(path, id string) string {
			if path == "/late" {
				return okAnswer("earlier", "not yours") + okAnswer(id, "yours")
			}
			return strings.Repeat(okAnswer("earlier", "not yours"), maxAnswersRead)
		})
		defer client.Close()
		answer, err := client.Send(t.Context(), newEndpointRequest("a", "/late"))
		c.Assert(err, qt.IsNil)
		c.Check(readAndClose(c, answer), qt.Equals, "yours")
		_, err = client.Send(t.Context(), newEndpointRequest("b", "/others"))
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Reason, qt.Equals, verdict.RetryWrongAttempt)
		c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
	})
}

// TestEndpointClientWholeAnswers checks that an incomplete answer is an error and that its connection is not
// reused.
func TestEndpointClientWholeAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"short body":     "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nhalf!",
		"short chunk":    "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha!",
		"no last chunk":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n!",
		"not an answer":  "\x00\x01garbage\r\n\r\n!",
		"header cut off": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Le!",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				client, endpoint := scriptedClient(func(string, string) string { return answer })
				defer client.Close()
				received, err := client.Send(t.Context(), newEndpointRequest("a", "/"))
				if err == nil {
					_, err = io.ReadAll(received.Body)
					_ = received.Body.Close()
				}
				var failure *Failure
				c.Assert(errors.As(err, &failure), qt.IsTrue)
				c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
				_, _ = client.Send(t.Context(), newEndpointRequest("a", "/"))
				c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
			})
		})
	}
}

// TestEndpointClientUndelimited checks that an answer without a length, which ends with its connection, is
// returned and that the connection is not kept.
func TestEndpointClientUndelimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, endpoint := scriptedClient(func(_, id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\nto the end!"
		})
		defer client.Close()
		for _, id := range []string{"a", "b"} {
			answer, err := client.Send(t.Context(), newEndpointRequest(id, "/"))
			c.Assert(err, qt.IsNil)
			c.Check(answer.Origin.Framing, qt.Equals, ByConnection)
			c.Check(readAndClose(c, answer), qt.Equals, "to the end")
		}
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// TestEndpointClientStrayBytes checks that a connection with bytes after a complete answer is not reused.
func TestEndpointClientStrayBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, endpoint := scriptedClient(func(path, id string) string {
			if path == "/twice" {
				return okAnswer(id, "one") + okAnswer(id, "two")
			}
			return okAnswer(id, "fresh")
		})
		defer client.Close()
		answer, err := client.Send(t.Context(), newEndpointRequest("a", "/twice"))
		c.Assert(err, qt.IsNil)
		c.Check(readAndClose(c, answer), qt.Equals, "one")
		synctest.Wait()
		answer, err = client.Send(t.Context(), newEndpointRequest("b", "/"))
		c.Assert(err, qt.IsNil)
		c.Check(readAndClose(c, answer), qt.Equals, "fresh")
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// earlyEndpoint answers before it reads the body, and reads the body after readAfter.
func earlyEndpoint(id string, readAfter time.Duration) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.WriteString(far, okAnswer(id, "early")); err != nil {
					return
				}
				time.Sleep(readAfter)
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
}

// TestEndpointClientEarlyAnswer checks that a connection whose answer arrives before the request's body is written
// is kept only if the rest of the body is written within writeGrace. Otherwise the next request would be
// read as part of that body.
func TestEndpointClientEarlyAnswer(t *testing.T) {
	for _, test := range []struct {
		readAfter time.Duration
		kept      int
	}{{10 * time.Millisecond, 1}, {time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			client := NewEndpointClientWith(earlyEndpoint("a", test.readAfter), matchAny)
			defer client.Close()
			request := newEndpointRequest("a", "/")
			request.Body = make([]byte, 10*maxInlineBody)
			answer, err := client.Send(t.Context(), request)
			c.Assert(err, qt.IsNil)
			c.Check(readAndClose(c, answer), qt.Equals, "early")
			c.Check(client.idle["10.0.0.1:80"], qt.HasLen, test.kept)
			time.Sleep(2 * test.readAfter) // so that the endpoint sees a closed connection
		})
	}
}

// TestEndpointClientSilence checks that a request without an answer ends after FirstByteTimeout, and at once when its
// context ends.
func TestEndpointClientSilence(t *testing.T) {
	silent := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewEndpointClientWith(silent, matchAny)
		request := newEndpointRequest("a", "/")
		request.FirstByteTimeout = 700 * time.Millisecond
		began := time.Now()
		_, err := client.Send(t.Context(), request)
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Reason, qt.Equals, verdict.RetrySilent)
		c.Check(time.Since(began), qt.Equals, 700*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began = time.Now()
		_, err = client.Send(ctx, newEndpointRequest("b", "/"))
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, 50*time.Millisecond)
	})
}

// TestEndpointClientReusableOnTCP checks that reusable detects a stray byte and a close on a TCP connection.
func TestEndpointClientReusableOnTCP(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn) error{
		"stray byte": func(far net.Conn) error { _, err := far.Write([]byte("x")); return err },
		"closed":     func(far net.Conn) error { return far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			near, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = near.Close() }()
			far, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = far.Close() }()
			conn := newEndpointConn(near, listener.Addr().String(), 1)
			c.Check(conn.reusable(), qt.IsTrue)
			c.Assert(disturb(far), qt.IsNil)
			for conn.reusable() {
				time.Sleep(time.Millisecond) // until the kernel delivers the event
			}
		})
	}
}
