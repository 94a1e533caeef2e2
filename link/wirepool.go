package link

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn returns a reusable idle connection or a new one.
func (w *EndpointClient) conn(ctx context.Context, out *EndpointRequest) (*wireConn, error) {
	if !out.NewConnection {
		for conn := w.takeIdle(out.Address); conn != nil; conn = w.takeIdle(out.Address) {
			if conn.reusable() {
				return conn, nil
			}
			_ = conn.Close()
		}
	}
	netConn, err := w.dial(ctx, "tcp", out.Address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.opened++
	w.mu.Unlock()
	return &wireConn{Conn: netConn, reader: bufio.NewReaderSize(netConn, 4<<10), address: out.Address}, nil
}

// OpenedCount returns the number of connections opened so far.
func (w *EndpointClient) OpenedCount() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// takeIdle removes and returns the most recently used unexpired connection to the address, or nil.
func (w *EndpointClient) takeIdle(address string) *wireConn {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conns := w.idle[address]; len(conns) > 0; conns = w.idle[address] {
		conn := conns[len(conns)-1]
		w.idle[address] = conns[:len(conns)-1]
		if now.Before(conn.expiresAt) {
			conn.reused = true
			conn.sent.Store(0)
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// reusable reports whether an idle connection is open and holds no unread bytes. Bytes that arrive while
// no request is in flight belong to no answer.
func (c *wireConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// putIdle keeps a connection for reuse, or closes it if there are maxIdle already.
func (w *EndpointClient) putIdle(conn *wireConn, header http.Header) {
	conn.expiresAt = time.Now().Add(keepAliveTimeout(header))
	w.mu.Lock()
	defer w.mu.Unlock()
	if conn.maxIdle > 0 && len(w.idle[conn.address]) >= conn.maxIdle {
		_ = conn.Close()
		return
	}
	w.idle[conn.address] = append(w.idle[conn.address], conn)
}

// keepAliveTimeout returns how long a connection may be reused after an answer with the header.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}

// Sweep closes idle connections that are expired or whose address is not live.
func (w *EndpointClient) Sweep(live func(address string) bool) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, conns := range w.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.expiresAt) && live(address) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		clear(conns[len(kept):])
		w.idle[address] = kept
		if len(kept) == 0 {
			delete(w.idle, address)
		}
	}
}

// Close closes the idle connections.
func (w *EndpointClient) Close() { w.Sweep(func(string) bool { return false }) }
