package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAbandonedAttemptResets guards against requests that a healed link delivers long after they were given up: the connection of an
// abandoned attempt is reset, so that the kernel discards what has not arrived.
func TestAbandonedAttemptResets(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string // before the attempt is given up
		timeout time.Duration
		cancel  bool
	}{
		"caller leaves before the answer": {cancel: true},
		"no first byte":                   {timeout: 50 * time.Millisecond},
		"caller leaves within the answer": {answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nhalf", cancel: true},
		"answer discarded":                {answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n\r\nhalf"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			ended := make(chan error, 1)
			received := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err == nil {
					_, err = io.Copy(io.Discard, request.Body)
				}
				if err == nil {
					_, err = io.WriteString(conn, test.answer)
				}
				close(received)
				if err == nil {
					_, err = reader.ReadByte()
				}
				ended <- err
			}()
			client := NewEndpointClient(matchID)
			defer client.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.cancel {
				go func() { <-received; cancel() }()
			}
			request := newEndpointRequest("a", "/")
			request.Address, request.FirstByteTimeout = listener.Addr().String(), test.timeout
			answer, err := client.Send(ctx, request)
			if err == nil {
				if test.cancel {
					<-ctx.Done()
				}
				c.Check(answer.Body.Close(), qt.IsNil)
			}
			c.Check(errors.Is(<-ended, syscall.ECONNRESET), qt.IsTrue)
		})
	}
}
