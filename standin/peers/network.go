// Package peers is a stand-in for the network between entry instances: calls go from one to the
// other within the process, with scripted faults.
package peers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// errUnreachable is the error of a call to an address that nothing serves.
var errUnreachable = errors.New("connection refused")

// Network connects nodes by their addresses. Safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	delay  time.Duration
	nodes  map[string]*Node
	silent map[string]bool            // addresses that swallow calls
	cut    func(from, to string) bool // pairs whose calls are swallowed
}

// New returns a network whose calls take delay each way.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, nodes: make(map[string]*Node), silent: make(map[string]bool)}
}

// Node is one entry instance's end of the network: its dialer and its service mux.
type Node struct {
	network *Network
	address string
	methods map[string]method
}

type method struct {
	server   any
	receiver drpc.Receiver
}

var (
	_ link.Peers = (*Node)(nil)
	_ drpc.Mux   = (*Node)(nil)
)

// Node adds a node at the address, replacing an earlier one.
func (n *Network) Node(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{network: n, address: address, methods: make(map[string]method)}
	n.nodes[address] = node
	return node
}

// Remove makes connections to the address refused.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetSilent makes calls from and to the address vanish, as those of a paused process do.
func (n *Network) SetSilent(address string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = silent
}

// Cut makes calls between the pairs of addresses for which separated is true vanish; nil heals.
func (n *Network) Cut(separated func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = separated
}

// Reaches says whether calls between the two addresses arrive.
func (n *Network) Reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to] != nil && !n.lost(from, to)
}

func (n *Network) lost(from, to string) bool {
	return n.silent[from] || n.silent[to] || n.cut != nil && n.cut(from, to)
}

// Register implements drpc.Mux.
func (n *Node) Register(server any, description drpc.Description) error {
	for i := range description.NumMethods() {
		rpc, _, receiver, _, ok := description.Method(i)
		if !ok {
			return fmt.Errorf("method %d is not described", i)
		}
		n.methods[rpc] = method{server: server, receiver: receiver}
	}
	return nil
}

// Conn implements link.Peers.
func (n *Node) Conn(_ context.Context, member machine.Member) (drpc.Conn, error) {
	return &conn{from: n, to: member.Address}, nil
}

type conn struct {
	from *Node
	to   string
}

// Close implements drpc.Conn.
func (c *conn) Close() error { return nil }

// Closed implements drpc.Conn.
func (c *conn) Closed() <-chan struct{} { return nil }

// Unblocked implements drpc.Conn.
func (c *conn) Unblocked() <-chan struct{} { return nil }

// NewStream implements drpc.Conn; the stand-in carries unary calls only.
func (c *conn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("streams are not carried")
}

// Invoke implements drpc.Conn. Messages are copied, so that the two ends share nothing.
func (c *conn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	target, err := c.cross(ctx, c.from.address, c.to)
	if err != nil {
		return err
	}
	method, ok := target.methods[rpc]
	if !ok {
		return fmt.Errorf("%s is not served", rpc)
	}
	answer, err := method.receiver(method.server, ctx, proto.Clone(in.(proto.Message)), nil)
	if err != nil {
		return err
	}
	if _, err := c.cross(ctx, c.to, c.from.address); err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), answer.(proto.Message))
	return nil
}

// cross takes a message one way and returns the node at the far end.
func (c *conn) cross(ctx context.Context, from, to string) (*Node, error) {
	network := c.from.network
	network.mu.Lock()
	node := network.nodes[to]
	lost := network.lost(from, to)
	delay := network.delay
	network.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if node == nil {
		return nil, errUnreachable
	}
	select {
	case <-time.After(delay):
		return node, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
