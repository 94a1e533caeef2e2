package mirror

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/internal/delta"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror/mirrorpb"
	"plumbarrow.example/plumbarrow/standin/peers"
)

func golden(c *qt.C, name string) []byte {
	data, err := os.ReadFile("testdata/" + name)
	c.Assert(err, qt.IsNil)
	return data
}

// decodeAsEarlier decodes a message with the descriptor of 60e72ea.
func decodeAsEarlier(c *qt.C, name protoreflect.Name, message proto.Message) func(field string) protoreflect.Value {
	var file descriptorpb.FileDescriptorProto
	c.Assert(proto.Unmarshal(golden(c, "mirror-60e72ea.desc"), &file), qt.IsNil)
	described, err := protodesc.NewFile(&file, nil)
	c.Assert(err, qt.IsNil)
	data, err := proto.Marshal(message)
	c.Assert(err, qt.IsNil)
	decoded := dynamicpb.NewMessage(described.Messages().ByName(name))
	c.Assert(proto.Unmarshal(data, decoded), qt.IsNil)
	return func(field string) protoreflect.Value {
		return decoded.Get(decoded.Descriptor().Fields().ByName(protoreflect.Name(field)))
	}
}

// scriptedPeers answers each call with the given bytes and records the request.
type scriptedPeers struct {
	link.Peers
	answer  []byte
	request *mirrorpb.ChangesRequest
}

func (p *scriptedPeers) Conn(context.Context, machine.Member) (drpc.Conn, error) {
	return scriptedConn{peers: p}, nil
}

type scriptedConn struct {
	drpc.Conn
	peers *scriptedPeers
}

func (conn scriptedConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	conn.peers.request = in.(*mirrorpb.ChangesRequest)
	return proto.Unmarshal(conn.peers.answer, out.(proto.Message))
}

