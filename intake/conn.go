package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// maxHeldBack is the largest number of bytes that are received behind a request in service.
const maxHeldBack = 4 << 10

// headTooLarge is the answer to a head beyond the bounds.
var headTooLarge = "HTTP/1.1 " + strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge) + " " +
	http.StatusText(http.StatusRequestHeaderFieldsTooLarge) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

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
	lingers atomic.Bool // the refusal is delivered before the connection is closed

	// Used by one goroutine at a time: the one that reads, or the handler of a request whose body is not read yet.
	framing  framing
	unparsed []byte // received, and held back from net/http until the request before it has ended
}

// Read implements net.Conn. It stops at the end of a head and of a request: net/http must not parse fields before they are charged.
func (c *guardedConn) Read(p []byte) (int, error) {
	if len(p) == 1 { // net/http reads a byte during a request, to learn when the caller leaves
		if err := c.receiveBehind(); err != nil {
			return 0, err
		}
	}
	fresh := len(c.unparsed) == 0
	n := copy(p, c.unparsed)
	if fresh {
		var err error
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, err
		}
	}
	taken, fields := c.framing.scan(p[:n])
	switch {
	case !fresh:
		c.unparsed = c.unparsed[taken:]
	case taken < n:
		c.unparsed = bytes.Clone(p[taken:n])
	}
	if len(c.unparsed) == 0 {
		c.unparsed = nil
	}
	if refused := c.charge(taken, fields); refused != nil {
		// net/http answers other errors with a 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: refused}
	}
	return taken, nil
}

// receiveBehind receives what the caller sends behind a request in service from which bytes are held back, until there are maxHeldBack or the
// caller leaves.
func (c *guardedConn) receiveBehind() error {
	for len(c.unparsed) > 0 && len(c.unparsed) < maxHeldBack && c.account.inService() {
		more := make([]byte, maxHeldBack-len(c.unparsed))
		n, err := c.Conn.Read(more)
		c.unparsed = append(c.unparsed, more[:n]...)
		if err != nil {
			return err
		}
	}
	return nil
}

// charge charges the account for bytes that were scanned, and the fields in them. It returns an error if they are refused.
func (c *guardedConn) charge(taken, fields int) error {
	switch {
	case c.framing.headExceeds(c.account.guard.headBytes()):
		c.refuseHead()
		return ErrHeadTooLarge
	case c.framing.part == partTooLarge:
		c.account.setTooLarge()
		return ErrHeadTooLarge
	}
	return c.account.received(int64(taken), int64(fields)*fieldBytes)
}

// refuseHead answers a head that is too large. net/http has answered all requests before it.
func (c *guardedConn) refuseHead() {
	c.account.guard.countRefused()
	_ = c.SetWriteDeadline(time.Now().Add(restTimeout))
	_, _ = io.WriteString(c, headTooLarge)
	_ = c.CloseWrite()
	c.lingers.Store(true)
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if c.lingers.Load() {
		return 0, net.ErrClosed // net/http takes the last line, which is not whole, for a malformed one
	}
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
	if c.lingers.Swap(false) {
		c.account.refuse()
		go c.linger()
		return nil
	}
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

// linger reads what is left for a while and closes the connection: unread bytes would reset it before the caller has its answer.
func (c *guardedConn) linger() {
	_ = c.SetReadDeadline(time.Now().Add(restTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Close()
}
