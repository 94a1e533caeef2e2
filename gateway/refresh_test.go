package gateway

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
)

// takenAway are configurations that follow the tests' one, each without something that a request was admitted with.
var takenAway = map[string]func(d *catalog.Draft){
	"route":    func(d *catalog.Draft) { d.Routes = nil },
	"key":      func(d *catalog.Draft) { d.Customers = map[string]*catalog.Customer{} },
	"attempts": func(d *catalog.Draft) { eachRoute(d, func(r *catalog.Route) { r.MaxAttempts = 1 }) },
	"repeatability": func(d *catalog.Draft) {
		eachRoute(d, func(r *catalog.Route) {
			if r.Resumable = false; r.Kind == catalog.Idempotent {
				r.Kind = catalog.NonIdempotent
			}
		})
	},
	"service": func(d *catalog.Draft) {
		eachRoute(d, func(r *catalog.Route) { r.Shares = []catalog.Share{{Service: "other", Weight: 1}} })
	},
	"models": func(d *catalog.Draft) { eachRoute(d, func(r *catalog.Route) { r.Models = nil }) },
}

func eachRoute(d *catalog.Draft, change func(r *catalog.Route)) {
	for _, r := range d.Routes {
		change(r)
	}
}

// TestTakenAwayBetweenAttempts guards against LOST: a configuration took the route away between two attempts, and the caller's connection was
// closed without an answer. Whatever is taken away, the caller gets an answer whose status is true, and nothing that may have run goes where
// the newest configuration does not allow it. A stream that has begun breaks off visibly or goes on.
func TestTakenAwayBetweenAttempts(t *testing.T) {
	first := "id: 1\ndata: a\n\n"
	for name, expected := range map[string][3]string{
		// not sent, may have run, streaming
		"route":         {"404", "502", "aborted"},
		"key":           {"401", "502", "aborted"},
		"attempts":      {"200", "502", "aborted"},
		"repeatability": {"200", "502", "aborted"},
		"service":       {"503", "502", "aborted"}, // the new one has no endpoint
		"models":        {"200", "200", "whole"},
	} {
		for phase, failed := range []answer{unsent(), connectionLost(), {status: 200, header: "Signature: s\nContent-Type: text/event-stream", body: first, truncated: true}} {
			t.Run(name+"/"+[]string{"not sent", "may have run", "streaming"}[phase], func(t *testing.T) {
				c := qt.New(t)
				next := signed(200, "done")
				route := "read"
				if phase == 2 {
					route, next = "stream", events("id: 2\ndata: b\n\n")
				}
				f := newFixture(failed, next)
				f.sender.script[0].onArrival = func() {
					d := draft(2)
					takenAway[name](d)
					f.current.Set(catalog.New(d))
				}
				got := f.call(route)
				status := map[int]string{200: "200", 401: "401", 404: "404", 502: "502", 503: "503", 504: "504"}[got.status]
				switch {
				case got.aborted:
					status = "aborted"
				case phase == 2 && got.body == first+"id: 2\ndata: b\n\n":
					status = "whole"
				}
				c.Check(status, qt.Equals, expected[phase], qt.Commentf("%s", f.log))
				c.Check(strings.Contains(f.log.String(), `"msg":"panic"`), qt.IsFalse, qt.Commentf("%s", f.log))
				c.Check(strings.Contains(f.log.String(), `"msg":"request"`), qt.IsTrue)
			})
		}
	}
}
