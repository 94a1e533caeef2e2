package engine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Faults are the faults to inject. A count n applies the fault to the next n requests. The zero value
// is a healthy engine.
type Faults struct {
	Failures      int `json:"failures"`       // answers 500
	Refusals      int `json:"refusals"`       // answers 503 with the verdict not_run
	Silences      int `json:"silences"`       // reads the request and never answers
	Truncations   int `json:"truncations"`    // cuts a body short, or ends a stream without its last events
	BreakStreams  int `json:"break_streams"`  // aborts the connection after After tokens
	SilentStreams int `json:"silent_streams"` // sends nothing more after After tokens
	// After is the number of tokens before BreakStreams and SilentStreams apply, at least 1.
	After         int `json:"after"`
	CrossAnswers  int `json:"cross_answers"`  // answers with another attempt's id
	WrongVersions int `json:"wrong_versions"` // answers with another version's name
	// Quality, if set, replaces the quality of every answer.
	Quality *float64 `json:"quality"`
	// Leaving sets HeaderLeaving on every answer.
	Leaving bool `json:"leaving"`
}

type fault struct {
	fail, refuse, silent, truncate, wrongAttempt, wrongVersion bool
	breakAfter, silentAfter                                    int
}

// SetFaults replaces the injected faults.
func (g *Engine) SetFaults(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
}

func (g *Engine) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	g.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

// takeFault returns the faults for one request and decrements their counts.
func (g *Engine) takeFault() fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := &g.faults
	taken := fault{
		fail:         consume(&f.Failures),
		refuse:       consume(&f.Refusals),
		silent:       consume(&f.Silences),
		truncate:     consume(&f.Truncations),
		wrongAttempt: consume(&f.CrossAnswers),
		wrongVersion: consume(&f.WrongVersions),
	}
	if consume(&f.BreakStreams) {
		taken.breakAfter = max(f.After, 1)
	}
	if consume(&f.SilentStreams) {
		taken.silentAfter = max(f.After, 1)
	}
	return taken
}

// consume decrements a non-zero count and reports whether it was non-zero. A negative count never runs
// out.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
