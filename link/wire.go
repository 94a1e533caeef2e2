package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// endpointDial bounds the opening of a connection to an endpoint: many round trips within a
	// region, and less than the retransmission of a lost packet would take.
	endpointDial = 250 * time.Millisecond
	// endpointUserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT); beyond
	// it the path or the machine is down.
	endpointUserTimeout = 1500 * time.Millisecond
	// endpointProbeIdle and endpointProbeEvery pace the keep-alive probes of a connection on which
	// an answer is awaited; endpointProbes unanswered ones end it.
	endpointProbeIdle  = time.Second
	endpointProbeEvery = time.Second
	endpointProbes     = 2
	// defaultKeepAlive is how long an idle connection is reused if the endpoint states no time;
	// keepAliveMargin is left of a stated time, for a request on its way.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = time.Second
	// writeGrace is how long a body may still be on its way after its answer is whole.
	writeGrace = 100 * time.Millisecond
	// maxLateAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxLateAnswers = 2
	// inlineBody is the largest body that is written before the answer is read: it fits into the
	// socket's buffer.
	inlineBody = 16 << 10
)

// Errors of an exchange with an endpoint.
var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errNoAnswer    = errors.New("no answer within the time allowed")
)

// Wire exchanges requests with endpoints over HTTP/1.1. It never sends a request twice, knows whether
// any byte of it left, and keeps connections open for the time that the endpoint states. Safe for
// concurrent use.
type Wire struct {
	dial DialFunc
	// Mine says whether an answer belongs to the request with the id.
	mine func(answer http.Header, id string) bool

	mu     sync.Mutex
	idle   map[string][]*wireConn // by address, most recently used last
	opened uint64
}

// NewWire returns a wire without connections. mine says whether an answer belongs to a request.
func NewWire(mine func(answer http.Header, id string) bool) *Wire {
	return NewWireWith(endpointDialer(), mine)
}

// NewWireWith returns a wire that opens its connections with dial.
func NewWireWith(dial DialFunc, mine func(answer http.Header, id string) bool) *Wire {
	return &Wire{dial: dial, mine: mine, idle: make(map[string][]*wireConn)}
}

func endpointDialer() DialFunc {
	dialer := &net.Dialer{
		Timeout: endpointDial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: endpointProbeIdle, Interval: endpointProbeEvery, Count: endpointProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(endpointUserTimeout.Milliseconds()))
			})
			return errors.Join(err, controlErr)
		},
	}
	return dialer.DialContext
}

// wireConn is one connection to an endpoint. One request uses it at a time.
type wireConn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// until is when the connection is too old for reuse.
	until    time.Time
	keepIdle int // bound of idle connections to the address; 0 means none
	reused   bool
	sent     atomic.Int64 // bytes of the current request handed to the kernel
}

// Write implements io.Writer. It counts before the write, so that a write that failed halfway is
// never taken for none.
func (c *wireConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Outgoing is one request to an endpoint.
type Outgoing struct {
	Address string // IP:port
	ID      string // of the request, which the answer has to repeat
	Method  string
	Target  string // as the caller sent it: path and query
	Host    string
	Header  http.Header
	Body    []byte
	// Fresh asks for a new connection.
	Fresh bool
	// KeepIdle bounds the idle connections to the address; 0 means no limit.
	KeepIdle int
	// FirstByte bounds the time to the answer's header; 0 means that only the context does.
	FirstByte time.Duration
	// Progress bounds the silence within the answer's body; 0 means that only the context does.
	Progress time.Duration
}

// Incoming is an endpoint's answer. The caller reads Body to its end and closes it.
type Incoming struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // of the body; -1 if it is not declared
}

// Send sends the request once and returns as soon as the answer's header is in. Errors are *Failure.
// When ctx ends, the connection is closed.
func (w *Wire) Send(ctx context.Context, out *Outgoing) (*Incoming, error) {
	conn, err := w.conn(ctx, out)
	if err != nil {
		return nil, &Failure{
			Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err, FreshConnection: true,
			Refused: errors.Is(err, syscall.ECONNREFUSED),
		}
	}
	// Closing ends reads and writes on the connection at once.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := make(chan error, 1)
	if len(out.Body) <= inlineBody {
		written <- conn.send(out)
	} else {
		go func() { written <- conn.send(out) }()
	}
	if out.FirstByte > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(out.FirstByte))
	}
	response, err := w.receive(conn, out)
	if err != nil {
		stop()
		_ = conn.Close()
		<-written
		return nil, conn.failure(ctx, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	conn.keepIdle = out.KeepIdle
	body := &wireBody{
		ctx: ctx, wire: w, conn: conn, body: response.Body, response: response, progress: out.Progress, stop: stop, written: written,
	}
	return &Incoming{Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength}, nil
}

// receive reads the answer's header. Answers to earlier requests are skipped.
func (w *Wire) receive(conn *wireConn, out *Outgoing) (*http.Response, error) {
	request := &http.Request{Method: out.Method}
	for range maxLateAnswers {
		response, err := http.ReadResponse(conn.reader, request)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(conn.reader, request) // informational
		}
		if err != nil {
			return nil, err
		}
		if w.mine(response.Header, out.ID) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errOtherAnswer
}

// send writes the request.
func (c *wireConn) send(out *Outgoing) error {
	buffer := bufio.NewWriterSize(c, 4<<10)
	_, _ = buffer.WriteString(out.Method + " " + out.Target + " HTTP/1.1\r\nHost: " + out.Host + "\r\n")
	_ = out.Header.Write(buffer)
	if len(out.Body) > 0 || out.Method == http.MethodPost || out.Method == http.MethodPut || out.Method == http.MethodPatch {
		_, _ = buffer.WriteString("Content-Length: " + strconv.Itoa(len(out.Body)) + "\r\n")
	}
	_, _ = buffer.WriteString("\r\n")
	_, _ = buffer.Write(out.Body)
	return buffer.Flush()
}

// failure classifies an error of a request without an answer. The connection is closed and nothing
// more can leave.
func (c *wireConn) failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Err: err, FreshConnection: !c.reused}
	var timeout net.Error
	switch {
	case c.sent.Load() == 0:
		failure.Verdict = verdict.NotRun
		failure.Reason = verdict.RetryNotSent
	case errors.Is(err, errOtherAnswer):
		failure.Reason = verdict.RetryWrongAttempt
	case ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout():
		failure.Reason = verdict.RetrySilent
		failure.Err = errNoAnswer
	default:
		failure.Reason = verdict.RetryConnection
	}
	return failure
}
