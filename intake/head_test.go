package intake

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
)

// readCounter counts the bytes that were read from its connections, and the ends of connections.
type readCounter struct {
	net.Listener
	read, ended atomic.Int64
}

func (l *readCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, counter: l}, err
}

type countedConn struct {
	net.Conn
	counter *readCounter
	end     sync.Once
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.read.Add(int64(n))
	if err != nil {
		c.end.Do(func() { c.counter.ended.Add(1) })
	}
	return n, err
}

func (c *countedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

func (c *countedConn) Close() error {
	c.end.Do(func() { c.counter.ended.Add(1) })
	return c.Conn.Close()
}

// startServer starts a server behind a guard and returns its address (IP:port).
func startServer(c *qt.C, limits Limits, handler http.HandlerFunc) (*Guard, *readCounter, string) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	guard := New(limits, telemetry.New(), slog.New(slog.DiscardHandler))
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	guard.Attach(server)
	counter := &readCounter{Listener: inner}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(guard.Guarded(counter)) })
	c.Cleanup(func() { _ = server.Close(); serving.Wait() })
	return guard, counter, inner.Addr().String()
}

// unfinishedHead returns the beginning of a request of at least n bytes whose head has short fields with different names, and no end.
func unfinishedHead(n int) string {
	text := strings.Builder{}
	text.WriteString("GET / HTTP/1.1\r\nHost: api.example\r\n")
	for i := 0; text.Len() < n; i++ {
		fmt.Fprintf(&text, "%x:\r\n", 0x1000+i)
	}
	return text.String()
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestHeadsWithManyFields guards against unfinished heads whose fields cost many times the bytes that they are charged: what all of them
// make the process hold stays within the bound of the bytes, and an ordinary request is answered beside them.
func TestHeadsWithManyFields(t *testing.T) {
	const clients = 100
	for _, size := range []int{16_000, 60_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			limits := Limits{Bytes: 6 << 20, Connections: 2 * clients}
			_, counter, address := startServer(c, limits, func(http.ResponseWriter, *http.Request) {})
			text := unfinishedHead(size)
			before := heapBytes()
			for range clients {
				conn, err := net.Dial("tcp", address)
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.WriteString(conn, text) }()
			}
			for counter.ended.Load() < clients && counter.read.Load() < int64(clients*len(text)) && !settled(counter) {
				time.Sleep(time.Millisecond)
			}
			held := heapBytes() - before
			t.Logf("%d bytes of the heap, bound %d", held, limits.Bytes)
			c.Check(held <= limits.Bytes, qt.IsTrue, qt.Commentf("%d bytes of the heap, bound %d", held, limits.Bytes))
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(mustRequest(c, address))
			c.Assert(err, qt.IsNil)
			_ = response.Body.Close()
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// settled reports whether the server has read nothing for a while: it has ended some connections and all bytes of the others.
func settled(counter *readCounter) bool {
	before := counter.read.Load()
	time.Sleep(200 * time.Millisecond)
	return before > 0 && counter.read.Load() == before
}

func mustRequest(c *qt.C, address string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	c.Assert(err, qt.IsNil)
	return request
}

// TestHeadTooLarge checks that a head beyond the bounds is answered with 431 and the end of its connection, also behind a whole request,
// and that heads within them are served.
func TestHeadTooLarge(t *testing.T) {
	c := qt.New(t)
	var inForce atomic.Int64
	limits := Limits{Bytes: 6 << 20, Connections: 10, HeadBytes: inForce.Load}
	guard, _, address := startServer(c, limits, func(http.ResponseWriter, *http.Request) {})
	const head = "GET / HTTP/1.1\r\nHost: api.example\r\n"
	fields := func(number int) string {
		return head + strings.Repeat("X-Some-Name: and a common value\r\n", number) + "\r\n"
	}
	for _, test := range []struct {
		name     string
		inForce  int64
		text     string
		statuses []int
	}{
		{"within", 16 << 10, fields(490), []int{200}},
		{"above", 8 << 10, fields(490), []int{431}},
		{"within a large bound", 200_000, fields(5000), []int{200}},
		{"within the default", 0, fields(1900), []int{200}},
		{"many fields", 16 << 10, unfinishedHead(16_000), []int{431}},
		{"many fields, default", 0, unfinishedHead(60_000), []int{431}},
		{"long field", 0, head + "X-Padding: " + strings.Repeat("x", 80_000), []int{431}},
		{"behind a request", 0, head + "\r\n" + unfinishedHead(60_000), []int{200, 431}},
		{"behind a body", 0, head + "Content-Length: 3\r\n\r\n\n\n\n" + unfinishedHead(60_000), []int{200, 431}},
	} {
		inForce.Store(test.inForce)
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		go func() { _, _ = io.WriteString(conn, test.text) }()
		answers := bufio.NewReader(conn)
		for _, want := range test.statuses {
			response, err := http.ReadResponse(answers, nil)
			c.Assert(err, qt.IsNil, qt.Commentf(test.name))
			c.Check(response.StatusCode, qt.Equals, want, qt.Commentf(test.name))
			c.Check(response.Close, qt.Equals, want == http.StatusRequestHeaderFieldsTooLarge, qt.Commentf(test.name))
		}
		if test.statuses[len(test.statuses)-1] != http.StatusOK {
			_, err = answers.ReadByte()
			c.Check(err, qt.Equals, io.EOF, qt.Commentf(test.name))
		}
		_ = conn.Close()
	}
	for guard.connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(guard.held(), qt.Equals, int64(0))
}

// chunked is the head of a request whose body comes in chunks.
const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestPipelinedRequests sends requests behind each other, in pieces of several sizes: bodies arrive whole, and neither their line breaks
// nor the fields of the next head are charged for a request.
func TestPipelinedRequests(t *testing.T) {
	lines := strings.Repeat("\n", 5000)
	requests := []struct{ text, body string }{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines), lines},
		{"GET / HTTP/1.1\nHost: a\n\n", ""},
		{chunked + fmt.Sprintf("%X;a=b\r\n%s\r\n1\r\nx\r\n0\r\n\r\n", len(lines), lines), lines + "x"},
		{chunked + "2\r\n\r\n\r\n0\r\nX-Sum: 1\r\n\r\n", "\r\n"},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", ""},
		{"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + strings.Repeat("A: b\r\n", 100) + "\r\n", ""},
	}
	stream := strings.Builder{}
	for _, request := range requests {
		stream.WriteString(request.text)
	}
	for _, size := range []int{1, 5, 1000, stream.Len()} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			var guard *Guard
			held := make(chan int64, 1)
			guard, _, address := startServer(c, Limits{Bytes: 6 << 20, Connections: 10}, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				held <- guard.held() - connectionBytes
				_, _ = w.Write(body)
			})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			go func() {
				for rest := []byte(stream.String()); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					_, _ = conn.Write(rest[:min(size, len(rest))])
				}
			}()
			answers := bufio.NewReader(conn)
			for n, request := range requests {
				response, err := http.ReadResponse(answers, nil)
				c.Assert(err, qt.IsNil, qt.Commentf("request %d", n))
				body, err := io.ReadAll(response.Body)
				c.Check(err, qt.IsNil)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK)
				c.Check(string(body) == request.body, qt.IsTrue, qt.Commentf("request %d", n))
				head, _, _ := strings.Cut(strings.ReplaceAll(request.text, "\r\n", "\n"), "\n\n")
				fields := int64(strings.Count(head, "\n") + 1)
				charged := <-held
				// net/http reads one byte ahead while a request is served.
				inside := charged >= (fields-1)*fieldBytes && charged <= int64(len(request.text))+1+fields*fieldBytes
				c.Check(inside, qt.IsTrue, qt.Commentf("request %d: %d bytes charged, %d fields", n, charged, fields))
			}
		})
	}
}

// TestTrailerTooLarge checks that a trailer with many fields ends its request, and that one with a few is read.
func TestTrailerTooLarge(t *testing.T) {
	c := qt.New(t)
	errs := make(chan error, 1)
	_, _, address := startServer(c, Limits{Bytes: 6 << 20, Connections: 10}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(FromContext(r.Context()), r, 100)
		errs <- err
	})
	for _, fields := range []int{10, maxTrailerFields, maxTrailerFields + 1, 900} {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, chunked+"1\r\nx\r\n0\r\n"+strings.Repeat("a:\r\n", fields)+"\r\n")
		c.Assert(err, qt.IsNil)
		if fields <= maxTrailerFields {
			c.Check(<-errs, qt.IsNil)
		} else {
			c.Check(<-errs, qt.ErrorIs, ErrHeadTooLarge)
		}
		_ = conn.Close()
	}
}
