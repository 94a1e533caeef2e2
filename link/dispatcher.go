package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/verdict"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout stays below the shortest idle timeout usual among middleboxes.
	idleTimeout     = 30 * time.Second
	idlePerEndpoint = 64
)

// Dispatcher sends attempts to endpoints over HTTP. Safe for concurrent use.
type Dispatcher struct {
	client *http.Client
}

// NewDispatcher returns a dispatcher with an empty connection pool.
func NewDispatcher() *Dispatcher {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Dispatcher{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close drops idle connections.
func (d *Dispatcher) Close() { d.client.CloseIdleConnections() }

// Do sends the attempt once and returns as soon as the answer's header is in. Errors are
// *Failure.
func (d *Dispatcher) Do(ctx context.Context, attempt *Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	sent := &sentBytes{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, sent.trace()), attempt)
	if err != nil {
		cancel(nil)
		return nil, &Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err}
	}
	timer := time.AfterFunc(attempt.FirstByte, func() { cancel(errSilent) })
	response, err := d.client.Do(request)
	if err != nil {
		timer.Stop()
		failure := sent.failure(ctx, err)
		cancel(nil)
		return nil, failure
	}
	timer.Stop()
	body := &watchedBody{body: response.Body, cancel: cancel, progress: attempt.Progress}
	body.timer = time.AfterFunc(attempt.Progress, func() { cancel(errSilent) })
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// errSilent is the cause of a connection without progress.
var errSilent = errors.New("connection silent")

func newRequest(ctx context.Context, attempt *Attempt) (*http.Request, error) {
	url := "http://" + attempt.Endpoint.Address + attempt.Path
	request, err := http.NewRequestWithContext(ctx, attempt.Method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header = attempt.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(HeaderRequestID, attempt.RequestID)
	request.Header.Set(HeaderAttemptID, attempt.ID)
	// A body without GetBody keeps net/http from sending the request a second time by itself
	// when a reused connection breaks.
	request.Body = io.NopCloser(bytes.NewReader(attempt.Body))
	request.ContentLength = int64(len(attempt.Body))
	return request, nil
}

// sentBytes tells whether any byte of a request left on a connection.
type sentBytes struct {
	mu    sync.Mutex
	conns []connMark
}

type connMark struct {
	conn   *countedConn
	before int64
}

func (s *sentBytes) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns = append(s.conns, connMark{conn: conn, before: conn.written.Load()})
	}}
}

func (s *sentBytes) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, mark := range s.conns {
		if mark.conn.written.Load() > mark.before {
			return true
		}
	}
	return false
}

func (s *sentBytes) failure(ctx context.Context, err error) *Failure {
	if !s.any() {
		return &Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: err}
	}
	reason := verdict.RetryConnection
	if errors.Is(context.Cause(ctx), errSilent) {
		reason = verdict.RetrySilent
	}
	return &Failure{Verdict: verdict.MayHaveRun, Reason: reason, Err: err}
}

// countedConn counts the bytes handed to the kernel. It counts before the write, so that a write
// in progress is never taken for none.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// watchedBody ends an answer whose connection goes silent.
type watchedBody struct {
	body     io.ReadCloser
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	progress time.Duration
}

var _ io.ReadCloser = (*watchedBody)(nil)

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.timer.Reset(b.progress)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.timer.Stop()
	err := b.body.Close()
	b.cancel(nil)
	return err
}
