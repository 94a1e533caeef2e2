package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// cutOffTable is a table of an instance that reaches no endpoint.
type cutOffTable struct{ *upstream.Table }

func (cutOffTable) Reachable(string) bool { return false }
func (cutOffTable) AnyReachable() bool    { return false }

// relayMembers are an instance without links to endpoints and its peers.
type relayMembers []machine.Member

func (m relayMembers) Self() machine.Member   { return m[0] }
func (m relayMembers) Live() []machine.Member { return m }

// relayFixture is an instance without links to endpoints, with peers that are connected to it over loopback.
func relayFixture(c *qt.C, peers ...*fixture) *fixture {
	cut := newFixture()
	members := relayMembers{{ID: "entry-0"}}
	for i, peer := range peers {
		mux := drpcmux.New()
		c.Assert(link.NewForwardServer(peer.server, 1<<20, nil).Register(mux), qt.IsNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- link.ServePeers(ctx, listener, mux) }()
		c.Cleanup(func() { cancel(); <-served })
		members = append(members, machine.Member{ID: machine.InstanceID("entry-" + strconv.Itoa(i+1)), Address: listener.Addr().String()})
	}
	dialer := link.NewRelayDialer()
	c.Cleanup(dialer.Close)
	cut.server.Self, cut.server.Members, cut.server.Relay = members[0], members, link.NewRelayClient(dialer)
	cut.server.Upstreams = cutOffTable{cut.table}
	return cut
}

// cutOff makes the instance lose its links to endpoints too.
func (f *fixture) cutOff() *fixture {
	f.server.Upstreams = cutOffTable{f.table}
	return f
}

// TestCutOffInstance guards against RECOVER: the callers of an instance that reaches no endpoint are served through a peer, whole, once, under
// their own key and within their deadline.
func TestCutOffInstance(t *testing.T) {
	for _, test := range []struct {
		name, route string
		script      []answer
		status      int
		body        string
		aborted     bool
	}{
		{"plain", "read", []answer{signed(200, "room 4")}, 200, "room 4", false},
		{"non-idempotent", "book", []answer{signed(201, "booked")}, 201, "booked", false},
		{"endpoint's failure", "read", []answer{signed(500, "broken"), signed(500, "broken")}, 500, "broken", false},
		{"stream", "once", []answer{events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		{"stream that breaks off", "once", []answer{{status: 200, header: "Signature: s\nContent-Type: text/event-stream", body: "id: 1\ndata: a\n\n", truncated: true}},
			200, "id: 1\ndata: a\n\n", true},
		{"lost answer of work that may not be repeated", "book", []answer{connectionLost()}, 502, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peer := newFixture(test.script...)
			cut := relayFixture(c, peer)
			got := cut.call(test.route)
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", cut.log))
			c.Check(got.aborted, qt.Equals, test.aborted)
			if test.body != "" {
				c.Check(got.body, qt.Equals, test.body)
			}
			c.Check(cut.sender.sent, qt.HasLen, 0)
			c.Assert(peer.sender.sent, qt.HasLen, len(test.script))
			sent := peer.sender.sent[0]
			c.Check(sent.ID, qt.Equals, "r1")
			c.Check(string(sent.Body), qt.Equals, "body")
			c.Check(sent.Header.Get("Customer"), qt.Equals, "firm")
			c.Check(sent.Header.Get(fieldRuns), qt.Equals, "")
			left, _ := strconv.Atoi(sent.Header.Get("Left-Ms"))
			c.Check(left > 0 && left < 3000, qt.IsTrue, qt.Commentf("%d ms left", left))
		})
	}
}

// TestPeerDeclines guards against callers that fail since the first peer can't serve them either: it is cut off, stops, or has an older
// configuration than callers have seen here. Without another peer they are refused at once, truthfully, and asked to come back.
func TestPeerDeclines(t *testing.T) {
	decline := map[string]func(cut, peer *fixture){
		"cut off": func(_, peer *fixture) { peer.cutOff() },
		"stops":   func(_, peer *fixture) { peer.server.Stop(time.Now().Add(time.Minute)) },
		"older":   func(cut, _ *fixture) { cut.current.Set(catalog.New(draft(2))) },
	}
	for name, change := range decline {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			useless, useful := newFixture(), newFixture(signed(201, "booked"), signed(201, "booked"))
			cut := relayFixture(c, useless, useful)
			change(cut, useless)
			useful.current.Set(catalog.New(draft(2)))
			for range 2 {
				c.Check(cut.call("book").status, qt.Equals, 201)
			}
			c.Check(useless.sender.sent, qt.HasLen, 0)

			alone := relayFixture(c, useless)
			change(alone, useless)
			got := alone.call("book")
			c.Check(got.status, qt.Equals, 503)
			c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(got.header.Get(fieldDeclined), qt.Equals, "")
		})
	}
}

