package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// loadReport returns the load as it was lag ago. Safe for concurrent use.
type loadReport struct {
	lag time.Duration

	mu      sync.Mutex
	pending []loadSample
	shown   loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

func (r *loadReport) add(running, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, loadSample{at: time.Now(), running: running, queued: queued})
	r.advance()
}

func (r *loadReport) read() (running, queued int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return r.shown.running, r.shown.queued
}

// advance sets shown to the newest sample that is at least lag old; r.mu is held.
func (r *loadReport) advance() {
	horizon := time.Now().Add(-r.lag)
	for len(r.pending) > 0 && !r.pending[0].at.After(horizon) {
		r.shown = r.pending[0]
		r.pending = r.pending[1:]
	}
}

// metrics serves the load in Prometheus text format.
func (g *Engine) metrics(c echo.Context) error {
	running, queued := g.reportedLoad.read()
	text := fmt.Sprintf("engine_requests_running %d\nengine_requests_waiting %d\n", running, queued)
	return c.String(http.StatusOK, text)
}
