package requestlog

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEventsOfTwoInstances extracts a request's lines from two instances, and the events of its endpoints,
// from a log that also has other requests, other endpoints and lines that are not JSON.
func TestEventsOfTwoInstances(t *testing.T) {
	c := qt.New(t)
	logs, err := os.Open("testdata/two-instances.log")
	c.Assert(err, qt.IsNil)
	defer func() { _ = logs.Close() }()
	lines, err := RequestLines(logs, "r-1")
	c.Assert(err, qt.IsNil)
	var text strings.Builder
	for _, line := range lines {
		text.WriteString(line.String() + "\n")
	}
	want, err := os.ReadFile("testdata/two-instances.golden")
	c.Assert(err, qt.IsNil)
	c.Check(text.String(), qt.Equals, string(want))
}

// TestUnknown checks that a request without any line is reported as ErrRequestNotFound.
func TestUnknown(t *testing.T) {
	_, err := RequestLines(strings.NewReader("{\"msg\":\"request\",\"request_id\":\"r-2\"}\n"), "r-1")
	qt.Check(t, errors.Is(err, ErrRequestNotFound), qt.IsTrue)
}
