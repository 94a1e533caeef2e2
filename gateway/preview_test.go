package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/upstream"
)

// preview asks the handler, as the command line does.
func (f *fixture) preview(c *qt.C, query *PreviewQuery) *Preview {
	c.Helper()
	body, err := json.Marshal(query)
	c.Assert(err, qt.IsNil)
	recorder := httptest.NewRecorder()
	f.server.PreviewHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/route", bytes.NewReader(body)))
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	preview := &Preview{}
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), preview), qt.IsNil)
	return preview
}

// TestPreview compares what a request would get with what the same request then gets. The preview itself sends nothing.
func TestPreview(t *testing.T) {
	booking := &PreviewQuery{Host: "host", Path: "/book/x", Customer: "firm", ID: "r1", TimeoutMS: 3000}
	for name, test := range map[string]struct {
		query   *PreviewQuery
		prepare func(f *fixture)
		wait    bool
		status  int
	}{
		"sent":             {booking, func(*fixture) {}, false, 200},
		"unknown route":    {&PreviewQuery{Host: "host", Path: "/none"}, func(*fixture) {}, false, 404},
		"unknown customer": {&PreviewQuery{Host: "host", Path: "/book/x", Customer: "other"}, func(*fixture) {}, false, 401},
		"full":             {booking, func(f *fixture) { f.fillEndpoints() }, true, 503},
		"turned away": {booking, func(f *fixture) {
			for range 3 {
				grant, _ := f.table.Place(&upstream.Need{Service: "app"})
				grant.RecordTurnAway(time.Minute, "r0")
				grant.Done(upstream.Rejected)
			}
		}, false, 503},
		"hopeless deadline": {booking, func(f *fixture) {
			for range 30 {
				f.server.answerTimes.Record("book", 5*time.Second)
			}
		}, false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(signed(200, "ok"))
				test.prepare(f)
				preview := f.preview(c, test.query)
				c.Check(f.sender.sent, qt.HasLen, 0)
				c.Check(preview.WaitMS > 0, qt.Equals, test.wait)
				r := f.request("book")
				r.URL.Path, r.RequestURI = test.query.Path, test.query.Path
				if test.query.Customer == "other" {
					r.Header.Set("Key", "stranger")
				}
				seen := f.serve(r)
				c.Check(seen.status, qt.Equals, test.status)
				switch {
				case seen.status == http.StatusOK:
					c.Check(preview.Refusal, qt.IsNil)
					c.Check(preview.Endpoint, qt.Not(qt.Equals), "")
					c.Check(preview.Service, qt.Equals, "app")
					c.Check(preview.Endpoints, qt.HasLen, 3)
				case test.wait:
					c.Check(preview.Blocked, qt.Equals, "full")
				default:
					c.Assert(preview.Refusal, qt.IsNotNil)
					c.Check(preview.Refusal.Status, qt.Equals, seen.status)
					c.Check(preview.Endpoint, qt.Equals, "")
				}
			})
		})
	}
}
