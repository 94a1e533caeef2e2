package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oklog/run"
)

// TestAnswersAtShutdown checks that a request which was read just before the end of a planned stop gets its whole
// answer before the server closes.
func TestAnswersAtShutdown(t *testing.T) {
	c := qt.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := free.Addr().String()
	c.Assert(free.Close(), qt.IsNil)
	read, finish := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(read)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	var group run.Group
	ctx, stop := context.WithCancel(t.Context())
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
	listener, err := listen(t.Context(), address)
	c.Assert(err, qt.IsNil)
	addServer(&group, listener, &http.Server{Handler: handler}, time.Minute)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	type answer struct {
		body string
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			answered <- answer{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answered <- answer{string(body), err}
	}()
	<-read
	stop()
	for { // until the server no longer accepts connections
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(finish)
	got := <-answered
	c.Assert(got.err, qt.IsNil)
	c.Check(got.body, qt.Equals, "whole")
	c.Assert(<-ended, qt.IsNil)
}
