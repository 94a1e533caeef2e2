// Package peers is a stand-in for the network between entry instances. It delivers unary RPCs within
// the process and injects delays, links of limited bandwidth, silent addresses and partitions.
package peers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/internal/pause"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// errUnreachable is returned for a call to an address without a node.
var errUnreachable = errors.New("connection refused")

// Network connects nodes by their addresses. Safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	delay     time.Duration
	nodes     map[string]*Node
	silent    map[string]bool            // addresses whose messages are dropped
	partition func(from, to string) bool // pairs whose messages are dropped; may be nil
	links     map[string]*hostLink       // of the addresses with limited bandwidth
	queues    map[string]time.Duration   // further delay of messages to an address
}

// hostLink is the link of one address. Messages on it queue in pieces of pieceBytes, so that small ones pass between large ones.
type hostLink struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// pieceBytes is the size of the pieces in which messages share a link.
const pieceBytes = 8 << 10

// New returns a network that delays each message by delay, so that a call takes twice that.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, nodes: make(map[string]*Node), silent: make(map[string]bool), links: make(map[string]*hostLink), queues: make(map[string]time.Duration)}
}

// Node is one address on the network: the dialer and the RPC mux of an entry instance.
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

// Remove removes the node at the address; later calls to it fail at once.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetSilent drops, or stops dropping, all messages from and to the address, as if its process were
// paused. A call whose message is dropped blocks until its context ends.
func (n *Network) SetSilent(address string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = silent
}

// SetBandwidth limits the link of the address, for both directions together.
func (n *Network) SetBandwidth(address string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[address] = &hostLink{bytesPerSecond: bytesPerSecond}
}

// SetQueue delays each message to the address, as a link on which packets wait.
func (n *Network) SetQueue(address string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queues[address] = delay
}

// occupy takes the time that the bytes need on the links of the addresses.
func (n *Network) occupy(ctx context.Context, bytes int, addresses ...string) error {
	for ; bytes > 0; bytes -= pieceBytes {
		for _, address := range addresses {
			if wait := n.reserve(address, min(bytes, pieceBytes)); wait > 0 && !pause.Sleep(ctx, wait) {
				return context.Cause(ctx)
			}
		}
	}
	return nil
}

// reserve puts bytes into the queue of an address's link and returns the time until they have passed.
func (n *Network) reserve(address string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.links[address]
	if link == nil {
		return 0
	}
	now := time.Now()
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	link.freeAt = link.freeAt.Add(time.Duration(float64(bytes) / link.bytesPerSecond * float64(time.Second)))
	return link.freeAt.Sub(now)
}

// Transmit takes the time that bytes from or to another system need on the node's link.
func (n *Node) Transmit(ctx context.Context, bytes int) error {
	return n.network.occupy(ctx, bytes, n.address)
}

// Partition partitions the network: messages are dropped where separated returns true. nil ends the
// partition. separated runs with the network locked, so it must not call it.
func (n *Network) Partition(separated func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = separated
}

// Reaches reports whether there is a node at address to that a message from address from would reach.
func (n *Network) Reaches(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to] != nil && !n.dropped(from, to)
}

// dropped reports whether a message is dropped; n.mu is held.
func (n *Network) dropped(from, to string) bool {
	return n.silent[from] || n.silent[to] || n.partition != nil && n.partition(from, to)
}

// Register implements drpc.Mux. It must not run concurrently with calls to the node.
func (n *Node) Register(server any, description drpc.Description) error {
	for i := range description.NumMethods() {
		rpc, _, receiver, _, ok := description.Method(i)
		if !ok {
			return fmt.Errorf("node %s: method %d is not described", n.address, i)
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

// NewStream implements drpc.Conn. It always fails: only unary calls are supported.
func (c *conn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("streams are not supported")
}

// Invoke implements drpc.Conn. It copies the messages, so that caller and server share no memory.
func (c *conn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	target, err := c.transfer(ctx, c.from.address, c.to, in)
	if err != nil {
		return err
	}
	method, ok := target.methods[rpc]
	if !ok {
		return fmt.Errorf("node %s: %s is not served", c.to, rpc)
	}
	answer, err := method.receiver(method.server, ctx, proto.Clone(in.(proto.Message)), nil)
	if err != nil {
		return err
	}
	if _, err := c.transfer(ctx, c.to, c.from.address, answer); err != nil {
		return err
	}
	proto.Merge(out.(proto.Message), answer.(proto.Message))
	return nil
}

// transfer delays one message and returns the node that receives it. If the message is dropped, it blocks
// until ctx ends.
func (c *conn) transfer(ctx context.Context, from, to string, message drpc.Message) (*Node, error) {
	network := c.from.network
	network.mu.Lock()
	node := network.nodes[to]
	dropped := network.dropped(from, to)
	delay := network.delay + network.queues[to]
	network.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if node == nil {
		return nil, fmt.Errorf("node %s: %w", to, errUnreachable)
	}
	if err := network.occupy(ctx, proto.Size(message.(proto.Message)), from, to); err != nil {
		return nil, err
	}
	select {
	case <-time.After(delay):
		return node, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
