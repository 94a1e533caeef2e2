package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const bufferBytes = 32 << 10

// link is one relayed connection.
type link struct {
	near, far *net.TCPConn
	silent    atomic.Bool
}

func (l *link) silence() { l.silent.Store(true) }

// cut resets the connection unless it is silent: nobody who has lost track of a connection sends
// a reset for it.
func (l *link) cut() {
	if !l.silent.Load() {
		l.reset()
	}
}

func (l *link) reset() {
	reset(l.near)
	reset(l.far)
}

// run forwards until both directions have ended.
func (l *link) run() {
	var group sync.WaitGroup
	group.Go(func() { l.forward(l.far, l.near) })
	group.Go(func() { l.forward(l.near, l.far) })
	group.Wait()
	_ = l.near.Close()
	_ = l.far.Close()
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

// end passes the end of one direction on, as an end or as a reset.
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
