package link

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resettingEndpoint answers one request with an answer without a length and resets the connection, unread bytes included.
func resettingEndpoint(t *testing.T, body string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 64))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n"+body)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

// awaitReset returns once the connection has been reset. It leaves the socket's pending error in place.
func awaitReset(t *testing.T, conn net.Conn) {
	const (
		tcpInfo  = 11 // TCP_INFO of linux/tcp.h; its first byte is the connection's state
		tcpClose = 7
	)
	raw, err := conn.(syscall.Conn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	for state := 0; state != tcpClose; runtime.Gosched() {
		controlErr := raw.Control(func(fd uintptr) { state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpInfo) })
		qt.Assert(t, errors.Join(controlErr, err), qt.IsNil)
		state &= 0xff
	}
}

// TestResetWhileSuspended guards against a reset that passes for the end of an answer without a length: it arrives while the process is
// suspended, so that the next read finds its deadline over and looks for available bytes, and the silence is no reason to give up.
func TestResetWhileSuspended(t *testing.T) {
	c := qt.New(t)
	client := NewEndpointClient(matchID)
	defer client.Close()
	request := newEndpointRequest("a", "/")
	request.Address = resettingEndpoint(t, "id: 1\n\n")
	request.ProgressTimeout, request.ShouldGiveUp = time.Minute, func(time.Duration) bool { return false }
	answer, err := client.Send(t.Context(), request)
	c.Assert(err, qt.IsNil)
	body := answer.Body.(*endpointBody)
	awaitReset(t, body.conn.Conn)
	body.progressAt = time.Now().Add(-time.Hour)
	text, err := io.ReadAll(answer.Body)
	c.Check(string(text), qt.Equals, "id: 1\n\n")
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("the answer ended with %v", err))
	c.Check(answer.Body.Close(), qt.IsNil)
}
