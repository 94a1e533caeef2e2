package mirror

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror/mirrorpb"
)

// catchUpTimeout bounds one read from a peer. An instance that misses it asks the next peer whose
// position it hears.
const catchUpTimeout = 800 * time.Millisecond

// Topic tells peers how far the copy has come and fetches what they have and it lacks.
type Topic struct {
	mirror *Mirror
	peers  link.Peers
	behind chan machine.Member
}

var (
	_ link.Topic                = (*Topic)(nil)
	_ mirrorpb.DRPCMirrorServer = (*Topic)(nil)
)

// NewTopic returns the topic of a mirror. Its Run must be running.
func NewTopic(mirror *Mirror, peers link.Peers) *Topic {
	return &Topic{mirror: mirror, peers: peers, behind: make(chan machine.Member, 1)}
}

// Register serves the copy to peers.
func (t *Topic) Register(mux drpc.Mux) error { return mirrorpb.DRPCRegisterMirror(mux, t) }

// Name implements link.Topic.
func (t *Topic) Name() string { return "documents" }

// Message implements link.Topic.
func (t *Topic) Message(machine.Member) []byte {
	data, err := proto.Marshal(&mirrorpb.Position{Revision: t.mirror.Revision(), Steady: t.mirror.steady()})
	if err != nil {
		t.mirror.log.Error("position not encoded", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (t *Topic) Receive(from machine.Member, message []byte) {
	position := &mirrorpb.Position{}
	if err := proto.Unmarshal(message, position); err != nil {
		t.mirror.log.Warn("position not decoded", "peer", from.ID, "error", err)
		return
	}
	if position.GetSteady() {
		t.mirror.peerSteady()
	}
	if position.GetRevision() <= t.mirror.Revision() {
		return
	}
	select {
	case t.behind <- from:
	default: // a read is already due
	}
}

// Run reads from peers that are ahead until ctx ends.
func (t *Topic) Run(ctx context.Context) error {
	for {
		select {
		case peer := <-t.behind:
			if err := t.catchUp(ctx, peer); err != nil {
				t.mirror.log.Debug("copy of a peer not read", "peer", peer.ID, "error", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Topic) catchUp(ctx context.Context, peer machine.Member) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	conn, err := t.peers.Conn(ctx, peer)
	if err != nil {
		return err
	}
	after := t.mirror.Revision()
	reply, err := mirrorpb.NewDRPCMirrorClient(conn).Changes(ctx, &mirrorpb.ChangesRequest{After: after})
	if err != nil {
		return err
	}
	documents := make([]Document, 0, len(reply.GetDocuments()))
	for _, one := range reply.GetDocuments() {
		documents = append(documents, Document{
			Key: one.GetKey(), Value: one.GetValue(), Revision: one.GetRevision(), Deleted: one.GetDeleted(),
		})
	}
	if reply.GetFull() {
		t.mirror.replace(documents, reply.GetRevision())
	} else {
		t.mirror.apply(documents, reply.GetRevision())
	}
	if len(documents) > 0 {
		t.mirror.log.Info("documents read from a peer", "peer", peer.ID, "after", after,
			"revision", reply.GetRevision(), "documents", len(documents), "full", reply.GetFull())
	}
	return nil
}

// Changes implements mirrorpb.DRPCMirrorServer.
func (t *Topic) Changes(_ context.Context, request *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	documents, revision, full := t.mirror.changes(request.GetAfter())
	reply := &mirrorpb.ChangesReply{Revision: revision, Full: full}
	for _, one := range documents {
		reply.Documents = append(reply.Documents, &mirrorpb.Document{
			Key: one.Key, Value: one.Value, Revision: one.Revision, Deleted: one.Deleted,
		})
	}
	return reply, nil
}
