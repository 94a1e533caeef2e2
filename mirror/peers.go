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

// catchUpTimeout bounds one fetch from a peer. After a timeout, the next peer that reports a higher
// revision is asked.
const catchUpTimeout = 800 * time.Millisecond

// Topic reports the copy's revision to peers and fetches changes from peers that are ahead.
type Topic struct {
	mirror *Mirror
	peers  link.Peers
	ahead  chan machine.Member // a peer that is ahead of this copy; capacity 1
}

var (
	_ link.Topic                = (*Topic)(nil)
	_ mirrorpb.DRPCMirrorServer = (*Topic)(nil)
)

// NewTopic returns the topic of a mirror. It fetches changes only while Run is running.
func NewTopic(mirror *Mirror, peers link.Peers) *Topic {
	return &Topic{mirror: mirror, peers: peers, ahead: make(chan machine.Member, 1)}
}

// Register serves the copy to peers.
func (t *Topic) Register(mux drpc.Mux) error { return mirrorpb.DRPCRegisterMirror(mux, t) }

// Name implements link.Topic.
func (t *Topic) Name() string { return "documents" }

// Message implements link.Topic.
func (t *Topic) Message(machine.Member) []byte {
	data, err := proto.Marshal(&mirrorpb.Position{Revision: t.mirror.Revision(), Steady: t.mirror.steady()})
	if err != nil {
		t.mirror.log.Error("encoding revision of the mirror failed", "error", err)
		return nil
	}
	return data
}

// Receive implements link.Topic.
func (t *Topic) Receive(from machine.Member, message []byte) {
	position := &mirrorpb.Position{}
	if err := proto.Unmarshal(message, position); err != nil {
		t.mirror.log.Warn("decoding revision of a peer's mirror failed", "peer", from.ID, "error", err)
		return
	}
	if position.GetSteady() {
		t.mirror.recordPeerSteady()
	}
	if position.GetRevision() <= t.mirror.Revision() {
		return
	}
	select {
	case t.ahead <- from:
	default: // a fetch is already due
	}
}

// Run fetches changes from peers that are ahead until ctx ends.
func (t *Topic) Run(ctx context.Context) error {
	for {
		select {
		case peer := <-t.ahead:
			if err := t.catchUp(ctx, peer); err != nil {
				t.mirror.log.Debug("changes not fetched from peer", "peer", peer.ID, "error", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// catchUp fetches from a peer what has changed after this copy's revision.
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
	for _, document := range reply.GetDocuments() {
		documents = append(documents, Document{
			Key: document.GetKey(), Value: document.GetValue(), Revision: document.GetRevision(), Deleted: document.GetDeleted(),
		})
	}
	if reply.GetFull() {
		t.mirror.replace(documents, reply.GetRevision())
	} else {
		t.mirror.apply(documents, reply.GetRevision())
	}
	if len(documents) > 0 {
		t.mirror.log.Info("documents fetched from a peer", "peer", peer.ID, "after", after,
			"revision", reply.GetRevision(), "documents", len(documents), "full", reply.GetFull())
	}
	return nil
}

// Changes implements mirrorpb.DRPCMirrorServer.
func (t *Topic) Changes(_ context.Context, request *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	documents, revision, full := t.mirror.changesAfter(request.GetAfter())
	reply := &mirrorpb.ChangesReply{Revision: revision, Full: full}
	for _, document := range documents {
		reply.Documents = append(reply.Documents, &mirrorpb.Document{
			Key: document.Key, Value: document.Value, Revision: document.Revision, Deleted: document.Deleted,
		})
	}
	return reply, nil
}
