package intake

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// plainServer is startServer without a guard.
func plainServer(c *qt.C, handler http.HandlerFunc) string {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(inner) })
	c.Cleanup(func() { _ = server.Close(); serving.Wait() })
	return inner.Addr().String()
}

// echo answers with what the request is; a path that begins with /refuse leaves the body unread.
func echo(w http.ResponseWriter, r *http.Request) {
	if r.RequestURI == "*" { // as net/http
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "0")
		return
	}
	body := []byte("unread")
	var err error
	if !strings.HasPrefix(r.URL.Path, "/refuse") {
		body, err = io.ReadAll(r.Body)
	}
	text := fmt.Sprintf("%s %s %s len=%d body=%q err=%v trailer=%v", r.Method, r.RequestURI, r.Proto, r.ContentLength, body, err != nil, r.Trailer)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if strings.HasPrefix(r.URL.Path, "/refuse") {
		w.WriteHeader(http.StatusNotFound)
	}
	_, _ = io.WriteString(w, text)
}

func chunkedBody(random *rand.Rand, body string, trailer bool) string {
	var b strings.Builder
	for len(body) > 0 {
		n := 1 + random.IntN(min(len(body), 1+random.IntN(9)))
		ext := []string{"", ";a=b", "; x=\"y z\"", " "}[random.IntN(4)]
		size := fmt.Sprintf([]string{"%x", "%X", "%04x"}[random.IntN(3)], n)
		b.WriteString(size + ext + "\r\n" + body[:n] + "\r\n")
		body = body[n:]
	}
	b.WriteString("0\r\n")
	if trailer {
		b.WriteString("Check: 1\r\nOther: 2\r\n")
	}
	return b.String() + "\r\n"
}

func oneRequest(random *rand.Rand, i int, afterPost, options bool) string {
	path := []string{"/a", "/refuse", "/b?x=\r"[:4]}[random.IntN(3)] + fmt.Sprint(i)
	blank := ""
	if afterPost && random.IntN(4) == 0 {
		blank = "\r\n" // net/http tolerates it after a POST only
	}
	bodies := []string{"\n\n\r\n\r\n\n\n", "hello", strings.Repeat("\n", 300), strings.Repeat("GET /x HTTP/1.1\r\n\r\n", 20), strings.Repeat("z", 9000), "x"}
	body := bodies[random.IntN(len(bodies))]
	host := "Host: h\r\n"
	kind := random.IntN(9)
	if kind == 7 && !options {
		kind = 8
	}
	switch kind {
	case 0:
		return blank + "GET " + path + " HTTP/1.1\r\n" + host + "\r\n"
	case 1:
		return blank + "POST " + path + " HTTP/1.1\r\n" + host + "Content-Length: 0\r\n\r\n"
	case 2, 3:
		return blank + "POST " + path + " HTTP/1.1\r\n" + host + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	case 4, 5:
		return blank + "POST " + path + " HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTrailer: Check, Other\r\n\r\n" + chunkedBody(random, body, random.IntN(2) == 0)
	case 6:
		return "GET " + path + " HTTP/1.1\r\n" + host + "Connection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 3\r\n\r\nabc"
	case 7:
		return "OPTIONS * HTTP/1.1\r\n" + host + "Content-Length: 12\r\n\r\nab\r\n\r\ncd\n\nef"
	default:
		return "GET " + path + " HTTP/1.0\r\n" + host + "Connection: keep-alive\r\n\r\n"
	}
}

func brief(text string) string {
	text = regexp.MustCompile(`z{20,}`).ReplaceAllStringFunc(text, func(z string) string { return fmt.Sprintf("z*%d", len(z)) })
	text = fmt.Sprintf("%q", text)
	if len(text) > 700 {
		text = text[:500] + " ... " + text[len(text)-200:]
	}
	return text
}

