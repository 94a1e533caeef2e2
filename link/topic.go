package link

import "plumbarrow.example/plumbarrow/machine"

// Topic is one kind of state that entry instances gossip in the rounds of zone.Exchange. A message
// carries the whole state, and merging is idempotent and independent of order, so that repeated, late
// or reordered messages do no harm. An instance forwards the merged state, except for state that each
// instance sends to the others itself, such as its load at endpoints.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Message returns the current state to send to the member; nil for none. Its size must not grow
	// with the number of instances times endpoints.
	Message(to machine.Member) []byte
	// Receive merges a member's message. It must not block on the network.
	Receive(from machine.Member, message []byte)
}
