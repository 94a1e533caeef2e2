package link

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"plumbarrow.example/plumbarrow/machine"
)

// Peers gives drpc connections to other entry instances.
type Peers interface {
	// Conn returns a connection to the member; it is shared and must not be closed.
	Conn(ctx context.Context, member machine.Member) (drpc.Conn, error)
}

// PeerDialer keeps one drpc connection per member. Safe for concurrent use.
type PeerDialer struct {
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
}

var _ Peers = (*PeerDialer)(nil)

// NewPeerDialer returns a dialer without connections.
func NewPeerDialer() *PeerDialer { return &PeerDialer{conns: make(map[string]*drpcconn.Conn)} }

// Conn implements Peers.
func (d *PeerDialer) Conn(ctx context.Context, member machine.Member) (drpc.Conn, error) {
	d.mu.Lock()
	conn := d.conns[member.Address]
	d.mu.Unlock()
	if conn != nil && !closed(conn) {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", member.Address)
	if err != nil {
		return nil, err
	}
	fresh := drpcconn.New(raw)
	d.mu.Lock()
	d.conns[member.Address] = fresh
	d.mu.Unlock()
	return fresh, nil
}

// Close closes all connections.
func (d *PeerDialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

func closed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// ServePeers serves the registered drpc services until ctx ends.
func ServePeers(ctx context.Context, listener net.Listener, mux *drpcmux.Mux) error {
	return drpcserver.New(mux).Serve(ctx, listener)
}
