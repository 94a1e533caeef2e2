package intake

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Listen listens on the address (IP:port). Its connections have accounts; those for which there is no room are closed.
func (g *Guard) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit the size. It bounds what the kernel holds; without it the process works as well.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return g.Guarded(inner), nil
}

// Guarded is Listen for a listener that is open already.
func (g *Guard) Guarded(inner net.Listener) net.Listener {
	return &guardedListener{Listener: inner, guard: g}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if account := l.guard.admit(conn); account != nil {
			return &guardedConn{Conn: conn, account: account}, nil
		}
		_ = conn.Close()
	}
}

type guardedConn struct {
	net.Conn
	account *Account
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.account.received(n); refused != nil {
			// net/http answers other errors with a 400.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refused}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.account.setWriting(time.Now())
	defer c.account.setWriting(time.Time{})
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection stays in the past.
func (c *guardedConn) SetReadDeadline(deadline time.Time) error {
	c.account.guard.mu.Lock()
	defer c.account.guard.mu.Unlock()
	if c.account.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// CloseWrite lets net/http shut the connection down in order, so that the caller gets a refusal before the connection is reset.
func (c *guardedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}
