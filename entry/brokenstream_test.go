package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestErrorInsideChatStream guards against an engine's error in the caller's stream as if it were a part of the answer: the text that
// an engine writes into a stream which it breaks off is not delivered, and the stream ends with an error event.
func TestErrorInsideChatStream(t *testing.T) {
	for _, text := range []string{
		"data: internal error\n\n",
		"data: <html>502</html>\n\n",
		"data: \"internal\"\n\n",
		"data: {\"message\":\"internal\"\n\n",
		"data: {\"error\":{\"message\":\"internal\"}}\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 14\r\n\r\ninternal error\n\n",
		"internal error\n\n",
	} {
		for _, end := range []string{"", "data: [DONE]\n\n"} {
			if end != "" && !strings.HasPrefix(text, "data: ") {
				continue // lines without data are no events, so that the stream is whole
			}
			t.Run(text+end, func(t *testing.T) {
				c := qt.New(t)
				f := newTestInstance(c, "a", nil)
				f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
					_ = chatBody(w, r, "v1")
					_, _ = io.WriteString(w, streamEvents[0]+text+end)
				})
				r := f.ask("assistant", true)
				part, _, found := strings.Cut(r.body, `data: {"error"`)
				c.Check(found, qt.IsTrue, qt.Commentf("%s", r.body))
				c.Check(part, qt.Equals, streamEvents[0])
				c.Check(r.body, qt.Not(qt.Contains), "internal")
				c.Check(r.body, qt.Not(qt.Contains), "[DONE]")
			})
		}
	}
}
