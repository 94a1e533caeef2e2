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

// scriptedEndpoint answers each request with what script returns for its path.
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

// serve answers until a script says to close: "" closes without an answer, a trailing "!" closes after
// it.
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

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func scriptedWire(script func(path, id string) string) (*Wire, *scriptedEndpoint) {
	endpoint := &scriptedEndpoint{script: script}
	wire := NewWireWith(endpoint.dial, func(answer http.Header, id string) bool { return answer.Get(idHeader) == id })
	return wire, endpoint
}

func outgoing(id, path string) *Outgoing {
	return &Outgoing{
		Address: "10.0.0.1:80", ID: id, Method: http.MethodPost, Target: path, Host: "host",
		Header: http.Header{idHeader: {id}}, Body: []byte("work"),
	}
}

func readOut(c *qt.C, answer *Incoming) string {
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Body.Close(), qt.IsNil)
	return string(body)
}

// TestWireReuses keeps a connection after a whole answer and opens a new one once it is too old.
func TestWireReuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, endpoint := scriptedWire(func(_, id string) string {
			return strings.Replace(okAnswer(id, "done"), "\r\n", "\r\nKeep-Alive: timeout=5\r\n", 1)
		})
		defer wire.Close()
		for _, id := range []string{"a", "b"} {
			answer, err := wire.Send(t.Context(), outgoing(id, "/"))
			c.Assert(err, qt.IsNil)
			c.Check(readOut(c, answer), qt.Equals, "done")
		}
		c.Check(endpoint.conns.Load(), qt.Equals, int64(1))
		time.Sleep(4100 * time.Millisecond) // the stated time less a margin
		answer, err := wire.Send(t.Context(), outgoing("c", "/"))
		c.Assert(err, qt.IsNil)
		readOut(c, answer)
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// TestWireKeepsFew closes connections beyond the bound of idle ones.
func TestWireKeepsFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, _ := scriptedWire(func(_, id string) string { return okAnswer(id, "done") })
		defer wire.Close()
		var answers []*Incoming
		for _, id := range []string{"a", "b", "c"} {
			out := outgoing(id, "/")
			out.KeepIdle = 2
			answer, err := wire.Send(t.Context(), out)
			c.Assert(err, qt.IsNil)
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			readOut(c, answer)
		}
		c.Check(wire.idle["10.0.0.1:80"], qt.HasLen, 2)
	})
}

// TestWireNeverRepeats sends a request once, whatever becomes of its connection, and says that it may
// have run.
func TestWireNeverRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, endpoint := scriptedWire(func(path, id string) string {
			if path == "/lost" {
				return ""
			}
			return okAnswer(id, "done")
		})
		defer wire.Close()
		answer, err := wire.Send(t.Context(), outgoing("a", "/"))
		c.Assert(err, qt.IsNil)
		readOut(c, answer)
		_, err = wire.Send(t.Context(), outgoing("b", "/lost"))
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
		c.Check(failure.FreshConnection, qt.IsFalse)
		c.Check(endpoint.runs.Load(), qt.Equals, int64(2))
	})
}

// TestWireNotSent says not run only if no connection was had.
func TestWireNotSent(t *testing.T) {
	c := qt.New(t)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	_, err := NewWireWith(refuse, nil).Send(t.Context(), outgoing("a", "/"))
	var failure *Failure
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
}

// TestWireSkipsLateAnswers takes the answer with the request's id; another request's, which came late on
// the connection, is skipped and never passed on.
func TestWireSkipsLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, _ := scriptedWire(func(path, id string) string {
			if path == "/late" {
				return okAnswer("earlier", "not yours") + okAnswer(id, "yours")
			}
			return okAnswer("earlier", "one") + okAnswer("earlier", "two") + okAnswer("earlier", "three")
		})
		defer wire.Close()
		answer, err := wire.Send(t.Context(), outgoing("a", "/late"))
		c.Assert(err, qt.IsNil)
		c.Check(readOut(c, answer), qt.Equals, "yours")
		_, err = wire.Send(t.Context(), outgoing("b", "/others"))
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Reason, qt.Equals, verdict.RetryWrongAttempt)
		c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
	})
}