// TestOneHop guards against requests that circle between instances of which none reaches an endpoint.
func TestOneHop(t *testing.T) {
	c := qt.New(t)
	first, second := newFixture().cutOff(), newFixture().cutOff()
	first.server.Relay, second.server.Relay = failingRelay{c}, failingRelay{c}
	cut := relayFixture(c, first, second)
	c.Check(cut.call("read").status, qt.Equals, 503)
}

type failingRelay struct{ c *qt.C }

func (r failingRelay) Forward(context.Context, machine.Member, *link.ForwardedRequest) (*link.Answer, error) {
	r.c.Error("a request of a peer was passed on")
	return nil, &link.Failure{Verdict: verdict.NotRun}
}

// scriptedRelay has peers that answer with streams, of which all but the last break off.
type scriptedRelay struct {
	streams []string
	sent    []*link.ForwardedRequest
}

func (r *scriptedRelay) Forward(_ context.Context, _ machine.Member, forwarded *link.ForwardedRequest) (*link.Answer, error) {
	r.sent = append(r.sent, forwarded)
	body := io.Reader(strings.NewReader(r.streams[0]))
	if r.streams = r.streams[1:]; len(r.streams) > 0 {
		body = io.MultiReader(body, brokenReader{})
	}
	return &link.Answer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Body: io.NopCloser(body), Length: -1}, nil
}

// TestStreamResumedAtAnotherPeer guards against streams that end with the instance that serves them for a cut-off one: they go on at another
// peer where the route allows it, and break off visibly elsewhere.
func TestStreamResumedAtAnotherPeer(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		c := qt.New(t)
		relay := &scriptedRelay{streams: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}}
		cut := newFixture().cutOff()
		cut.server.Self, cut.server.Members = machine.Member{ID: "entry-0"}, relayMembers{{ID: "entry-0"}, {ID: "entry-1"}, {ID: "entry-2"}}
		cut.server.Relay = relay
		got := cut.call(map[bool]string{true: "stream", false: "once"}[resumable])
		c.Check(got.aborted, qt.Equals, !resumable)
		if resumable {
			c.Check(got.body, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
			c.Check(relay.sent[1].Header.Get("After"), qt.Equals, "1")
			c.Check(relay.sent[1].Header.Get(fieldRuns), qt.Equals, "1")
		}
	}
}

// TestAttemptsOverPeers guards against BUDGET: a stream that breaks off at every endpoint runs at no more of them than its route allows, over
// all peers.
func TestAttemptsOverPeers(t *testing.T) {
	c := qt.New(t)
	shared := &scriptedSender{}
	var peers []*fixture
	for id := range 9 {
		broken := events("id: " + strconv.Itoa(id+1) + "\ndata: a\n\n")
		broken.truncated = true
		shared.script = append(shared.script, broken)
	}
	for range 3 {
		peer := newFixture()
		peer.server.Sender = shared
		peers = append(peers, peer)
	}
	c.Check(relayFixture(c, peers...).call("stream").aborted, qt.IsTrue)
	c.Check(shared.sent, qt.HasLen, 3)
}

