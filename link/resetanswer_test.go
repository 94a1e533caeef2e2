package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
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

// TestResetDuringUpload guards against an early answer without a length that counts as whole though its connection was reset within it:
// the write of the request's body receives the socket's error, and reads return the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	c := qt.New(t)
	client := NewEndpointClient(matchID)
	defer client.Close()
	request := newEndpointRequest("a", "/")
	request.Address, request.Body = resettingEndpoint(t, "part"), make([]byte, 64<<20)
	answer, err := client.Send(t.Context(), request)
	c.Assert(err, qt.IsNil)
	body := answer.Body.(*endpointBody)
	writeErr := <-body.written
	c.Assert(writeErr, qt.IsNotNil)
	body.written <- writeErr
	text, err := io.ReadAll(answer.Body)
	c.Check(string(text), qt.Equals, "part")
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("the answer ended with %v after the write: %v", err, writeErr))
	c.Check(answer.Body.Close(), qt.IsNil)
}

// uploadConn answers as soon as it is written to, and then returns the end of the stream. The write in progress holds the error until it
// is interrupted, as if the kernel had reported it to that write first.
type uploadConn struct {
	net.Conn
	answer      io.Reader
	writeErr    error
	written     chan struct{}
	interrupted chan struct{}
	write, stop sync.Once
}

func (c *uploadConn) Read(p []byte) (int, error) {
	<-c.written
	return c.answer.Read(p)
}

func (c *uploadConn) Write([]byte) (int, error) {
	c.write.Do(func() { close(c.written) })
	<-c.interrupted
	return 0, c.writeErr
}

func (c *uploadConn) SetWriteDeadline(time.Time) error {
	c.stop.Do(func() { close(c.interrupted) })
	return nil
}

func (c *uploadConn) SetReadDeadline(time.Time) error { return nil }

func (c *uploadConn) Close() error { return c.SetWriteDeadline(time.Time{}) }

// TestResetBeforeWriteReturns guards against the same where the read returns before the write, for both clients. An orderly end during the
// upload still completes the answer, also if a reset follows it, which the kernel reports to the write as EPIPE.
func TestResetBeforeWriteReturns(t *testing.T) {
	for _, writeErr := range []error{syscall.ECONNRESET, os.ErrDeadlineExceeded, syscall.EPIPE} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			return &uploadConn{
				answer:   strings.NewReader("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\npart"),
				writeErr: writeErr, written: make(chan struct{}), interrupted: make(chan struct{}),
			}, nil
		}
		check := func(c *qt.C, body io.ReadCloser) {
			text, err := io.ReadAll(body)
			c.Check(string(text), qt.Equals, "part")
			c.Check(errors.Is(err, syscall.ECONNRESET), qt.Equals, writeErr == syscall.ECONNRESET, qt.Commentf("the answer ended with %v", err))
			c.Check(err != nil, qt.Equals, writeErr == syscall.ECONNRESET, qt.Commentf("the answer ended with %v", err))
			c.Check(body.Close(), qt.IsNil)
		}
		t.Run("client, "+writeErr.Error(), func(t *testing.T) {
			request := newEndpointRequest("a", "/")
			request.Body = make([]byte, maxInlineBody+1)
			answer, err := NewEndpointClientWith(dial, matchID).Send(t.Context(), request)
			qt.Assert(t, err, qt.IsNil)
			check(qt.New(t), answer.Body)
		})
		t.Run("dispatcher, "+writeErr.Error(), func(t *testing.T) {
			attempt := newAttempt("e:1", true)
			attempt.Body = make([]byte, 1<<20)
			answer, err := NewDispatcherWith(dial).Do(t.Context(), attempt)
			qt.Assert(t, err, qt.IsNil)
			check(qt.New(t), answer.Body)
		})
	}
}
