// Package requestlog extracts from the structured logs of entry instances the lines that concern one
// request: the decisions on the request itself, and the events of its endpoints (such as an opened circuit
// breaker) and configurations around that time.
package requestlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes limits one log line; a longer one is an error.
	maxLineBytes = 1 << 20
	// contextWindow is the time before the request's first line from which other events are included.
	contextWindow = 10 * time.Second
)

// ErrRequestNotFound means that no log line has the request's id.
var ErrRequestNotFound = errors.New("no line names the request")

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are all other fields except the level, as decoded from JSON.
	Fields map[string]any
}

// String returns the line as text, with the fields sorted by name.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-18s %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}

// RequestLines returns the log lines of a request from all instances, sorted by time. It adds lines without a
// request id that the same instances wrote between contextWindow before the request's first line and its
// last line, unless they concern an endpoint that the request was not sent to. Lines that are not JSON are
// skipped, and text before a line's first brace is ignored.
func RequestLines(logs io.Reader, request string) ([]Line, error) {
	lines, err := read(logs)
	if err != nil {
		return nil, err
	}
	endpoints := make(map[string]bool)
	instances := make(map[string]bool)
	var firstTime, lastTime time.Time
	for _, line := range lines {
		if line.Fields["request_id"] != request {
			continue
		}
		if firstTime.IsZero() || line.Time.Before(firstTime) {
			firstTime = line.Time
		}
		if line.Time.After(lastTime) {
			lastTime = line.Time
		}
		instances[line.Instance] = true
		if endpoint, ok := line.Fields["endpoint"].(string); ok {
			endpoints[endpoint] = true
		}
	}
	if firstTime.IsZero() {
		return nil, fmt.Errorf("%w %s", ErrRequestNotFound, request)
	}
	events := slices.DeleteFunc(lines, func(line Line) bool {
		if id, ok := line.Fields["request_id"]; ok {
			return id != request
		}
		endpoint, _ := line.Fields["endpoint"].(string)
		inWindow := !line.Time.Before(firstTime.Add(-contextWindow)) && !line.Time.After(lastTime)
		return !inWindow || !instances[line.Instance] || endpoint != "" && !endpoints[endpoint]
	})
	slices.SortStableFunc(events, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return events, nil
}

func read(logs io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		brace := strings.IndexByte(scanner.Text(), '{')
		if brace < 0 {
			continue
		}
		if line, ok := decode(scanner.Bytes()[brace:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func decode(data []byte) (Line, bool) {
	var common struct {
		Time     time.Time `json:"time"`
		Instance string    `json:"instance"`
		Message  string    `json:"msg"`
	}
	line := Line{}
	if json.Unmarshal(data, &common) != nil || json.Unmarshal(data, &line.Fields) != nil || common.Message == "" {
		return Line{}, false
	}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(line.Fields, name)
	}
	line.Time, line.Instance, line.Message = common.Time, common.Instance, common.Message
	return line, true
}
