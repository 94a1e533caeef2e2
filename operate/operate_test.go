package operate_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/operate"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/operate/client"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	token    = "operators-token"
	document = "[[zones]]\nname = \"a\"\nregion = \"r\"\n[[zones]]\nname = \"b\"\nregion = \"r\"\n" +
		"[[models]]\nname = \"org/m\"\n[[models.versions]]\nname = \"v1\"\n"
)

type fixture struct {
	c       *qt.C
	store   *kv.Store
	replica *replica.Replica
	orders  *zone.Orders
	server  *operate.Server
	handler http.Handler
	stop    context.CancelFunc
}

type member string

func (m member) Self() machine.Member { return machine.Member{ID: machine.InstanceID(m), Zone: "a"} }
func (m member) Live() []machine.Member {
	return []machine.Member{m.Self()}
}

// newFixture returns a server whose store has accepted the document and whose replica has it in
// force.
func newFixture(t *testing.T, token string) *fixture {
	f := &fixture{c: qt.New(t), store: kv.New()}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	counters := telemetry.New()
	f.replica = replica.New(f.store, log)
	f.orders = zone.NewOrders(f.replica, func() {}, counters, log)
	parts := operate.Parts{
		Members: member("e1"), Configuration: f.replica, Orders: f.orders, Counters: counters, Log: log, Token: token,
		Proposer: replica.NewProposer(f.store, f.replica, counters, log), Ready: f.replica.Ready,
		Explain: func(id string) (any, bool) { return map[string]string{"request_id": id}, id == "known" },
	}
	f.server = operate.New(parts)
	f.handler = f.server.Handler()
	_, err := replica.ReplaceDocument(t.Context(), f.store, "first", []byte(document))
	f.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	go func() { _ = f.replica.Run(ctx) }()
	go func() { _ = f.server.Run(ctx) }()
	for f.replica.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return f
}

// post calls the handler directly, without a network connection.
func (f *fixture) post(path string, message, into any) int {
	body, err := json.Marshal(message)
	f.c.Assert(err, qt.IsNil)
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
	return f.do(request, into)
}

func (f *fixture) do(request *http.Request, into any) int {
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	f.c.Assert(json.Unmarshal(recorder.Body.Bytes(), into), qt.IsNil, qt.Commentf("%s", recorder.Body))
	return recorder.Code
}

func order(id string) api.Order { return api.Order{ChangeID: id, Author: "ann"} }

// TestZoneOutWithoutStore takes a zone out while the store is down. The order applies at once and is
// reported as not yet accepted; when the store is back, the server proposes it again. A repeated
// proposal of the order must not take the zone out again after it has returned to service.
func TestZoneOutWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		f.store.SetFaults(kv.Faults{Down: true})
		var ordered api.Ordered
		f.c.Assert(f.post("/v1/zones/b/out", order("1"), &ordered), qt.Equals, http.StatusAccepted)
		f.c.Assert(ordered.OrderState, qt.Equals, api.Restricted)
		f.c.Assert(f.orders.Restrictions().ZonesOut["b"], qt.IsTrue)
		activeOrders := f.orders.Active()
		time.Sleep(time.Hour)
		var status api.Status
		f.c.Assert(f.do(httptest.NewRequest(http.MethodGet, "/v1/status", nil), &status), qt.Equals, http.StatusOK)
		f.c.Assert(status.Orders, qt.HasLen, 1)
		f.c.Assert(status.Confirmed, qt.IsFalse)
		f.c.Assert(f.post("/v1/zones/b/in", order("2"), &ordered), qt.Equals, http.StatusServiceUnavailable)
		f.c.Assert(f.orders.Active(), qt.HasLen, 1)

		f.store.SetFaults(kv.Faults{})
		time.Sleep(40 * time.Second)
		f.c.Assert(f.orders.Active(), qt.HasLen, 0)
		f.c.Assert(f.replica.Current().ZoneInService("b"), qt.IsFalse)
		f.c.Assert(f.post("/v1/zones/b/in", order("3"), &ordered), qt.Equals, http.StatusOK)
		f.c.Assert(ordered.OrderState, qt.Equals, api.Accepted)
		time.Sleep(10 * time.Second)
		f.server.Settle(t.Context(), activeOrders[0])
		time.Sleep(10 * time.Second)
		f.c.Assert(f.replica.Current().ZoneInService("b"), qt.IsTrue)
		f.stop()
	})
}

// TestLateSettle lifts an order before it was accepted. A proposal of the order that arrives later
// must not take the zone out again.
func TestLateSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		issued, err := f.orders.TakeZoneOut("b")
		f.c.Assert(err, qt.IsNil)
		var ordered api.Ordered
		f.c.Assert(f.post("/v1/zones/b/in", order("1"), &ordered), qt.Equals, http.StatusOK)
		f.server.Settle(t.Context(), issued)
		time.Sleep(10 * time.Second)
		f.c.Assert(f.replica.Current().ZoneInService("b"), qt.IsTrue)
		f.stop()
	})
}