// exchange writes the text in pieces and returns all that comes back, without dates.
func exchange(c *qt.C, address, text string, pieces []int) string {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		rest := text
		for _, n := range pieces {
			n = min(n, len(rest))
			_, _ = io.WriteString(conn, rest[:n])
			rest = rest[n:]
		}
		_, _ = io.WriteString(conn, rest)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	all, err := io.ReadAll(conn)
	out := string(all)
	if err != nil {
		out += "\n" + "ERR"
	}
	var kept []string
	for line := range strings.SplitSeq(out, "\r\n") {
		if !strings.HasPrefix(line, "Date:") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// TestGuardChangesNothing guards against sound requests that the guard's framing breaks. It compares servers with and without the guard on
// random pipelines of sound requests in random pieces.
func TestGuardChangesNothing(t *testing.T) {
	t.Run("requests to handlers", func(t *testing.T) { compareServers(t, false) })
	t.Run("with OPTIONS *, which net/http answers itself", func(t *testing.T) { compareServers(t, true) })
}

func compareServers(t *testing.T, options bool) {
	c := qt.New(t)
	guard, _, guarded := startServer(c, Limits{Bytes: 64 << 20, Connections: 100}, echo)
	plain := plainServer(c, echo)
	differ := 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		var text strings.Builder
		afterPost := false
		for i := range 1 + random.IntN(6) {
			request := oneRequest(random, i, afterPost, options)
			afterPost = strings.HasPrefix(strings.TrimLeft(request, "\r\n"), "POST")
			text.WriteString(request)
		}
		text.WriteString("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		var pieces []int
		switch random.IntN(3) {
		case 0:
			for range min(text.Len(), 400) {
				pieces = append(pieces, 1)
			}
		case 1:
			for range 20 {
				pieces = append(pieces, 1+random.IntN(700))
			}
		}
		want, got := exchange(c, plain, text.String(), pieces), exchange(c, guarded, text.String(), pieces)
		if strings.TrimSuffix(want, "\nERR") != strings.TrimSuffix(got, "\nERR") {
			if differ++; differ <= 3 {
				t.Errorf("seed %d\nsent %s\nwant %s\ngot  %s", seed, brief(text.String()), brief(want), brief(got))
			}
		}
	}
	t.Logf("%d differ", differ)
	for until := time.Now().Add(3 * time.Second); guard.held() != 0 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(guard.held(), qt.Equals, int64(0))
}

// TestCallerLeavesWithBytesHeldBack guards against GONE: a caller leaves while its request is in service and bytes behind it are held back
// (a line break after a body, as old clients send, or another request), and the handler does not learn of it.
func TestCallerLeavesWithBytesHeldBack(t *testing.T) {
	for name, extra := range map[string]string{"nothing": "", "line break": "\r\n", "request": "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"} {
		for _, with := range []string{"plain", "guard"} {
			t.Run(name+", "+with, func(t *testing.T) {
				c := qt.New(t)
				began, noticed := make(chan struct{}, 2), make(chan struct{}, 2)
				handle := func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadAll(r.Body)
					began <- struct{}{}
					<-r.Context().Done() // else the test does not end
					noticed <- struct{}{}
				}
				var address string
				if with == "plain" {
					address = plainServer(c, handle)
				} else {
					_, _, address = startServer(c, Limits{Bytes: 1 << 20, Connections: 9}, handle)
				}
				conn, err := net.Dial("tcp", address)
				c.Assert(err, qt.IsNil)
				_, _ = io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"+extra)
				<-began
				_ = conn.Close()
				<-noticed
			})
		}
	}
}

// TestExpectContinue guards against bodies that are not asked for: they are read, and the connection is kept.
func TestExpectContinue(t *testing.T) {
	c := qt.New(t)
	_, _, address := startServer(c, Limits{Bytes: 1 << 20, Connections: 9}, echo)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, _ = io.WriteString(conn, fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", i))
		line, err := reader.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, "a\r\n\r\n"[:5])
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		text, _ := io.ReadAll(response.Body)
		c.Check(strings.Contains(string(text), `body="a\r\n\r\n"`), qt.IsTrue, qt.Commentf("%s", text))
	}
}
