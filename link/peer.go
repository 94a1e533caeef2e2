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
	// peerIdleTimeout is how long an unused peer connection stays open.
	peerIdleTimeout = 30 * time.Second
	// maxIdlePeerConns bounds the idle connections per member.
	maxIdlePeerConns = 4
	// maxIdleRelayConns is the same bound for connections that carry requests of callers.
	maxIdleRelayConns = 32
	// maxConcurrentDials bounds the connections being opened to one member at the same time.
	maxConcurrentDials = 4
	// maxDialStates bounds the addresses whose dial state is kept.
	maxDialStates = 2048
	// dialBackoff is how long after a failed dial calls to the member fail without a new dial.
	dialBackoff = 250 * time.Millisecond
)

// Peers provides drpc connections to other entry instances.
type Peers interface {
	// Conn returns a connection to the member. It is shared and must not be closed. It is opened
	// on the first call.
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

// dialState limits concurrent dials to one address and remembers the last failure.
type dialState struct {
	slots chan struct{}

	mu       sync.Mutex
	failedAt time.Time
	err      error
}

var _ Peers = (*PeerDialer)(nil)

// NewPeerDialer returns a dialer without connections.
func NewPeerDialer() *PeerDialer { return NewPeerDialerWith(defaultDial()) }

// NewRelayDialer returns a dialer without connections for requests of callers, of which many are in progress at the same time.
func NewRelayDialer() *PeerDialer { return newPeerDialer(defaultDial(), maxIdleRelayConns) }

// NewPeerDialerWith returns a dialer that opens its connections with dial.
func NewPeerDialerWith(dial DialFunc) *PeerDialer { return newPeerDialer(dial, maxIdlePeerConns) }

func newPeerDialer(dial DialFunc, maxIdle int) *PeerDialer {
	return &PeerDialer{
		dial:   dial,
		pool:   drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: peerIdleTimeout, KeyCapacity: maxIdle}),
		states: make(map[string]*dialState),
	}
}

// Conn implements Peers.
func (d *PeerDialer) Conn(ctx context.Context, member machine.Member) (drpc.Conn, error) {
	if member.Address == "" {
		return nil, fmt.Errorf("member %s has no peer address", member.ID)
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
			clear(d.states) // mostly of members that left; live ones get a new state on their next dial
		}
		state = &dialState{slots: make(chan struct{}, maxConcurrentDials)}
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
		return nil, &dialError{fmt.Errorf("waiting to dial %s: %w", address, ctx.Err())}
	}
	if err := state.recentError(time.Now()); err != nil {
		return nil, &dialError{fmt.Errorf("dial failed a moment ago: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", address)
	if err != nil {
		state.record(time.Now(), err)
		return nil, &dialError{err}
	}
	state.record(time.Time{}, nil)
	return drpcconn.New(conn), nil
}

// recentError returns the error of a dial that failed within dialBackoff, or nil.
func (s *dialState) recentError(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil && now.Sub(s.failedAt) < dialBackoff {
		return s.err
	}
	return nil
}

// record stores the result of the last dial.
func (s *dialState) record(at time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = at
	s.err = err
}

// dialError means that a call failed before anything was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return "peer: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// NotSent reports whether an error of a peer call means that nothing was sent.
func NotSent(err error) bool {
	var dialErr *dialError
	return errors.As(err, &dialErr)
}

// peerConn applies callTimeout to unary calls without a deadline.
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

// Close implements drpc.Conn. It does nothing: the dialer owns the connections.
func (c *peerConn) Close() error { return nil }