// TestOrderAdopted checks that the elected instance has an order accepted that another instance
// received and did not get accepted.
func TestOrderAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		_, err := f.orders.TakeZoneOut("b") // bypasses the server, like an order received from a peer
		f.c.Assert(err, qt.IsNil)
		time.Sleep(30 * time.Second)
		f.c.Assert(f.orders.Active(), qt.HasLen, 0)
		f.c.Assert(f.replica.Current().ZoneInService("b"), qt.IsFalse)
		f.stop()
	})
}

func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, token)
		var ordered api.Ordered
		f.c.Assert(f.post("/v1/versions/org%2Fm@v1/withdraw", order("1"), &ordered), qt.Equals, http.StatusOK)
		f.c.Assert(ordered.OrderState, qt.Equals, api.Accepted)
		f.c.Assert(f.post("/v1/versions/org%2Fm@v9/withdraw", order("2"), &ordered), qt.Equals, http.StatusBadRequest)
		f.c.Assert(ordered.OrderState, qt.Equals, api.Refused)
		time.Sleep(10 * time.Second)
		id := contract.VersionID{Model: "org/m", Name: "v1"}
		f.c.Assert(f.replica.Current().Versions[id].State, qt.Equals, contract.VersionWithdrawn)
		f.stop()
	})
}

// TestClient calls a server over TCP: the client's first address refuses connections, the response to
// an accepted change is lost, and other changes are refused with conflicts and findings.
func TestClient(t *testing.T) {
	f := newFixture(t, token)
	defer f.stop()
	var loseResponse atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if loseResponse.CompareAndSwap(true, false) {
			f.handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		f.handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	closedAddress := listener.Addr().String()
	listener.Close()
	c := client.New([]string{closedAddress, server.Listener.Addr().String()}, token)

	loseResponse.Store(true)
	next := strings.Replace(document, `"r"`, `"s"`, 1)
	apply := api.Apply{ChangeID: "change", Base: 1, Author: "ann", Document: next, WaitMS: 10_000}
	applied, err := c.Apply(t.Context(), apply)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(applied.Outcome, qt.Equals, replica.OutcomeAccepted)
	f.c.Assert(applied.Revision, qt.Equals, contract.Revision(2))
	f.c.Assert(applied.Unconfirmed, qt.HasLen, 0)
	records, err := c.History(t.Context(), 10)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(records, qt.HasLen, 2) // accepted once
	config, err := c.Config(t.Context())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(config.Document, qt.Equals, next)
	diff, err := c.Diff(t.Context(), 1, 0)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(diff.Changes, qt.HasLen, 1)

	applied, err = c.Apply(t.Context(), api.Apply{ChangeID: "x", Base: 1, Author: "bob", Document: strings.Replace(document, `"r"`, `"t"`, 1)})
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(applied.Conflicts, qt.DeepEquals, []contract.EntryRef{{Table: contract.TableZones, Name: "a"}})
	applied, err = c.Apply(t.Context(), api.Apply{ChangeID: "y", Base: 2, Author: "bob", Document: "nonsense"})
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(applied.Findings, qt.HasLen, 1)
	_, err = c.Explain(t.Context(), "unknown")
	f.c.Assert(err, qt.ErrorIs, client.ErrNotFound)
	_, err = c.Explain(t.Context(), "known")
	f.c.Assert(err, qt.IsNil)
	_, err = client.New([]string{closedAddress}, token).Apply(t.Context(), apply)
	f.c.Assert(err, qt.ErrorIs, client.ErrUnreachable)
}

// TestAuthorization checks which paths each Authorization header may access.
func TestAuthorization(t *testing.T) {
	for _, test := range []struct {
		name, configured, sent string
		config, status         int
	}{
		{"right", token, "Bearer " + token, 200, 200},
		{"wrong", token, "Bearer x", 401, 200},
		{"none", token, "", 401, 200},
		{"no scheme", token, token, 401, 200},
		{"none configured", "", "Bearer ", 403, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.configured)
			defer f.stop()
			for path, want := range map[string]int{"/v1/config": test.config, "/v1/status": test.status, "/healthz": 200, "/metrics": 200} {
				request := httptest.NewRequest(http.MethodGet, path, nil)
				request.Header.Set("Authorization", test.sent)
				recorder := httptest.NewRecorder()
				f.handler.ServeHTTP(recorder, request)
				qt.Assert(t, recorder.Code, qt.Equals, want, qt.Commentf("%s", path))
			}
		})
	}
}
