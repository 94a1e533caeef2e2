package daemon_test

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/fleet"
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

// TestEndToEnd sends a chat request through a daemon that read its configuration from the store and checks that
// the complete stream arrives.
func TestEndToEnd(t *testing.T) {
	c := qt.New(t)
	f, err := fleet.New(fleet.Options{Log: slog.New(slog.DiscardHandler)})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(f.Close(), qt.IsNil) }()
	text := strings.Replace(document, "KEYHASH", contract.HashKey("sk-acme"), 1)
	revision, err := replica.ReplaceDocument(t.Context(), f.Store, "change-1", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, contract.Revision(1))
	_, err = f.StartEngine("engine-1", "nbo-a", "small-engines", engine.Settings{Model: "small", Version: "v1", Tokens: 3, Quality: 0.5})
	c.Assert(err, qt.IsNil)
	d, err := f.StartDaemon("entry-1", "nbo-a")
	c.Assert(err, qt.IsNil)

	body := waitServed(c, "http://"+d.Settings.CallersAddress)
	for _, content := range []string{`"[quality=0.500] "`, `"w1 "`, `"w2 "`} {
		c.Check(strings.Count(body, content), qt.Equals, 1, qt.Commentf("%s in %s", content, body))
	}
	c.Check(strings.Contains(body, `"w3 "`), qt.IsFalse)
	c.Check(strings.HasSuffix(body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", body))
}

// waitServed repeats a chat request until it gets status 200 and returns the response's body; the test's own
// deadline bounds it.
func waitServed(c *qt.C, base string) string {
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
