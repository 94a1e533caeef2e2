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

// conn returns a live idle connection or a new one.
func (w *Wire) conn(ctx context.Context, out *Outgoing) (*wireConn, error) {
	if !out.Fresh {
		for conn := w.takeIdle(out.Address); conn != nil; conn = w.takeIdle(out.Address) {
			if conn.quiet() {
				return conn, nil
			}
			_ = conn.Close()
		}
	}
	raw, err := w.dial(ctx, "tcp", out.Address)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.opened++
	w.mu.Unlock()
	return &wireConn{Conn: raw, reader: bufio.NewReaderSize(raw, 4<<10), address: out.Address}, nil
}

// Opened returns the number of connections opened so far.
func (w *Wire) Opened() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

func (w *Wire) takeIdle(address string) *wireConn {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conns := w.idle[address]; len(conns) > 0; conns = w.idle[address] {
		conn := conns[len(conns)-1]
		w.idle[address] = conns[:len(conns)-1]
		if now.Before(conn.until) {
			conn.reused = true
			conn.sent.Store(0)
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// quiet says whether an idle connection is open and holds no unread bytes. A byte that came while no
// request was under way belongs to no answer.
func (c *wireConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keep puts a connection back for reuse.
func (w *Wire) keep(conn *wireConn, header http.Header) {
	conn.until = time.Now().Add(keepAlive(header))
	w.mu.Lock()
	defer w.mu.Unlock()
	if conn.keepIdle > 0 && len(w.idle[conn.address]) >= conn.keepIdle {
		_ = conn.Close()
		return
	}
	w.idle[conn.address] = append(w.idle[conn.address], conn)
}

// keepAlive is how long a connection may be reused after the answer.
func keepAlive(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if seconds, err := strconv.Atoi(value); found && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}

// Sweep closes connections that are too old for reuse, and those to addresses that are not live.
func (w *Wire) Sweep(live func(address string) bool) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, conns := range w.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if now.Before(conn.until) && live(address) {
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
func (w *Wire) Close() { w.Sweep(func(string) bool { return false }) }
