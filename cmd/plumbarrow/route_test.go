package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/daemon"
	"plumbarrow.example/plumbarrow/gateway"
	"plumbarrow.example/plumbarrow/upstream"
)

// TestRoute checks the query that an instance gets, and the printed decision.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	var asked gateway.PreviewQuery
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/route")
		c.Check(json.NewDecoder(r.Body).Decode(&asked), qt.IsNil)
		_ = json.NewEncoder(w).Encode(gateway.Preview{
			Instance: "front-1", Configuration: 7, Route: "assist", Kind: "streaming", Service: "llm", Model: "small", Priority: 1, Endpoint: "i-2",
			Endpoints: []gateway.PreviewEndpoint{
				{Endpoint: "i-2", Zone: "a", Version: "v1", Requests: 3, Slots: 8, Pace: 0.6, CachedTokens: 400, CostMS: 31.5, ExpectedMS: 31.5},
				{Endpoint: "i-1", Zone: "b", Version: "v1", Excluded: "full", Requests: 10, Slots: 8, Pace: 1, CostMS: 92, ExpectedMS: 72, OtherZoneMS: 20},
			},
		})
	}))
	defer server.Close()
	command := &routeCommand{
		Host: "h", Path: "/assist/x", Metrics: server.Listener.Addr().String(), Customer: "firm", AnyModel: true, Parts: []string{"ff:400", "1a:100"},
	}
	query, err := command.query()
	c.Assert(err, qt.IsNil)
	preview, err := requestPreview(command.Metrics, query)
	c.Assert(err, qt.IsNil)
	c.Check(asked, qt.DeepEquals, gateway.PreviewQuery{
		Host: "h", Path: "/assist/x", Customer: "firm", OpenModel: true, PromptTokens: 500,
		PromptParts: []upstream.PromptPart{{ID: 0xff, Tokens: 400}, {ID: 0x1a, Tokens: 100}},
	})
	var out strings.Builder
	c.Assert(printPreview(&out, preview), qt.IsNil)
	c.Check(out.String(), qt.Equals, `goes to i-2
instance front-1, configuration 7, route "assist" (streaming), service "llm", model "small", priority 1, 0 waiting
ENDPOINT  ZONE  VERSION  STATE      REQUESTS  PACE  KEPT  COST MS  = EXPECTED  + ZONE  + ERRORS  + OTHERS
i-2       a     v1       candidate  3/8       0.60  400   31.5     31.5        0.0     0.0       0.0
i-1       b     v1       full       10/8      1.00  0     92.0     72.0        20.0    0.0       0.0
`)
	server.Close()
	_, err = requestPreview(command.Metrics, query)
	c.Check(exitCode(err), qt.Equals, exitUnreachable)
	command.Parts = []string{"no hexadecimal:1"}
	c.Check(exitCode(command.run()), qt.Equals, exitUsage)
}

// TestGatewayStatus checks the table of gateway instances, of which one does not answer.
func TestGatewayStatus(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/status")
		_ = json.NewEncoder(w).Encode(daemon.GatewayStatus{
			Instance: "front-1", Zone: "a", Ready: true, Configuration: 9, Routes: 3000, Protocol: 1,
			Copy: daemon.CopyStatus{Revision: 41, AgeMS: 120, LagMS: 35, FromStoreBytes: 800, FromPeersBytes: 60},
		})
	}))
	defer server.Close()
	var out strings.Builder
	command := &statusCommand{Metrics: []string{"127.0.0.1:1", server.Listener.Addr().String()}}
	c.Assert(command.runGateways(&out), qt.IsNil)
	c.Check(out.String(), qt.Equals, `INSTANCE  ZONE  READY  CONFIGURATION  ROUTES  REVISION  PROTOCOL  AGE MS  LAG MS  WATCHING  FROM STORE  FROM PEERS  UNDER WAY
front-1   a     true   9              3000    41        1         120     35      false     800         60          0
`)
	out.Reset()
	check := &upgradeCheck{Metrics: command.Metrics[1:]}
	c.Check(check.run(&out), qt.IsNil)
	c.Check(out.String(), qt.Equals, "1 instances: the next one may be replaced by this build, protocol 1\n")
	check.Metrics = command.Metrics
	c.Check(check.run(&out), qt.ErrorMatches, "the next instance should not be replaced now")
	command.Metrics = command.Metrics[:1]
	c.Check(exitCode(command.runGateways(&out)), qt.Equals, exitUnreachable)
}