// TestWireWholeAnswers takes no answer for whole that is not, and reuses no connection after one.
func TestWireWholeAnswers(t *testing.T) {
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
				wire, endpoint := scriptedWire(func(string, string) string { return answer })
				defer wire.Close()
				got, err := wire.Send(t.Context(), outgoing("a", "/"))
				if err == nil {
					_, err = io.ReadAll(got.Body)
					_ = got.Body.Close()
				}
				var failure *Failure
				c.Assert(errors.As(err, &failure), qt.IsTrue)
				c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
				_, _ = wire.Send(t.Context(), outgoing("a", "/"))
				c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
			})
		})
	}
}

// TestWireUndelimited passes on an answer that ends with its connection, and does not keep that.
func TestWireUndelimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, endpoint := scriptedWire(func(_, id string) string {
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\nto the end!"
		})
		defer wire.Close()
		for _, id := range []string{"a", "b"} {
			answer, err := wire.Send(t.Context(), outgoing(id, "/"))
			c.Assert(err, qt.IsNil)
			c.Check(readOut(c, answer), qt.Equals, "to the end")
		}
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// TestWireStrayBytes does not use a connection on which bytes came after a whole answer.
func TestWireStrayBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire, endpoint := scriptedWire(func(path, id string) string {
			if path == "/twice" {
				return okAnswer(id, "one") + okAnswer(id, "two")
			}
			return okAnswer(id, "fresh")
		})
		defer wire.Close()
		answer, err := wire.Send(t.Context(), outgoing("a", "/twice"))
		c.Assert(err, qt.IsNil)
		c.Check(readOut(c, answer), qt.Equals, "one")
		synctest.Wait()
		answer, err = wire.Send(t.Context(), outgoing("b", "/"))
		c.Assert(err, qt.IsNil)
		c.Check(readOut(c, answer), qt.Equals, "fresh")
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
	})
}

// earlyEndpoint answers before it has read the body, and reads on later.
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

// TestWireEarlyAnswer finishes the body of a request whose answer came early, or gives the connection
// up: nothing else may stand where the rest of the body is due.
func TestWireEarlyAnswer(t *testing.T) {
	for _, one := range []struct {
		readAfter time.Duration
		kept      int
	}{{10 * time.Millisecond, 1}, {time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			wire := NewWireWith(earlyEndpoint("a", one.readAfter), func(http.Header, string) bool { return true })
			defer wire.Close()
			out := outgoing("a", "/")
			out.Body = make([]byte, 10*inlineBody)
			answer, err := wire.Send(t.Context(), out)
			c.Assert(err, qt.IsNil)
			c.Check(readOut(c, answer), qt.Equals, "early")
			c.Check(wire.idle["10.0.0.1:80"], qt.HasLen, one.kept)
			time.Sleep(2 * one.readAfter) // for the endpoint to notice a closed connection
		})
	}
}

// TestWireSilence ends a request on a connection that went silent after its time, and one whose caller
// left at once.
func TestWireSilence(t *testing.T) {
	silent := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		wire := NewWireWith(silent, func(http.Header, string) bool { return true })
		out := outgoing("a", "/")
		out.FirstByte = 700 * time.Millisecond
		began := time.Now()
		_, err := wire.Send(t.Context(), out)
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Reason, qt.Equals, verdict.RetrySilent)
		c.Check(time.Since(began), qt.Equals, 700*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began = time.Now()
		_, err = wire.Send(ctx, outgoing("b", "/"))
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(time.Since(began), qt.Equals, 50*time.Millisecond)
	})
}

// TestWireQuietOnTCP sees bytes and ends of connections that the kernel holds.
func TestWireQuietOnTCP(t *testing.T) {
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
			conn := &wireConn{Conn: near, reader: bufio.NewReader(near)}
			c.Check(conn.quiet(), qt.IsTrue)
			c.Assert(disturb(far), qt.IsNil)
			for conn.quiet() {
				time.Sleep(time.Millisecond) // until the kernel has it
			}
		})
	}
}
