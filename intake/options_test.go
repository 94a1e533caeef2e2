package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOptionsDoesNotHideFields guards against heads whose fields are not counted: net/http answers OPTIONS * itself, so that nobody tells the
// framing of its body, and what follows is taken for something else.
func TestOptionsDoesNotHideFields(t *testing.T) {
	var fields strings.Builder
	for i := range 10_000 {
		fmt.Fprintf(&fields, "%x:\r\n", 0x1000+i)
	}
	big := "GET /big HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n"
	hidden := "7fffffffffff\r\n"
	// The first digit of the chunk's size is read in the background while OPTIONS is answered: 0x1000e becomes 0xe.
	data := strings.Repeat("x", 0xe) + "\r\n" + hidden
	data += strings.Repeat("y", 0x1000e-len(data))
	trick := "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nef" +
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1000e\r\n" + data + "\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		before  string
		answers int
	}{"alone": {"", 0}, "after OPTIONS": {trick, 2}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			seen := make(chan int, 9)
			guard, _, address := startServer(c, Limits{Bytes: 8 << 20, Connections: 9}, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				seen <- len(r.Header)
			})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			go func() { _, _ = io.WriteString(conn, test.before+big) }()
			reader := bufio.NewReader(conn)
			var statuses []int
			for range test.answers + 1 {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, response.Body)
				statuses = append(statuses, response.StatusCode)
			}
			most := 0
			for len(seen) > 0 {
				most = max(most, <-seen)
			}
			t.Logf("statuses %v, a handler got %d fields, held %d", statuses, most, guard.held())
			c.Check(most < 100, qt.IsTrue, qt.Commentf("a handler got %d fields; the bound is %d", most, guard.headBytes()/bytesPerField))
		})
	}
}
