package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// endpointDialTimeout bounds the opening of a connection to an endpoint. It allows many round trips
	// within a region and is shorter than the retransmission timeout of a lost packet.
	endpointDialTimeout = 250 * time.Millisecond
	// endpointUserTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT) before the
	// kernel closes the connection, as the path or the machine is down. It also decides how many keep-alive
	// probes may stay unanswered, and is longer than an endpoint may be suspended.
	endpointUserTimeout = 2500 * time.Millisecond
	// endpointProbeIdle and endpointProbeInterval pace the TCP keep-alive probes during the wait for an
	// answer. endpointProbeCount unanswered probes close the connection where there is no user timeout.
	endpointProbeIdle     = time.Second
	endpointProbeInterval = time.Second
	endpointProbeCount    = 2
	// defaultKeepAlive is how long an idle connection may be reused if the endpoint sends no
	// Keep-Alive timeout. keepAliveMargin is subtracted from a timeout that it sends, to leave time
	// for a request in transit.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = time.Second
	// writeGrace is how long the write of a request's body may still take after its answer is
	// complete.
	writeGrace = 100 * time.Millisecond
	// maxAnswersRead bounds the answers that are read for one request: its own and skipped answers to earlier
	// requests on the connection. maxHeadBytes bounds their bytes.
	maxAnswersRead = 64
	// maxHeadBytes bounds the bytes read until the head of the request's own answer is complete. They
	// include informational answers and answers to earlier requests.
	maxHeadBytes = 256 << 10
	// maxCarried bounds the requests on one connection, whose ids the client keeps.
	maxCarried = 256
	// maxInlineBody is the largest body that is written before reading of the answer starts, in
	// bytes: it fits into the socket's buffer. A larger one is written concurrently.
	maxInlineBody = 16 << 10
)

// Errors of an exchange with an endpoint.
var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errNoAnswer    = errors.New("no answer within the time allowed")
	errSwitched    = errors.New("the endpoint switched to another protocol without being asked")
	errLongHead    = fmt.Errorf("no complete head of the answer within %d bytes", maxHeadBytes)
)

// EndpointClient is an HTTP/1.1 client for endpoints. It never sends a request twice, tracks whether any
// byte of it was sent, and reuses connections for the keep-alive time that the endpoint sends. Safe for
// concurrent use.
type EndpointClient struct {
	dial  DialFunc
	match MatchFunc
	heads *answercheck.Budget // for the heads of answers; nil bounds nothing

	mu     sync.Mutex
	idle   map[string][]*endpointConn // by address, most recently used last
	opened uint64
}

// Match is what an answer's header says about the request that it answers.
type Match uint8

const (
	// OtherRequest means that the answer belongs to another request.
	OtherRequest Match = iota
	// SameRequest means that the answer names the request.
	SameRequest
	// Unnamed means that the answer names no request. It is accepted as the first answer on a connection only.
	Unnamed
)

var matchNames = [...]string{OtherRequest: "other_request", SameRequest: "same_request", Unnamed: "unnamed"}

// String returns the name for logs.
func (m Match) String() string { return matchNames[m] }

// MatchFunc returns what an answer's header says about the request with the id.
type MatchFunc func(answer http.Header, id string) Match

// NewEndpointClient returns a client without connections, which matches answers to requests with match.
func NewEndpointClient(match MatchFunc) *EndpointClient {
	return NewEndpointClientWith(endpointDialer(), match)
}

// NewEndpointClientWith returns a client that opens its connections with dial.
func NewEndpointClientWith(dial DialFunc, match MatchFunc) *EndpointClient {
	return &EndpointClient{dial: dial, match: match, idle: make(map[string][]*endpointConn)}
}

// BoundHeads sets the budget for the heads of answers, before the client is used.
func (c *EndpointClient) BoundHeads(budget *answercheck.Budget) { c.heads = budget }

func endpointDialer() DialFunc {
	dialer := &net.Dialer{
		Timeout: endpointDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: endpointProbeIdle, Interval: endpointProbeInterval, Count: endpointProbeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, endpointUserTimeout) },
	}
	return dialer.DialContext
}

