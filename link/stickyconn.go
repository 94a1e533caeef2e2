package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stickyConn is a connection whose first error is returned by all later reads in place of the end of the stream. The kernel reports the
// error of a broken connection once, to a read or a write, whichever comes first; reads after that look like an orderly close, which
// would complete an answer that ends with its connection. One goroutine may read while another one writes.
type stickyConn struct {
	net.Conn
	writing sync.Mutex // held during a write

	mu     sync.Mutex
	broken error // the first error other than a deadline; nil if there was none
}

// Read implements net.Conn.
func (c *stickyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.readError(err)
}

// Write implements net.Conn.
func (c *stickyConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	_ = c.keep(err)
	return n, err
}

// readError returns the error for a read that ended with err: err itself, or the error that broke the connection if err is the end of
// the stream.
func (c *stickyConn) readError(err error) error {
	if !errors.Is(err, io.EOF) {
		_ = c.keep(err)
		return err
	}
	if !c.writing.TryLock() {
		// The write in progress may hold the error. It has no use after the end of the answer, so it is interrupted.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	c.writing.Unlock()
	if broken := c.keep(nil); broken != nil {
		return broken
	}
	return err
}

// keep records the error, unless it is nil, a deadline, or EPIPE, which the kernel reports for a reset after an orderly end; that end is true. It
// returns the first one recorded.
func (c *stickyConn) keep(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) {
		c.broken = err
	}
	return c.broken
}
