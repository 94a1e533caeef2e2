package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	lastEvents  = "id: 3\ndata: c\n\n"
)

// brokenStream is a stream that breaks off after two of its three events, with further text at its end.
func brokenStream(text string) answer {
	broken := events(firstEvents + text)
	broken.truncated = true
	return broken
}

// TestErrorAfterBrokenStream guards against an error's text, or a false end, in the caller's stream: an engine may answer a request to
// resume a stream with a failure in any form. Nothing of it is delivered, and the stream is resumed elsewhere or aborted.
func TestErrorAfterBrokenStream(t *testing.T) {
	for _, status := range []int{200, 204, 206, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504} {
		for _, contentType := range []string{"text/plain", "text/event-stream", ""} {
			for _, body := range []string{"", "the engine failed", "the engine failed\n\n", `{"error":{"message":"failed"}}` + "\n\n", "data: failed\n\n"} {
				for _, unframed := range []bool{false, true} {
					for _, signature := range []string{"Signature: s\n", "", "Not-Run: 1\n"} {
						failure := answer{status: status, header: signature + "Content-Type: " + contentType, body: body, unframed: unframed}
						whole := status == http.StatusOK && contentType != "" && contentType != "text/plain" && body == "" && !unframed && signature == "Signature: s\n"
						if whole {
							continue // an empty remainder with a declared end
						}
						t.Run(fmt.Sprintf("%d %s %q unframed %v %q", status, contentType, body, unframed, signature), func(t *testing.T) {
							c := qt.New(t)
							f := newFixture(brokenStream(""), failure, events(lastEvents))
							seen := f.call("stream")
							c.Check(seen.body, qt.Equals, firstEvents+lastEvents)
							c.Check(seen.aborted, qt.IsFalse)
							f = newFixture(brokenStream(""), failure, failure, failure, failure, failure, failure)
							seen = f.call("stream")
							c.Check(seen.body, qt.Equals, firstEvents)
							c.Check(seen.aborted, qt.IsTrue)
						})
					}
				}
			}
		}
	}
}

// TestErrorInsideStream guards against an error's text in the caller's stream: what an engine writes into a stream that it breaks
// off is no event, whether the stream has a length, chunks or neither.
func TestErrorInsideStream(t *testing.T) {
	for _, text := range []string{
		"internal error\n\n",
		"error: internal\n\n",
		"event: error\n\n",
		"data: internal error\n\n",
		`{"error":{"message":"internal"}}` + "\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 14\r\n\r\ninternal error\n\n",
		"HTTP/1.1 500 Internal Server Error\nContent-Length: 14\n\ninternal error\n\n",
		"id: 1\ndata: a\n\n",          // an event again
		"id: 2\ndata: other\n\n",      // an event of another run
		"id: 0\ndata: start\n\n",      // the stream from its start
		"id: x\ndata: y\n\nnoise\n\n", // no number
	} {
		for _, unframed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q unframed %v", text, unframed), func(t *testing.T) {
				c := qt.New(t)
				for _, ends := range []bool{false, true} {
					broken := brokenStream(text)
					broken.truncated, broken.unframed = !ends, unframed
					f := newFixture(broken, events(lastEvents))
					seen := f.call("stream")
					c.Check(seen.body, qt.Equals, firstEvents+lastEvents)
					c.Check(seen.aborted, qt.IsFalse)
					f = newFixture(broken)
					seen = f.call("once")
					c.Check(seen.body, qt.Equals, firstEvents)
					c.Check(seen.aborted, qt.IsTrue)
				}
			})
		}
	}
}

// TestStreamEvents checks the forms of events that are delivered unchanged: comments, retry times, further fields, several lines of
// data, ids with gaps.
func TestStreamEvents(t *testing.T) {
	c := qt.New(t)
	body := strings.Join([]string{
		": comment", "retry: 100", "id: 7\ndata: a\ndata:\ndata: b", "x-version: 3\nid: 9\ndata: c", "id:10\nevent: last\ndata", ":\n: more", "",
	}, "\n\n")
	f := newFixture(events(body))
	seen := f.call("once")
	c.Check(seen.body, qt.Equals, body)
	c.Check(seen.aborted, qt.IsFalse)
}
