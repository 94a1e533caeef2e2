package link

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

// listenOnce serves one connection with serve and returns the address.
func listenOnce(t *testing.T, serve func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// TestInvalidAnswerThenSilence guards against attempts that wait until their time is over, though the endpoint has sent an invalid line: it keeps
// the connection open without another byte.
func TestInvalidAnswerThenSilence(t *testing.T) {
	for name, text := range map[string]string{
		"status line":       "HTTP/1.1 000 None\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nhi",
		"field":             "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length : 2\r\n\r\nhi",
		"chunk":             "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3 \r\nabc\r\n0\r\n\r\n",
		"stream then fault": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nZZ\r\n",
	} {
		address := func(t *testing.T) string {
			return listenOnce(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, conn) // silent until closed
			})
		}
		t.Run("client, "+name, func(t *testing.T) {
			c := qt.New(t)
			client := NewEndpointClient(matchID)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request := newEndpointRequest("a", "/")
			request.Address = address(t)
			answer, err := client.Send(ctx, request)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			c.Check(errors.Is(err, answercheck.ErrInvalid), qt.IsTrue, qt.Commentf("%v", err))
		})
		t.Run("dispatcher, "+name, func(t *testing.T) {
			c := qt.New(t)
			dispatcher := NewDispatcher()
			defer dispatcher.Close()
			attempt := newAttempt("e:1", true)
			attempt.Endpoint.Address = address(t)
			attempt.FirstByteTimeout, attempt.ProgressTimeout = time.Minute, time.Minute
			answer, err := dispatcher.Do(t.Context(), attempt)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			c.Check(errors.Is(err, answercheck.ErrInvalid), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
