package gateway

import (
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/upstream"
)

// losesLinks is a table of an instance that reaches its endpoints until lost is set.
type losesLinks struct {
	*upstream.Table
	lost *atomic.Bool
}

func (t losesLinks) Reachable(service string) bool {
	return !t.lost.Load() && t.Table.Reachable(service)
}

// TestTakenAwayAtPeer guards against TWICE and false refusals as TestTakenAwayBetweenAttempts does, for a request that may have run at an
// endpoint of this instance, which then loses its links; the peer that it is passed to has a newer configuration, under which it admits the
// request. Nothing that may have run is sent where that configuration does not allow it, and the caller's answer does not say that it has
// not run.
func TestTakenAwayAtPeer(t *testing.T) {
	for _, name := range []string{"route", "key", "attempts", "repeatability", "service"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := draft(2)
			takenAway[name](d)
			peer := newFixture(signed(200, "done"))
			peer.current.Set(catalog.New(d))
			cut := relayFixture(c, peer)
			lost := &atomic.Bool{}
			cut.server.Upstreams = losesLinks{cut.table, lost}
			cut.sender.script = []answer{connectionLost()}
			cut.sender.script[0].onArrival = func() { lost.Store(true) }
			got := cut.call("read")
			c.Check(cut.sender.sent, qt.HasLen, 1)
			c.Check(len(peer.sender.sent), qt.Equals, 0, qt.Commentf("the peer sent the request again"))
			c.Check(strconv.Itoa(got.status), qt.Equals, "502", qt.Commentf("body %q", got.body))
		})
	}
}

// TestStreamGoesOnAtPeerOfOtherService guards against a stream of two services, the case "service" of TestTakenAwayBetweenAttempts for a
// stream that goes on at a peer, whose newer configuration leads the route to another service: that service's engines must not continue the
// stream.
func TestStreamGoesOnAtPeerOfOtherService(t *testing.T) {
	c := qt.New(t)
	d := draft(2)
	takenAway["service"](d)
	peer := newFixture(events("id: 2\ndata: other\n\n"))
	peer.table.Apply(upstream.Report{ID: "o1", Service: "other", Address: "o1", Zone: "a", Slots: 4})
	peer.current.Set(catalog.New(d))
	cut := relayFixture(c, peer)
	lost := &atomic.Bool{}
	cut.server.Upstreams = losesLinks{cut.table, lost}
	cut.sender.script = []answer{{status: 200, header: "Signature: s\nContent-Type: text/event-stream", body: "id: 1\ndata: a\n\n", truncated: true}}
	cut.sender.script[0].onArrival = func() { lost.Store(true) }
	got := cut.call("stream")
	c.Check(got.aborted, qt.IsTrue, qt.Commentf("body %q", got.body))
	c.Check(peer.sender.sent, qt.HasLen, 0, qt.Commentf("the peer sent it to %v", peer.endpoints()))
}
