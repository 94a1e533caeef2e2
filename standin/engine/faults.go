package engine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Faults scripts how the engine misbehaves. Counts apply to that many of the next requests. The
// zero value is a healthy engine.
type Faults struct {
	Failures      int `json:"failures"`       // answers 500
	Refusals      int `json:"refusals"`       // answers 503, not run
	Silences      int `json:"silences"`       // reads the request and never answers
	Truncations   int `json:"truncations"`    // answers without their end
	BreakStreams  int `json:"break_streams"`  // streams that are cut
	SilentStreams int `json:"silent_streams"` // streams that go silent
	// After is how many tokens come before a stream is cut or goes silent.
	After         int `json:"after"`
	CrossAnswers  int `json:"cross_answers"`  // answers under another attempt id
	WrongVersions int `json:"wrong_versions"` // answers under another version
	// Quality replaces the engine's quality while set.
	Quality *float64 `json:"quality"`
	// Leaving makes the engine announce that it leaves.
	Leaving bool `json:"leaving"`
}

type fault struct {
	fail, refuse, silent, truncate, cross, wrongVersion bool
	breakAfter, silentAfter                             int
}

// Fail replaces the faults in force.
func (g *Engine) Fail(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
}

func (g *Engine) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	g.Fail(faults)
	return c.NoContent(http.StatusNoContent)
}

// takeFault uses up one count of each fault in force.
func (g *Engine) takeFault() fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &g.faults
	taken := fault{
		fail:         take(&f.Failures),
		refuse:       take(&f.Refusals),
		silent:       take(&f.Silences),
		truncate:     take(&f.Truncations),
		cross:        take(&f.CrossAnswers),
		wrongVersion: take(&f.WrongVersions),
	}
	if take(&f.BreakStreams) {
		taken.breakAfter = max(f.After, 1)
	}
	if take(&f.SilentStreams) {
		taken.silentAfter = max(f.After, 1)
	}
	return taken
}

func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
