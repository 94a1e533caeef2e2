package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	// peerDrainTimeout bounds how long a stopping peer server waits for calls in progress.
	peerDrainTimeout = time.Minute
	// peerUserTimeout is how long bytes to a peer may stay unacknowledged before its calls are cancelled. With frameKeepAliveInterval, at which
	// bytes are sent, it is shorter than frameTimeout: work for a peer that cannot be reached ends before that peer passes it on again.
	peerUserTimeout = 1500 * time.Millisecond
)

// ServePeers serves the registered drpc services until ctx ends. Then it accepts no further
// connection, refuses new calls, lets the calls in progress finish, and returns.
func ServePeers(ctx context.Context, listener net.Listener, mux *drpcmux.Mux) error {
	calls := &callTracker{next: mux}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	server := drpcserver.New(calls)
	var conns sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := acceptPeers(ctx, listener, func(conn net.Conn) {
		conns.Go(func() { _ = server.ServeOne(serving, conn) })
	})
	calls.drain(peerDrainTimeout)
	cancel()
	conns.Wait()
	return err
}

func acceptPeers(ctx context.Context, listener net.Listener, serve func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		if err == nil {
			boundSilence(conn)
			serve(conn)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		// A transient error, such as running out of file descriptors: retry after a pause.
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// boundSilence sets peerUserTimeout.
func boundSilence(conn net.Conn) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, peerUserTimeout)
	}
}

const acceptPause = 100 * time.Millisecond

// errStopping refuses calls that arrive while the server stops.
var errStopping = errors.New("the entry instance is stopping")

// callTracker counts the calls in progress.
type callTracker struct {
	next drpc.Handler

	mu         sync.Mutex
	inProgress int
	stopping   bool
	idle       chan struct{} // closed when stopping and no call is in progress
}

var _ drpc.Handler = (*callTracker)(nil)

// HandleRPC implements drpc.Handler.
func (t *callTracker) HandleRPC(stream drpc.Stream, rpc string) error {
	t.mu.Lock()
	if t.stopping {
		t.mu.Unlock()
		return errStopping
	}
	t.inProgress++
	t.mu.Unlock()
	defer t.done()
	return t.next.HandleRPC(stream, rpc)
}

func (t *callTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
	if t.stopping && t.inProgress == 0 {
		close(t.idle)
	}
}

// drain refuses new calls and waits up to limit for the calls in progress.
func (t *callTracker) drain(limit time.Duration) {
	t.mu.Lock()
	t.stopping = true
	t.idle = make(chan struct{})
	if t.inProgress == 0 {
		close(t.idle)
	}
	t.mu.Unlock()
	select {
	case <-t.idle:
	case <-time.After(limit):
	}
}
