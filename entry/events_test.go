package entry

import (
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/telemetry"
)

// TestCrowdOfLongEvents guards against engines whose events use up the memory of the machine that called them: a crowd of streams, each
// with an event that stays within its bound and does not end, holds no more than the memory for requests.
func TestCrowdOfLongEvents(t *testing.T) {
	const streams, limit, eventBytes = 40, 8 << 20, 900 << 10
	errOpen := errors.New("the stream goes on")
	for name, text := range map[string]string{
		"line":  "data: " + strings.Repeat("x", eventBytes),
		"lines": strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", eventBytes/1000),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			callers := intake.New(intake.Limits{Bytes: limit, Connections: streams}, telemetry.New(), slog.New(slog.DiscardHandler))
			account := callers.Forwarded()
			defer account.Close()
			var open []*eventReader
			for range streams {
				stream := callers.Forwarded()
				defer stream.Close()
				events := newEventReader(stream, io.MultiReader(strings.NewReader(text), iotest.ErrReader(errOpen)))
				_, err := events.next()
				if errors.Is(err, errOpen) {
					open = append(open, events)
				} else {
					c.Assert(errors.Is(err, intake.ErrFull), qt.IsTrue, qt.Commentf("%v", err))
				}
			}
			c.Check(len(open) > 0 && len(open)*eventBytes <= limit, qt.IsTrue, qt.Commentf("%d of %d streams hold their event", len(open), streams))
			for _, events := range open {
				events.close()
			}
			c.Check(account.Grow(limit/2), qt.IsNil) // the room is free again
		})
	}
}
