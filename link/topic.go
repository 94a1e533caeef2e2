package link

import "plumbarrow.example/plumbarrow/machine"

// Topic is one kind of state that entry instances exchange with each other about once a second.
// Messages are whole states that merge: receiving one twice, late or out of order does no harm,
// and an instance passes on what it merged.
type Topic interface {
	// Name identifies the topic on the wire.
	Name() string
	// Message returns what this instance tells the member now; nil for nothing. Its size does not
	// grow with the number of instances times endpoints.
	Message(to machine.Member) []byte
	// Receive merges a member's message. It must not block on the network.
	Receive(from machine.Member, message []byte)
}
