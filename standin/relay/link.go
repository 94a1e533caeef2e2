package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// link is one relayed TCP connection: the accepted side and the dialed side.
type link struct {
	downstream, upstream *net.TCPConn
	silent               atomic.Bool
}

func (l *link) silence() { l.silent.Store(true) }

// cut resets the connection unless it is silent. A silent link models a middlebox that has dropped its
// state for the connection, which sends no resets either.
func (l *link) cut() {
	if !l.silent.Load() {
		l.reset()
	}
}

func (l *link) reset() {
	reset(l.downstream)
	reset(l.upstream)
}

// run forwards both directions until both have ended, then closes the connections.
func (l *link) run() {
	var group sync.WaitGroup
	group.Go(func() { l.forward(l.upstream, l.downstream) })
	group.Go(func() { l.forward(l.downstream, l.upstream) })
	group.Wait()
	_ = l.downstream.Close()
	_ = l.upstream.Close()
}

func (l *link) forward(to, from *net.TCPConn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.silent.Load() && n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				l.cut()
				return
			}
		}
		if err != nil {
			l.end(to, err)
			return
		}
	}
}

// end forwards the end of one direction: EOF as a half-close, an error as a reset.
func (l *link) end(to *net.TCPConn, err error) {
	switch {
	case l.silent.Load():
	case errors.Is(err, io.EOF):
		_ = to.CloseWrite()
	default:
		l.cut()
	}
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
