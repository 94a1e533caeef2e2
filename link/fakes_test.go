package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

// pipeNetwork is an in-memory network for synctest bubbles. On connections dialled while silent is set,
// writes succeed and reads receive nothing.
type pipeNetwork struct {
	accepted chan net.Conn
	dials    atomic.Int64
	silent   atomic.Bool
	lastConn atomic.Pointer[silentConn] // dialled last
}

var _ net.Listener = (*pipeNetwork)(nil)

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{accepted: make(chan net.Conn)} }

func (n *pipeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	n.dials.Add(1)
	near, far := net.Pipe()
	conn := &silentConn{Conn: near, closed: make(chan struct{})}
	conn.silent.Store(n.silent.Load())
	n.lastConn.Store(conn)
	if conn.silent.Load() {
		return conn, nil
	}
	select {
	case n.accepted <- far:
		return conn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	conn, ok := <-n.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *pipeNetwork) Close() error {
	defer func() { _ = recover() }() // closed already
	close(n.accepted)
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn simulates a connection that loses its path: once silent is set, it discards writes, and
// reads block until it is closed.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	defer func() { _ = recover() }() // closed already
	err := c.Conn.Close()
	close(c.closed)
	return err
}

func (c *silentConn) Read(p []byte) (int, error) {
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if err != nil && c.silent.Load() {
		return 0, errors.New("lost")
	}
	return n, err
}

func serveHTTP(n *pipeNetwork, handler http.HandlerFunc) (stop func()) {
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(n) }()
	return func() { _ = server.Close() }
}

func newAttempt(address string, idempotent bool) *Attempt {
	return &Attempt{
		ID: "attempt", RequestID: "request", Endpoint: machine.Endpoint{Address: address},
		Method: http.MethodPost, Path: "/run", Body: []byte("{}"), Idempotent: idempotent,
		FirstByteTimeout: 10 * time.Second, ProgressTimeout: 10 * time.Second,
	}
}
