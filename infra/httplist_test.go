package infra_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/standin/instances"
)

// countingWriter counts the bytes of an answer's body.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	*w.bytes += len(p)
	return w.ResponseWriter.Write(p)
}

// TestListTraffic reads a list of 3,400 instances every second for ten minutes of list time, with one change a
// minute, which is above the rate of 950 restarts a day. The response bodies may take at most 2,300 bytes a
// second, a tenth of a daemon's 23 KB a second.
//
// It runs in virtual time, which stands still while requests are in progress on real connections: the reader's call
// timeout limits the server's delay, not the speed of the machine that runs the test.
func TestListTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkListTraffic(t) })
}

func checkListTraffic(t *testing.T) {
	c := qt.New(t)
	list := instances.New(0)
	for i := range 3400 {
		list.Set(instance(i, "1"))
	}
	bytes := 0
	handler := list.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &bytes}, r)
	}))
	defer server.Close()
	reader := infra.NewHTTPList(server.Listener.Addr().String(), nil)
	const seconds = 600
	for second := range seconds {
		if second%60 == 0 {
			list.Set(instance(second, fmt.Sprint("restart-", second)))
		}
		rows, err := reader.Instances(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(rows, qt.HasLen, 3400)
		c.Assert(rows[second-second%60].Incarnation, qt.Equals, fmt.Sprint("restart-", second-second%60))
	}
	c.Logf("%d bytes a second", bytes/seconds)
	c.Assert(bytes/seconds <= 2300, qt.IsTrue, qt.Commentf("%d bytes a second", bytes/seconds))
}

func instance(i int, incarnation string) infra.Instance {
	return infra.Instance{ID: fmt.Sprintf("engine-%04d", i), Incarnation: incarnation, Kind: infra.KindEngine, Zone: fmt.Sprint("zone-", i%17),
		Pool: "engines", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Model: "small", Version: "2026-10", State: infra.StateLive}
}
