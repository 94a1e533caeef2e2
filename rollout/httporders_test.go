package rollout_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/standin/engine"
)

// TestFencedOrder sends an order of an earlier holder to an engine that checks fences, which
// refuses it.
func TestFencedOrder(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(engine.New(engine.Settings{Model: "small", Version: "v1", ChecksFence: true}).Handler())
	defer server.Close()
	orderer := rollout.NewHTTPOrderer(func() []infra.Instance {
		return []infra.Instance{{ID: "e1", Kind: infra.KindEngine, Pool: "engines", Address: server.Listener.Addr().String(), Model: "small", Version: "v1"}}
	})
	engines := orderer.Engines("engines")
	c.Assert(engines, qt.HasLen, 1)
	c.Assert(orderer.Load(t.Context(), engines[0], rollout.Order{Version: newVersion, Fence: 7}), qt.IsNil)
	c.Assert(orderer.Load(t.Context(), engines[0], rollout.Order{Version: oldVersion, Fence: 6}), qt.ErrorMatches, "engine e1 answered 409")
	loaded, err := orderer.Loaded(t.Context(), engines[0])
	c.Assert(err, qt.IsNil)
	c.Assert(loaded, qt.Equals, newVersion)
}
