package intake

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
)

// TestCutAnswerOfOldCaller guards against MIXED and ORDER for callers that speak HTTP/1.0: an answer without a length that was cut off ended in
// order, and so looked complete. A whole one still ends in order.
func TestCutAnswerOfOldCaller(t *testing.T) {
	for _, cut := range []bool{true, false} {
		c := qt.New(t)
		guard := New(Limits{Bytes: 1 << 20, Connections: 9}, telemetry.New(), slog.New(slog.DiscardHandler))
		listener, err := guard.Listen(t.Context(), "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if cut {
				panic(http.ErrAbortHandler)
			}
		})}
		guard.Attach(server)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		_, err = io.ReadAll(conn)
		c.Check(errors.Is(err, syscall.ECONNRESET), qt.Equals, cut, qt.Commentf("%v", err))
		_, _ = conn.Close(), server.Close()
		<-served
	}
}
