package entry_test

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/link"
)

// TestEndpointsOutOfReach guards against callers that are refused by an instance which has lost its links to all endpoints of its zone: the
// zone is in service, and another one would serve them.
func TestEndpointsOutOfReach(t *testing.T) {
	c := qt.New(t)
	a, b, _ := twoZones(c, decide.NewPicker(decide.DefaultSettings()))
	a.configure(func(d string) string { return d })
	b.configure(func(d string) string { return d })
	a.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	a.instances[0].Address = "127.0.0.1:1" // refuses connections
	a.table.Apply(a.zone, a.instances, a.Current())
	b.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for i := range 3 {
		r := a.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k"+string(rune('0'+i)))
		c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
}
