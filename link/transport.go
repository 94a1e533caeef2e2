package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

const (
	dialTimeout = 2 * time.Second
	// pooledIdleTimeout is below the shortest idle timeout that is usual for middleboxes.
	pooledIdleTimeout = 30 * time.Second
	// recentIdleTimeout is how long after a complete answer a connection may carry a request that is
	// not idempotent. An older connection may have lost its path unnoticed.
	recentIdleTimeout  = 3 * time.Second
	maxIdlePerEndpoint = 64
	// TCP keep-alive probes detect a lost path during the wait for an answer.
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

// newTransport returns a transport whose connections count the bytes written, and charge the dispatcher's budget for heads. It keeps a connection
// for reuse for at most idle after an answer; 0 means that each request uses a new connection.
func (d *Dispatcher) newTransport(dial DialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: answercheck.NewConn(&stickyConn{Conn: conn}, d.heads)}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idle,
		DisableKeepAlives:   idle == 0,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
		ReadBufferSize:      32 << 10,
	}
}

// countedConn passes bytes of valid answers only, and counts the bytes passed to the kernel. It counts before the write, so that a write in
// progress never counts as nothing sent.
type countedConn struct {
	*answercheck.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// errReplayable means that net/http could send the request again by itself.
var errReplayable = errors.New("the request could be replayed by net/http")

// onceTransport rejects requests that net/http would send again when a reused connection breaks: those
// without a body or with GetBody. It passes on all others unchanged.
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
