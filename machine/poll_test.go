package machine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestHTTPFetch reads an engine's load from Prometheus text.
func TestHTTPFetch(t *testing.T) {
	tests := map[string]struct {
		text            string
		running, queued int
		fails           bool
	}{
		"plain":         {text: "# HELP x\nengine_requests_running 3\nengine_requests_waiting 4\n", running: 3, queued: 4},
		"labels summed": {text: "engine_requests_running{rank=\"0\"} 3\nengine_requests_running{rank=\"1\"} 2.0\n", running: 5},
		"other metrics": {text: "up 1\n", fails: true},
		"not a number":  {text: "engine_requests_running NaN\n", fails: true},
		"huge":          {text: "engine_requests_running 1e300\n", fails: true},
		"empty":         {fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.text)) }))
			defer server.Close()
			client := server.Client()
			defer client.CloseIdleConnections()
			running, queued, err := machine.HTTPLoadFetch(client)(t.Context(), server.Listener.Addr().String())
			c.Assert(err != nil, qt.Equals, test.fails)
			c.Assert([]int{running, queued}, qt.DeepEquals, []int{test.running, test.queued})
		})
	}
}
