package link

import (
	"context"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/link/linkpb"
	"plumbarrow.example/plumbarrow/machine"
)

// Liveness answers the pings of other entry instances.
type Liveness struct {
	self machine.Member
}

var _ linkpb.DRPCLivenessServer = (*Liveness)(nil)

// NewLiveness returns the service for the instance self.
func NewLiveness(self machine.Member) *Liveness { return &Liveness{self: self} }

// Register adds the service to a server's mux.
func (l *Liveness) Register(mux drpc.Mux) error { return linkpb.DRPCRegisterLiveness(mux, l) }

// Ping implements linkpb.DRPCLivenessServer.
func (l *Liveness) Ping(context.Context, *linkpb.PingRequest) (*linkpb.PingReply, error) {
	return &linkpb.PingReply{Incarnation: string(l.self.Incarnation)}, nil
}

// Ping returns the incarnation of a member. If the member or the connection is unresponsive, it fails
// when ctx expires, or after callTimeout if ctx has no deadline, and the next call opens a new
// connection.
func Ping(ctx context.Context, peers Peers, member machine.Member) (machine.Incarnation, error) {
	conn, err := peers.Conn(ctx, member)
	if err != nil {
		return "", err
	}
	reply, err := linkpb.NewDRPCLivenessClient(conn).Ping(ctx, &linkpb.PingRequest{})
	if err != nil {
		return "", err
	}
	return machine.Incarnation(reply.GetIncarnation()), nil
}
