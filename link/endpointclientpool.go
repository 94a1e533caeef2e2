package link

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// conn returns a reusable idle connection or a new one. No connection carries two requests with the same id.
func (c *EndpointClient) conn(ctx context.Context, request *EndpointRequest) (*endpointConn, error) {
	id := xxhash.Sum64String(request.ID)
	if !request.NewConnection {
		for conn := c.takeIdle(request.Address, id); conn != nil; conn = c.takeIdle(request.Address, id) {
			if conn.reusable() {
				conn.carried = append(conn.carried, id)
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
	conn := newEndpointConn(netConn, request.Address, number)
	conn.source.answers.SetBudget(c.heads)
	conn.carried = append(conn.carried, id)
	return conn, nil
}

// OpenedCount returns the number of connections opened so far.
func (c *EndpointClient) OpenedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// takeIdle removes and returns the most recently used unexpired connection to the address that has not carried a request with the
// id's hash, or nil. It closes the expired connections that it passes.
func (c *EndpointClient) takeIdle(address string, id uint64) *endpointConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for n := len(conns) - 1; n >= 0; n-- {
		conn := conns[n]
		if now.Before(conn.expiresAt) && slices.Contains(conn.carried, id) {
			continue
		}
		conns = slices.Delete(conns, n, n+1)
		c.idle[address] = conns
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
	if c.reader.Buffered() > 0 || c.source.answers.Err() != nil {
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

// putIdle keeps a connection for reuse, or closes it if there are maxIdleConns already or it has carried maxCarried requests.
func (c *EndpointClient) putIdle(conn *endpointConn, header http.Header) {
	if len(conn.carried) >= maxCarried {
		_ = conn.Close()
		return
	}
	conn.source.answers.Release()
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
