// Package requestlog reads the structured logs of entry instances and puts one request's story together:
// what was decided on it, and what the instances believed meanwhile of the endpoints that it met.
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
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// beliefs is how long before the request's first line what instances believed is of interest.
	beliefs = 10 * time.Second
)

// ErrUnknown means that no line of the logs names the request.
var ErrUnknown = errors.New("no line names the request")

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the others, as decoded from JSON.
	Fields map[string]any
}

// String returns the line as text, its fields in the order of their names.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-18s %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}

// Story returns the lines of a request over all instances in the order of time, among them what was
// noted of the endpoints that it met and of configurations since shortly before. Lines that are no JSON
// are passed over; what stands before a line's first brace is ignored.
func Story(logs io.Reader, request string) ([]Line, error) {
	lines, err := read(logs)
	if err != nil {
		return nil, err
	}
	met := make(map[string]bool)
	instances := make(map[string]bool)
	var first, last time.Time
	for _, line := range lines {
		if line.Fields["request_id"] != request {
			continue
		}
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
		instances[line.Instance] = true
		if endpoint, ok := line.Fields["endpoint"].(string); ok {
			met[endpoint] = true
		}
	}
	if first.IsZero() {
		return nil, fmt.Errorf("%w %s", ErrUnknown, request)
	}
	story := slices.DeleteFunc(lines, func(line Line) bool {
		if id, ok := line.Fields["request_id"]; ok {
			return id != request
		}
		endpoint, _ := line.Fields["endpoint"].(string)
		around := !line.Time.Before(first.Add(-beliefs)) && !line.Time.After(last)
		return !around || !instances[line.Instance] || endpoint != "" && !met[endpoint]
	})
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

func read(logs io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
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
	var head struct {
		Time     time.Time `json:"time"`
		Instance string    `json:"instance"`
		Message  string    `json:"msg"`
	}
	line := Line{}
	if json.Unmarshal(data, &head) != nil || json.Unmarshal(data, &line.Fields) != nil || head.Message == "" {
		return Line{}, false
	}
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(line.Fields, name)
	}
	line.Time, line.Instance, line.Message = head.Time, head.Instance, head.Message
	return line, true
}
