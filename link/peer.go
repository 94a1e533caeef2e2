package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"plumbarrow.example/plumbarrow/machine"
)

const (
	// callTimeout bounds a unary call whose context has no deadline. A drpc connection whose call
	// times out is closed, so that a silent one is used once at most.
	callTimeout = 3 * time.Second
	// peerIdle is how long an unused peer connection stays open.
	peerIdle = 30 * time.Second
	// peerConns bounds the idle connections per member.
	peerConns = 4
	// peerDials bounds the connections being opened to one member at the same time.
	peerDials = 4
	// maxDialStates bounds the addresses remembered.
	maxDialStates = 2048
	// dialBackoff is how long calls to a member fail at once after a failed dial.
	dialBackoff = 250 * time.Millisecond
)

// Peers gives drpc connections to other entry instances.
type Peers interface {
	// Conn returns a connection to the member; it is shared and must not be closed. Opening it is
	// put off until the first call.
	Conn(ctx context.Context, member machine.Member) (drpc.Conn, error)
}

// PeerDialer shares a few drpc connections per member among all calls. drpc carries one call per
// connection at a time; calls beyond the idle connections open further ones. Safe for concurrent
// use.
type PeerDialer struct {
	dial DialFunc
	pool *drpcpool.Pool[string, *drpcconn.Conn]

	mu     sync.Mutex
	states map[string]*dialState
}

// dialState bounds the dials to one address.
type dialState struct {
	slots chan struct{}

	mu     sync.Mutex
	failed time.Time
	err    error
}

var _ Peers = (*PeerDialer)(nil)

// NewPeerDialer returns a dialer without connections.
func NewPeerDialer() *PeerDialer { return NewPeerDialerWith(defaultDial()) }

// NewPeerDialerWith returns a dialer that opens its connections with dial.
func NewPeerDialerWith(dial DialFunc) *PeerDialer {
	return &PeerDialer{
		dial:   dial,
		pool:   drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: peerIdle, KeyCapacity: peerConns}),
		states: make(map[string]*dialState),
	}
}

// Conn implements Peers.
func (d *PeerDialer) Conn(ctx context.Context, member machine.Member) (drpc.Conn, error) {
	if member.Address == "" {
		return nil, errors.New("the member has no peer address")
	}
	return &peerConn{Conn: d.pool.Get(ctx, member.Address, d.open)}, nil
}

// Close closes all idle connections.
func (d *PeerDialer) Close() { _ = d.pool.Close() }

func (d *PeerDialer) state(address string) *dialState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.states[address]
	if state == nil {
		if len(d.states) >= maxDialStates {
			clear(d.states) // members that left; the live ones come back with their next dial
		}
		state = &dialState{slots: make(chan struct{}, peerDials)}
		d.states[address] = state
	}
	return state
}

func (d *PeerDialer) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	state := d.state(address)
	select {
	case state.slots <- struct{}{}:
		defer func() { <-state.slots }()
	case <-ctx.Done():
		return nil, &dialError{ctx.Err()}
	}
	if err := state.recent(time.Now()); err != nil {
		return nil, &dialError{fmt.Errorf("dial failed a moment ago: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", address)
	if err != nil {
		state.note(time.Now(), err)
		return nil, &dialError{err}
	}
	state.note(time.Time{}, nil)
	return drpcconn.New(raw), nil
}

func (s *dialState) recent(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil && now.Sub(s.failed) < dialBackoff {
		return s.err
	}
	return nil
}

func (s *dialState) note(at time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = at
	s.err = err
}

// dialError means that a call failed before anything was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return "peer: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// NotSent says whether an error of a peer call means that nothing was sent.
func NotSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// peerConn gives each unary call a deadline.
type peerConn struct {
	drpc.Conn
}

// Invoke implements drpc.Conn.
func (c *peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// Close implements drpc.Conn; the connections stay with the dialer.
func (c *peerConn) Close() error { return nil }