// endpointConn is one connection to an endpoint. One request uses it at a time.
type endpointConn struct {
	net.Conn
	source  answerSource
	reader  *bufio.Reader // of source
	address string
	number  uint64 // of the client's connections, in the order in which they were opened
	// expiresAt is when the connection is too old for reuse.
	expiresAt    time.Time
	maxIdleConns int // bound of idle connections to the address; 0 means no bound
	reused       bool
	// carried holds the hashes of the ids of the requests that the connection carried. Answers name the request, not the attempt,
	// so that a repeated answer to an earlier attempt could not be told from the answer to a later one on the same connection.
	carried []uint64
	sent    atomic.Int64 // bytes of the current request handed to the kernel
}

func newEndpointConn(conn net.Conn, address string, number uint64) *endpointConn {
	c := &endpointConn{Conn: conn, address: address, number: number}
	c.source.conn = &stickyConn{Conn: conn}
	c.reader = bufio.NewReaderSize(&c.source, 4<<10)
	return c
}

// Write implements io.Writer. It counts before the write, so that a partly failed write never counts as
// nothing sent.
func (c *endpointConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.source.conn.Write(p)
}

// Close implements net.Conn.
func (c *endpointConn) Close() error {
	c.source.answers.Close()
	return c.Conn.Close()
}

// abort closes the connection of an attempt that is given up, and discards the bytes that have not reached the endpoint: after a
// partition they would start a request that is no longer allowed there.
func (c *endpointConn) abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}

// EndpointRequest is one request to an endpoint.
type EndpointRequest struct {
	Address string // IP:port
	ID      string // of the request; the answer must repeat it
	Method  string
	Target  string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// NewConnection asks for a new connection.
	NewConnection bool
	// MaxIdleConns bounds the idle connections to the address; 0 means no limit.
	MaxIdleConns int
	// FirstByteTimeout bounds the time to the answer's header; 0 means no bound except the context.
	FirstByteTimeout time.Duration
	// ShouldGiveUp is called when FirstByteTimeout or ProgressTimeout has passed, with the time since the request was sent or the last
	// progress was recorded; while it returns false, the attempt goes on. The goroutine that sends the request or reads the answer calls
	// it. nil means that the attempt ends.
	ShouldGiveUp func(silent time.Duration) bool
	// ProgressTimeout bounds the time from the answer's header to the first EndpointAnswer.RecordProgress and
	// between two of them; 0 means no bound except the context.
	ProgressTimeout time.Duration
}

// EndpointAnswer is an endpoint's answer. Its receiver must close Body; the connection is reused only if Body
// was read to its end before.
type EndpointAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // of the body; -1 if it is not declared
	// Unframed means that the body has neither a length nor chunks: it ends with the connection, also where the endpoint's
	// process ends.
	Unframed bool
	// Origin tells how the answer was received.
	Origin AnswerOrigin
}

// AnswerOrigin tells how an answer was received, for logs.
type AnswerOrigin struct {
	Connection uint64 // number of the client's connection
	Reused     bool   // the connection carried other requests before
	Skipped    int    // answers to other requests that preceded this one
	Match      Match
	Framing    Framing
}

// Framing is what marks the end of an answer's body.
type Framing uint8

const (
	// ByConnection means that the end of the connection ends the body.
	ByConnection Framing = iota
	// ByLength means that the answer declares the body's length.
	ByLength
	// ByChunks means that the body ends with its last chunk.
	ByChunks
)

var framingNames = [...]string{ByConnection: "connection", ByLength: "length", ByChunks: "chunks"}

// String returns the name for logs.
func (f Framing) String() string { return framingNames[f] }

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return ByChunks
	case response.ContentLength >= 0:
		return ByLength
	default:
		return ByConnection
	}
}

// RecordProgress restarts the request's ProgressTimeout. The receiver calls it for each unit of the answer that is
// of use to the caller, so that an endpoint which only keeps sending stray bytes counts as stalled.
func (a *EndpointAnswer) RecordProgress() {
	if body, ok := a.Body.(*endpointBody); ok {
		body.progressAt = time.Now()
	}
}

