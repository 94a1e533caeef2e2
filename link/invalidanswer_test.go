package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// checkNoAnswer checks that a text is no answer to either client: the attempt fails, in the head or in the body, and may have run.
func checkNoAnswer(c *qt.C, text string) {
	c.Helper()
	dial := stoppingDial(text, io.EOF)
	client := NewEndpointClientWith(dial, matchAny)
	defer client.Close()
	answer, err := client.Send(c.TB.Context(), newEndpointRequest("a", "/"))
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	checkMayHaveRun(c, err, "client", text)
	dispatcher := NewDispatcherWith(dial)
	defer dispatcher.Close()
	_, err = doAndRead(c, dispatcher, http.MethodPost)
	checkMayHaveRun(c, err, "dispatcher", text)
}

// doAndRead sends an attempt and returns the answer's body.
func doAndRead(c *qt.C, dispatcher *Dispatcher, method string) (string, error) {
	answer, err := dispatcher.Do(c.TB.Context(), &Attempt{
		ID: "a", RequestID: "r", Endpoint: machine.Endpoint{Address: "e:1"}, Method: method, Path: "/", Body: []byte("work"),
		FirstByteTimeout: time.Minute, ProgressTimeout: time.Minute,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestInvalidStatusLine guards against answers of faulty engines whose status is not one of the protocol: callers got them as answers, or the
// bytes after them.
func TestInvalidStatusLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 None", "HTTP/1.1 001 One", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 Top", "HTTP/1.1 20 Short",
		"HTTP/1.1 2000 Long", "HTTP/1.1 +20 Sign", "HTTP/1.1 -20 Sign", "HTTP/1.1 +200 Sign", "HTTP/1.1 2e2 Float", "HTTP/1.1 0x1 Hex",
		"HTTP/1.1  200 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK",
		"HTTP/2 200 OK", "http/1.1 200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "ICY 200 OK", "",
		"HTTP/1.1 101 Switching Protocols",
	} {
		t.Run(line, func(t *testing.T) {
			c := qt.New(t)
			own := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
			checkNoAnswer(c, line+"\r\nContent-Length: 2\r\n\r\nhi")
			checkNoAnswer(c, line+"\r\n\r\n"+own)
			checkNoAnswer(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n\r\n"+own)
		})
	}
}

// smallReads dials connections whose reads return at most n bytes.
func smallReads(dial DialFunc, n int) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return &smallReadsConn{conn, n}, err
	}
}

type smallReadsConn struct {
	net.Conn
	n int
}

func (c *smallReadsConn) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), c.n)]) }

// TestValidAnswer guards the answers that the checks must let through, whole and with their own bodies, in pieces of any size.
func TestValidAnswer(t *testing.T) {
	for name, test := range map[string]struct{ text, body string }{
		"HEAD":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", ""},
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "hi"},
		"no reason":     {"HTTP/1.1 200\r\ncontent-length:2 \r\n\r\nhi", "hi"},
		"empty reason":  {"HTTP/1.1 500 \r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "hi"},
		"1.0":           {"HTTP/1.0 200 OK\r\nNote: \xc3\xa9\tx\r\nEmpty:\r\n\r\nhi", "hi"},
		"unframed":      {"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000\r\n", "HTTP/1.1 000\r\n"},
		"informational": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\nA: b\r\n\r\nHTTP/1.1 299 OK\r\nContent-Length: 2\r\n\r\nhi", "hi"},
		"no content":    {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", ""},
		"zero":          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nstray", ""},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" +
			"2;x=\"y\"\r\nhi\r\n00a\r\n0123\r\n6789\r\n0\r\nTrail-Er: x\r\n\r\n", "hi0123\r\n6789"},
		"stray": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\x00\r\nstray", "hi"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for piece := 1; piece <= len(test.text); piece++ {
				dial := smallReads(stoppingDial(test.text, io.EOF), piece)
				client := NewEndpointClientWith(dial, matchAny)
				request := newEndpointRequest("a", "/")
				if name == http.MethodHead {
					request.Method = name
				}
				answer, err := client.Send(t.Context(), request)
				c.Assert(err, qt.IsNil)
				c.Check(readAndClose(c, answer), qt.Equals, test.body)
				if strings.HasSuffix(test.text, "stray") && len(client.idle[request.Address]) > 0 && piece >= len(test.text) {
					c.Check(client.idle[request.Address][0].reusable(), qt.IsFalse)
				}
				client.Close()
				dispatcher := NewDispatcherWith(dial)
				body, err := doAndRead(c, dispatcher, request.Method)
				c.Check(err, qt.IsNil)
				c.Check(body, qt.Equals, test.body)
				dispatcher.Close()
			}
		})
	}
}