// TestMessagesOfEarlierVersion guards against fleets of two builds that lose changes: requests and replies of 60e72ea are understood, and its
// descriptor decodes those of this build.
func TestMessagesOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(t, 2)
		f.store.mu.Lock()
		f.store.era = 2
		f.store.mu.Unlock()
		time.Sleep(time.Second)
		server := f.instances[0].topic
		large := string(routesDocument(100))
		for _, play := range []struct {
			value    string
			tooLarge bool
		}{{"small", false}, {large, true}} {
			f.store.put("op/config", play.value)
			time.Sleep(time.Second)
			request := &mirrorpb.ChangesRequest{}
			c.Assert(proto.Unmarshal(golden(c, "request-60e72ea.bin"), request), qt.IsNil)
			request.After = f.store.revision - 1
			reply, err := server.Changes(t.Context(), request)
			c.Assert(err, qt.IsNil)
			field := decodeAsEarlier(c, "ChangesReply", reply)
			c.Check(field("too_large").Bool(), qt.Equals, play.tooLarge)
			if play.tooLarge {
				continue
			}
			c.Check([]uint64{field("revision").Uint(), field("era").Uint()}, qt.DeepEquals, []uint64{f.store.revision, 2})
			c.Assert(field("documents").List().Len(), qt.Equals, 1)
			document := field("documents").List().Get(0).Message()
			c.Check(string(document.Get(document.Descriptor().Fields().ByName("value")).Bytes()), qt.Equals, play.value)
		}

		earlier := &scriptedPeers{answer: golden(c, "reply-60e72ea.bin")}
		copied, _ := startMirror(t, f.store)
		topic := NewTopic(copied, earlier, NewWatchers(fleetMembers{self: f.members[1], live: &f.members}))
		time.Sleep(time.Second)
		got, err := topic.fetch(t.Context(), f.members[0], 300*time.Millisecond, time.Second)
		c.Assert(err, qt.IsNil)
		c.Check([]any{got.changed, time.Since(got.confirmedAt), copied.Revision(), value(copied, "op/config")}, qt.DeepEquals,
			[]any{2, 37 * time.Millisecond, uint64(9), "new"})
		field := decodeAsEarlier(c, "ChangesRequest", earlier.request)
		c.Check([]uint64{field("after").Uint(), field("wait_ms").Uint(), field("max_bytes").Uint(), field("after_era").Uint()}, qt.DeepEquals,
			[]uint64{3, 300, maxPollBytes, 2})
		earlier.answer = golden(c, "toolarge-60e72ea.bin")
		_, err = topic.fetch(t.Context(), f.members[0], 0, time.Second)
		c.Check(errors.Is(err, errTooLarge), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// earlierNode connects an instance that sends and understands only the messages of 60e72ea.
type earlierNode struct{ *peers.Node }

// Register implements drpc.Mux.
func (n earlierNode) Register(server any, description drpc.Description) error {
	return n.Node.Register(earlierServer{server.(*Topic)}, description)
}

type earlierServer struct{ *Topic }

func (s earlierServer) Changes(ctx context.Context, request *mirrorpb.ChangesRequest) (*mirrorpb.ChangesReply, error) {
	reply, err := s.Topic.Changes(ctx, earlierRequest(request))
	for _, document := range reply.GetDocuments() {
		document.KnownMs = nil
	}
	return reply, err
}

func earlierRequest(request *mirrorpb.ChangesRequest) *mirrorpb.ChangesRequest {
	request = proto.CloneOf(request)
	request.Packed, request.Held = false, nil
	return request
}

// Conn implements link.Peers.
func (n earlierNode) Conn(ctx context.Context, member machine.Member) (drpc.Conn, error) {
	conn, err := n.Node.Conn(ctx, member)
	return earlierConn{conn}, err
}

type earlierConn struct{ drpc.Conn }

func (conn earlierConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	return conn.Conn.Invoke(ctx, rpc, encoding, earlierRequest(in.(*mirrorpb.ChangesRequest)), out)
}

// TestDamagedPackedDocument guards against configurations that no operator wrote: a packed document that cannot be decoded, or only against another base,
// changes nothing, not even the copy's position.
func TestDamagedPackedDocument(t *testing.T) {
	base, next := routesDocument(100), routesDocument(100)
	copy(next, "changed")
	pack := func(document, base []byte) []byte {
		packed, err := delta.Encode(document, base)
		if err != nil {
			t.Fatal(err)
		}
		return packed
	}
	good := pack(next, base)
	for name, play := range map[string]struct {
		packed []byte
		base   uint64
		want   string
	}{
		"good":            {good, 3, string(next)},
		"whole":           {pack(next, nil), 0, string(next)},
		"damaged":         {append(slices.Clone(good[:len(good)-3]), 1, 2, 3), 3, string(base)},
		"truncated":       {good[:len(good)/2], 3, string(base)},
		"base not held":   {good, 2, string(base)},
		"another base":    {pack(next, routesDocument(90)), 3, string(base)},
		"no base claimed": {good, 0, string(base)},
		"too large":       {pack(make([]byte, maxDocumentBytes+1), nil), 0, string(base)},
	} {
		c := qt.New(t)
		reply, err := proto.Marshal(&mirrorpb.ChangesReply{Revision: 9, Documents: []*mirrorpb.Document{
			{Key: "op/config", Revision: 9, Packed: play.packed, Base: play.base},
		}})
		c.Assert(err, qt.IsNil)
		m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		m.apply([]Document{{Key: "op/config", Value: base, Revision: 3}}, Position{Revision: 3})
		topic := NewTopic(m, &scriptedPeers{answer: reply}, watchersAmong("a"))
		_, err = topic.fetch(t.Context(), machine.Member{ID: "peer"}, 0, time.Second)
		taken := play.want == string(next)
		c.Check(err == nil, qt.Equals, taken, qt.Commentf("%s: %v", name, err))
		c.Check(value(m, "op/config") == play.want, qt.IsTrue, qt.Commentf(name))
		c.Check(m.Revision(), qt.Equals, map[bool]uint64{false: 3, true: 9}[taken], qt.Commentf(name))
	}
}

// TestOmittedFromFullState guards against endpoints that stay after they have left (DRAIN): a full state, from which a large document was omitted, also says
// by what it lacks that documents were deleted.
func TestOmittedFromFullState(t *testing.T) {
	for _, full := range []bool{true, false} {
		c := qt.New(t)
		store := newFakeStore()
		store.revision = 8
		store.put("op/config", string(routesDocument(100)))
		reply, err := proto.Marshal(&mirrorpb.ChangesReply{
			Revision: 9, Full: full, Documents: []*mirrorpb.Document{{Key: "servers/b", Value: []byte("ready"), Revision: 7}},
			Omitted: []*mirrorpb.Version{{Key: "op/config", Revision: 9}},
		})
		c.Assert(err, qt.IsNil)
		m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		m.apply([]Document{{Key: "servers/a", Value: []byte("ready"), Revision: 3}}, Position{Revision: 3})
		_, err = NewTopic(m, &scriptedPeers{answer: reply}, watchersAmong("a")).fetch(t.Context(), machine.Member{ID: "peer"}, 0, time.Second)
		var omitted *omittedError
		c.Assert(errors.As(err, &omitted), qt.IsTrue)
		c.Check([]any{value(m, "servers/b"), m.Revision()}, qt.DeepEquals, []any{"ready", uint64(3)})
		m.readOmittedSoon(omitted.changes)
		c.Assert(m.readOmitted(t.Context(), store, m.takeOmitted()), qt.IsNil)
		c.Check(len(value(m, "op/config")) > largeBytes, qt.IsTrue)
		c.Check([]any{value(m, "servers/a"), value(m, "servers/b"), m.Revision()}, qt.DeepEquals,
			[]any{map[bool]string{true: "none", false: "ready"}[full], "ready", uint64(9)})
	}
}
