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

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(c *qt.C) string {
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

// TestModes checks open and new connections in each mode, and that a silent connection stays silent
// when the mode changes.
func TestModes(t *testing.T) {
	c := qt.New(t)
	r, err := relay.New("127.0.0.1:0", startEchoServer(c))
	c.Assert(err, qt.IsNil)
	control := httptest.NewServer(r.Handler())
	c.Cleanup(func() { control.Close(); r.Close() })
	put := func(path string) int {
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
	roundTrip := func(conn net.Conn) error {
		_, _ = conn.Write([]byte("x"))
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	checkSilent := func(conn net.Conn) {
		c.Assert(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
		var timeout net.Error
		c.Check(roundTrip(conn), qt.ErrorAs, &timeout)
		c.Check(timeout.Timeout(), qt.IsTrue)
	}
	first, second := dial(), dial()
	c.Check(roundTrip(first), qt.IsNil)
	c.Check(roundTrip(second), qt.IsNil)
	c.Check(put("/silence-open"), qt.Equals, http.StatusNoContent)
	checkSilent(first)
	third := dial()
	c.Check(roundTrip(third), qt.IsNil)
	c.Check(put("/mode/cut"), qt.Equals, http.StatusNoContent)
	c.Check(roundTrip(third), qt.IsNotNil)
	// The reset may arrive before Dial returns, so either Dial or the round trip fails.
	cut, err := net.Dial("tcp", r.Address())
	if err == nil {
		c.Cleanup(func() { cut.Close() })
		err = roundTrip(cut)
	}
	c.Check(err, qt.IsNotNil)
	checkSilent(second)
	c.Check(put("/mode/silent"), qt.Equals, http.StatusNoContent)
	checkSilent(dial())
	c.Check(put("/mode/forward"), qt.Equals, http.StatusNoContent)
	c.Check(roundTrip(dial()), qt.IsNil)
	checkSilent(second)
	c.Check(put("/mode/other"), qt.Equals, http.StatusBadRequest)
}
