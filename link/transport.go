package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout stays below the shortest idle timeout usual among middleboxes.
	idleTimeout = 30 * time.Second
	// provedTimeout is how long after a whole answer a connection counts as proved live.
	provedTimeout   = 3 * time.Second
	idlePerEndpoint = 64
	// TCP keep-alive probes find a dead path while an answer is awaited.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// DialFunc opens a connection to IP:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func defaultDial() DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return dialer.DialContext
}

// newTransport returns a transport whose connections count their bytes. Connections stay in its
// pool for at most idle after an answer; 0 means that each request gets a new connection.
func newTransport(dial DialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idle,
		DisableKeepAlives:   idle == 0,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
		ReadBufferSize:      32 << 10,
	}
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

// errReplayable means that net/http could send the request a second time by itself.
var errReplayable = errors.New("the request could be replayed by net/http")

// onceTransport refuses requests that net/http would replay when a reused connection breaks: those
// without a body or with GetBody. It changes nothing else.
type onceTransport struct {
	next http.RoundTripper
}

var _ http.RoundTripper = onceTransport{}

// RoundTrip implements http.RoundTripper.
func (t onceTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.Body == http.NoBody || request.GetBody != nil {
		return nil, errReplayable
	}
	return t.next.RoundTrip(request)
}
