package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
)

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	conn   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *oneConnection) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conn:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConnection) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *oneConnection) Addr() net.Addr { return &net.TCPAddr{} }

// dialed returns a caller's connection to a server with the handler. The server ends with the test.
func dialed(c *qt.C, handler http.Handler) net.Conn {
	caller, served := net.Pipe()
	listener := &oneConnection{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conn <- served
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() {
		_ = caller.Close()
		_ = server.Close()
	})
	return caller
}

const keptHead = "POST /%s/x HTTP/1.1\r\nHost: host\r\nId: %s\r\nKey: key\r\nWait-Ms: 30000\r\nContent-Length: 4\r\n%s\r\n"

// TestExpectOnKeptConnection guards against uploads that fail on a kept connection because the write deadline of the previous answer applies to the
// 100 Continue of the next request.
func TestExpectOnKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		caller := dialed(c, newFixture(signed(200, "first"), signed(200, "second")).server)
		replies := bufio.NewReader(caller)
		send := func(format string, args ...any) { go func() { _, _ = fmt.Fprintf(caller, format, args...) }() }
		send(keptHead+"body", "read", "r1", "")
		answer, err := http.ReadResponse(replies, nil)
		c.Assert(err, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, http.StatusOK)
		_, _ = replies.Discard(int(answer.ContentLength))
		time.Sleep(2 * writeTimeout)
		send(keptHead, "read", "r2", "Expect: 100-continue\r\n")
		answer, err = http.ReadResponse(replies, nil)
		c.Assert(err, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, http.StatusContinue)
		send("body")
		answer, err = http.ReadResponse(replies, nil)
		c.Assert(err, qt.IsNil)
		c.Check(answer.StatusCode, qt.Equals, http.StatusOK)
	})
}

// TestStreamEndsAfterSilence guards against complete streams that are truncated because the write deadline of the last event applies to the last chunk.
func TestStreamEndsAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		event := "id: 1\ndata: a\n\n"
		f := newFixture(answer{status: 200, header: "Signature: s\nContent-Type: text/event-stream", body: event, pause: writeTimeout + 2*time.Second})
		d := draft(2)
		eachRoute(d, func(r *catalog.Route) { r.Timeout = 3 * writeTimeout })
		f.current.Set(catalog.New(d))
		caller := dialed(c, f.server)
		go func() { _, _ = fmt.Fprintf(caller, keptHead+"body", "stream", "r1", "") }()
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		c.Assert(err, qt.IsNil)
		began := time.Now()
		body, err := io.ReadAll(answer.Body)
		c.Check(err, qt.IsNil, qt.Commentf("%s", f.log))
		c.Check(string(body), qt.Equals, event)
		c.Check(time.Since(began) > writeTimeout, qt.IsTrue)
	})
}
