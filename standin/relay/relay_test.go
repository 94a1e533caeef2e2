package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/standin/relay"
)

// echoes starts a server that sends back what it gets.
func echoes(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

// TestModes walks connections through all modes.
func TestModes(t *testing.T) {
	c := qt.New(t)
	r, err := relay.New("127.0.0.1:0", echoes(c))
	c.Assert(err, qt.IsNil)
	control := httptest.NewServer(r.Handler())
	c.Cleanup(func() { control.Close(); r.Close() })
	order := func(path string) int {
		request, err := http.NewRequest(http.MethodPut, control.URL+path, nil)
		c.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		return response.StatusCode
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", r.Address())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		return conn
	}
	say := func(conn net.Conn) error {
		_, _ = conn.Write([]byte("x"))
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	silent := func(conn net.Conn) {
		c.Assert(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
		var failure net.Error
		c.Check(say(conn), qt.ErrorAs, &failure)
		c.Check(failure.Timeout(), qt.IsTrue)
	}
	first, second := dial(), dial()
	c.Check(say(first), qt.IsNil)
	c.Check(say(second), qt.IsNil)
	c.Check(order("/silence-open"), qt.Equals, http.StatusNoContent)
	silent(first)
	third := dial()
	c.Check(say(third), qt.IsNil)
	c.Check(order("/mode/cut"), qt.Equals, http.StatusNoContent)
	c.Check(say(third), qt.IsNotNil)
	// The cut may come before the dialer has seen the connection open.
	cut, err := net.Dial("tcp", r.Address())
	if err == nil {
		c.Cleanup(func() { cut.Close() })
		err = say(cut)
	}
	c.Check(err, qt.IsNotNil)
	silent(second)
	c.Check(order("/mode/silent"), qt.Equals, http.StatusNoContent)
	silent(dial())
	c.Check(order("/mode/forward"), qt.Equals, http.StatusNoContent)
	c.Check(say(dial()), qt.IsNil)
	silent(second)
	c.Check(order("/mode/other"), qt.Equals, http.StatusBadRequest)
}
