package boundedlog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks each Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestNeverBlocks writes more lines than the queue holds while the output is blocked. No Write may block,
// the oldest lines are kept in order, the dropped ones are counted, and Run writes all queued lines before
// it returns.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{released: make(chan struct{})}
		writer := New()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- writer.Run(ctx, out) }()
		synctest.Wait()
		const lines = queueCapacity + 100
		for i := range lines {
			n, err := fmt.Fprintf(writer, "line %d\n", i)
			c.Assert(err, qt.IsNil)
			c.Assert(n > 0, qt.IsTrue)
		}
		synctest.Wait()
		dropped := writer.Dropped()
		c.Check(dropped >= 99 && dropped <= 100, qt.IsTrue, qt.Commentf("%d dropped", dropped))
		close(out.released)
		cancel()
		c.Check(<-done, qt.IsNil)
		c.Check(strings.HasPrefix(out.text.String(), "line 0\nline 1\n"), qt.IsTrue)
		c.Check(uint64(strings.Count(out.text.String(), "line ")), qt.Equals, lines-dropped)
	})
}
