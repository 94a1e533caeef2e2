package link

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn returns a reusable idle connection or a new one.
func (c *EndpointClient) conn(ctx context.Context, request *EndpointRequest) (*endpointConn, error) {
	if !request.NewConnection {
		for conn := c.takeIdle(request.Address); conn != nil; conn = c.takeIdle(request.Address) {
			if conn.reusable() {
				return conn, nil
			}
			_ = conn.Close()
		}
	}
	netConn, err := c.dial(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	number := c.opened
	c.mu.Unlock()
	return newEndpointConn(netConn, request.Address, number), nil
}

// OpenedCount returns the number of connections opened so far.
func (c *EndpointClient) OpenedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// takeIdle removes and returns the most recently used unexpired connection to the address, or nil.
func (c *EndpointClient) takeIdle(address string) *endpointConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[address]; len(conns) > 0; conns = c.idle[address] {
		conn := conns[len(conns)-1]
		c.idle[address] = conns[:len(conns)-1]
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
func (c *endpointConn) reusable() bool {
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

// putIdle keeps a connection for reuse, or closes it if there are maxIdleConns already.
func (c *EndpointClient) putIdle(conn *endpointConn, header http.Header) {
	conn.expiresAt = time.Now().Add(keepAliveTimeout(header))
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.maxIdleConns > 0 && len(c.idle[conn.address]) >= conn.maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
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

// Sweep closes idle connections that are expired or for whose address hasAddress returns false.
func (c *EndpointClient) Sweep(hasAddress func(address string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.expiresAt) && hasAddress(address) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		clear(conns[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Close closes the idle connections.
func (c *EndpointClient) Close() { c.Sweep(func(string) bool { return false }) }