// TestRelayedVersions guards against CONFIG: callers of a cut-off instance see a configuration and then an older one, since its peers differ.
func TestRelayedVersions(t *testing.T) {
	c := qt.New(t)
	newer, older := newFixture(), newFixture()
	for range 60 {
		newer.sender.script = append(newer.sender.script, signed(200, "new"))
		older.sender.script = append(older.sender.script, signed(200, "old"))
	}
	newer.current.Set(catalog.New(draft(2)))
	cut := relayFixture(c, newer, older)
	seen := false
	for range 40 {
		got := cut.call("read")
		seen = seen || got.body == "new"
		c.Assert(seen && got.body == "old", qt.IsFalse)
		c.Check(got.header.Get(fieldConfiguration), qt.Equals, "")
	}
	c.Check(seen, qt.IsTrue)
}

// TestEndpointWithFieldsOfInstances guards against TWICE: a header field of an endpoint passes for that of the peer, which seems to have declined
// work that has run, or to have a configuration that no other peer has.
func TestEndpointWithFieldsOfInstances(t *testing.T) {
	c := qt.New(t)
	spoofed := signed(201, "booked")
	spoofed.header += "\nPlumbarrow-Declined: x\nPlumbarrow-Configuration: 99"
	peer, other := newFixture(spoofed, spoofed), newFixture(spoofed, spoofed)
	cut := relayFixture(c, peer, other)
	for range 2 {
		c.Check(cut.call("book").status, qt.Equals, 201)
	}
	c.Check(len(peer.sender.sent)+len(other.sender.sent), qt.Equals, 2)
}

// TestIsolated guards against callers that are sent to an instance which reaches no endpoint and is separated from its peers, while the
// balancer has others. One peer in the same position does not change that. An instance whose peers answer stays in rotation, also if they
// decline: a service that nobody reaches must not empty the rotation.
func TestIsolated(t *testing.T) {
	c := qt.New(t)
	unreachable := newFixture().cutOff()
	members := append(relayMembers{{ID: "entry-0"}}, machine.Member{ID: "lost-1", Address: "127.0.0.1:1"}, machine.Member{ID: "lost-2", Address: "127.0.0.1:1"})
	dialer := link.NewRelayDialer()
	defer dialer.Close()
	unreachable.server.Self, unreachable.server.Members, unreachable.server.Relay = members[0], members, link.NewRelayClient(dialer)
	c.Check(unreachable.server.Isolated(), qt.IsFalse)
	c.Check(unreachable.call("read").status, qt.Equals, 503)
	c.Check(unreachable.server.Isolated(), qt.IsTrue)
	c.Check(unreachable.call("read").header.Get("Connection"), qt.Equals, "close")
	unreachable.server.Upstreams = unreachable.table
	c.Check(unreachable.server.Isolated(), qt.IsFalse)

	island := relayFixture(c, newFixture().cutOff())
	island.server.Members = append(island.server.Members.(relayMembers), members[1:]...)
	c.Check(island.call("read").status, qt.Equals, 503)
	c.Check(island.server.Isolated(), qt.IsTrue)

	declined := relayFixture(c, newFixture().cutOff(), newFixture().cutOff())
	for range 3 {
		c.Check(declined.call("read").status, qt.Equals, 503)
	}
	c.Check(declined.server.Isolated(), qt.IsFalse)
}

// TestCallerOfRelayLeaves guards against endpoints that work for a caller who has left the instance that passed the request on.
func TestCallerOfRelayLeaves(t *testing.T) {
	c := qt.New(t)
	ctx, leave := context.WithCancel(t.Context())
	slow := signed(200, "late")
	slow.delay, slow.onArrival = time.Hour, leave
	peer := newFixture(slow)
	cut := relayFixture(c, peer)
	got := cut.serve(cut.request("read").WithContext(ctx))
	c.Check(got.aborted, qt.IsTrue)
	c.Check(peer.sender.sent, qt.HasLen, 1)
}