// Discard reads the rest of an answer that is not needed, at most maxBytes and for at most the given time, so that
// its connection can be reused. The receiver still must close Body.
func (a *EndpointAnswer) Discard(maxBytes int64, limit time.Duration) error {
	if body, ok := a.Body.(*endpointBody); ok {
		body.progress, body.progressAt = limit, time.Now()
		body.conn.source.shouldGiveUp = nil
	}
	_, err := io.CopyN(io.Discard, a.Body, maxBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Send sends the request once and returns as soon as it has the answer's header. Errors are *Failure.
// The connection is closed when ctx ends.
func (c *EndpointClient) Send(ctx context.Context, request *EndpointRequest) (*EndpointAnswer, error) {
	conn, err := c.conn(ctx, request)
	if err != nil {
		return nil, &Failure{
			Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err, OnNewConnection: true,
			Refused: errors.Is(err, syscall.ECONNREFUSED),
		}
	}
	conn.source.answers.Begin(request.Method)
	// Aborting the connection unblocks its reads and writes at once.
	stop := context.AfterFunc(ctx, conn.abort)
	written := make(chan error, 1)
	if len(request.Body) <= maxInlineBody {
		written <- conn.send(request)
	} else {
		go func() { written <- conn.send(request) }()
	}
	conn.source.shouldGiveUp, conn.source.silentSince = request.ShouldGiveUp, time.Now()
	if request.FirstByteTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(request.FirstByteTimeout))
	}
	response, origin, err := c.receive(conn, request)
	if err != nil {
		stop()
		conn.abort()
		<-written
		return nil, conn.failure(ctx, err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	conn.maxIdleConns = request.MaxIdleConns
	origin.Framing = framingOf(response)
	body := &endpointBody{
		ctx: ctx, client: c, conn: conn, body: response.Body, response: response, progress: request.ProgressTimeout, progressAt: time.Now(),
		detach: stop, written: written, ordered: origin.Skipped == 0, framing: origin.Framing,
	}
	return &EndpointAnswer{
		Status: response.StatusCode, Header: response.Header, Body: body, Length: response.ContentLength,
		Unframed: origin.Framing == ByConnection, Origin: origin,
	}, nil
}

// Probe opens a connection to the address (IP:port) and closes it. The error is syscall.ECONNREFUSED if the address refuses the
// connection: nothing listens there.
func (c *EndpointClient) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}

// receive reads the answer's header. It skips informational answers and up to maxAnswersRead-1 answers
// to other requests. An answer that names no request may be a repeated one, unless it is the first on its connection.
func (c *EndpointClient) receive(conn *endpointConn, request *EndpointRequest) (*http.Response, AnswerOrigin, error) {
	httpRequest := &http.Request{Method: request.Method}
	origin := AnswerOrigin{Connection: conn.number, Reused: conn.reused}
	conn.source.limit(maxHeadBytes)
	defer conn.source.unlimit()
	for range maxAnswersRead {
		response, err := http.ReadResponse(conn.reader, httpRequest)
		for err == nil && response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, origin, errSwitched
			}
			response, err = http.ReadResponse(conn.reader, httpRequest) // informational
		}
		if err != nil {
			return nil, origin, err
		}
		origin.Match = c.match(response.Header, request.ID)
		first := !conn.reused && origin.Skipped == 0
		if origin.Match == SameRequest || origin.Match == Unnamed && first {
			return response, origin, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, origin, err
		}
		origin.Skipped++
	}
	return nil, origin, errOtherAnswer
}

// send writes the request.
func (c *endpointConn) send(request *EndpointRequest) error {
	buffer := bufio.NewWriterSize(c, 4<<10)
	_, _ = buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(buffer)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		_, _ = buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = buffer.WriteString("\r\n")
	_, _ = buffer.Write(request.Body)
	return buffer.Flush()
}

// failure classifies the error of a request without a complete answer. The connection must be closed,
// so that no byte is sent after the check.
func (c *endpointConn) failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Err: err, OnNewConnection: !c.reused}
	var netErr net.Error
	switch {
	case c.sent.Load() == 0:
		failure.Verdict = verdict.NotRun
		failure.Reason = verdict.RetryNotSent
	case errors.Is(err, errOtherAnswer):
		failure.Reason = verdict.RetryWrongAttempt
	case ctx.Err() == nil && errors.As(err, &netErr) && netErr.Timeout():
		failure.Reason = verdict.RetrySilent
		failure.Err = errNoAnswer
	default:
		failure.Reason = verdict.RetryConnection
	}
	return failure
}
