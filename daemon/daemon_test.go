package daemon_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/daemon"
	"plumbarrow.example/plumbarrow/platform"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/standin/kv"
)

const document = `
[[zones]]
name = "nbo-a"
region = "nairobi"
[[customers]]
name = "acme"
key_hashes = ["KEYHASH"]
models = ["small"]
[[models]]
name = "small"
[[models.versions]]
name = "v1"
prompt_price_micros = 100
output_price_micros = 200
[[pools]]
name = "small-engines"
model = "small"
routes = ["assistant"]
[[routes]]
name = "assistant"
customers = ["acme"]
model = "assistant"
pools = ["small-engines"]
`

// TestWholePath sends a chat request through a daemon that read its configuration from the store
// and checks that the stream arrives whole.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	store := kv.New()
	list := instances.New(0)
	engineServer := httptest.NewServer(engine.New(engine.Settings{Model: "small", Version: "v1", Tokens: 3}).Handler())
	defer engineServer.Close()
	storeServer := httptest.NewServer(store.Handler())
	defer storeServer.Close()
	listServer := httptest.NewServer(list.Handler())
	defer listServer.Close()

	text := strings.Replace(document, "KEYHASH", contract.HashKey("sk-acme"), 1)
	revision, err := replica.Propose(t.Context(), store, "change-1", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, contract.Revision(1))
	list.Set(platform.Instance{ID: "engine-1", Incarnation: "1", Kind: platform.KindEngine, Zone: "nbo-a", Pool: "small-engines",
		Address: engineServer.Listener.Addr().String(), Model: "small", Version: "v1", State: platform.StateLive})

	settings := daemon.DefaultSettings()
	settings.Instance = "entry-1"
	settings.Zone = "nbo-a"
	settings.CallersAddress = freeAddress(c)
	settings.OperatorsAddress = freeAddress(c)
	settings.PeersAddress = freeAddress(c)
	settings.StoreAddress = storeServer.Listener.Addr().String()
	settings.ListAddress = listServer.Listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- daemon.New(settings, slog.New(slog.DiscardHandler)).Run(ctx) }()

	body := eventually(c, "http://"+settings.CallersAddress)
	c.Assert(strings.Count(body, "word "), qt.Equals, 3)
	c.Assert(strings.HasSuffix(body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", body))
	cancel()
	c.Assert(<-done, qt.IsNil)
}

// eventually repeats a chat request until it is served; the test's own deadline bounds it.
func eventually(c *qt.C, base string) string {
	for {
		request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(`{"model":"assistant","stream":true}`))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer sk-acme")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			c.Assert(err, qt.IsNil)
			if response.StatusCode == http.StatusOK {
				return string(body)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}
