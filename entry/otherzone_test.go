package entry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestForwardedRequestQueues checks that a request forwarded from another zone waits in the queue
// while the pool is full. The picker reports hop_limit then, which must not end the request.
func TestForwardedRequestQueues(t *testing.T) {
	c := qt.New(t)
	permits := &scriptedPermits{refusals: 2}
	f := newTestInstance(c, "b", func(parts *entry.Parts) {
		parts.Picker = decide.NewPicker(decide.DefaultSettings())
		parts.Permits = permits
		parts.Queue = permits
	})
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	recorder := httptest.NewRecorder()
	outcome := f.server.ServeForwarded(t.Context(), recorder, &link.ForwardedRequest{
		RequestID: "r1", Customer: "acme", Method: http.MethodGet, Path: "/bookings", Header: http.Header{}, Hops: 1,
	})
	c.Assert(recorder.Body.String(), qt.Equals, "done")
	c.Assert(outcome, qt.Equals, verdict.Ran)
	c.Assert(permits.waits > 0, qt.IsTrue)
}

// fullOnce refuses the first pick as full. From then on it picks zone b if other zones are offered,
// else an endpoint in this zone.
type fullOnce struct{ picks int }

func (p *fullOnce) Pick(snapshot *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
	seen *decide.Observation, excluded []machine.EndpointID, random *rand.Rand,
) (decide.Choice, *verdict.Refusal) {
	p.picks++
	if p.picks == 1 {
		return decide.Choice{}, verdict.Refuse(verdict.NoEndpoint, "full")
	}
	if len(seen.Zones) > 0 {
		return decide.Choice{Zone: "b", Pool: pool}, nil
	}
	return decide.NewPicker(decide.DefaultSettings()).Pick(snapshot, request, pool, version, seen, excluded, random)
}

// TestClaimedRequestIsNotForwarded checks that a request whose idempotency key is claimed in this zone
// waits here while the pool is full. Its claim would not be valid in another zone.
func TestClaimedRequestIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.Picker = &fullOnce{}
		parts.Queue = &scriptedPermits{}
		parts.Forwarder = link.NewForwardClient(nil)
		parts.Zones = func() []decide.ZoneLoad {
			return []decide.ZoneLoad{{Zone: "b", Spare: map[string]int{"booking": 1}, At: time.Now()}}
		}
	})
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	r := f.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
	c.Assert(r.body, qt.Equals, "done")
}

// expiredClaims grants claims that have already expired, as a process finds them after a pause.
type expiredClaims struct{ ledger.Claims }

func (l expiredClaims) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	result, err := l.Claims.Claim(ctx, claim)
	result.Expires = time.Now().Add(-time.Second)
	return result, err
}

// TestExpiredClaim checks that a request is not dispatched if its claim expired while this process was
// paused: another request may have run under the same key since.
func TestExpiredClaim(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", func(parts *entry.Parts) { parts.Claims = expiredClaims{parts.Claims} })
	runs := 0
	f.add("booking", "", func(http.ResponseWriter, *http.Request) { runs++ })
	r := f.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
	assertRefused(c, r, verdict.ClaimExpired, verdict.NotRun)
	c.Assert(runs, qt.Equals, 0)
}

// zoneOutQueue is a queue in which each wait ends with the zone being taken out of service.
type zoneOutQueue struct {
	scriptedPermits
	takeOut func()
}

func (q *zoneOutQueue) Wait(context.Context, string, int, time.Time) *verdict.Refusal {
	q.takeOut()
	return nil
}

// TestZoneOutOfServiceWhileQueued checks that a request in the queue of a zone that is taken out of
// service is forwarded to another zone, which claims and bills it.
func TestZoneOutOfServiceWhileQueued(t *testing.T) {
	for _, path := range []string{"/bookings", "/v1/chat/completions"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			queue := &zoneOutQueue{scriptedPermits: scriptedPermits{refusals: 100}}
			a, b, _ := twoZones(c, decide.NewPicker(decide.DefaultSettings()), func(parts *entry.Parts) {
				parts.Permits = queue
				parts.Queue = queue
			})
			outOfService := a.snapshot.Load()
			a.configure(func(d string) string { return d })
			queue.takeOut = func() { a.snapshot.Store(outOfService) }
			done := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }
			a.add("booking", "", done)
			b.add("booking", "", done)
			a.add("small-engines", "small@v1", engine("v1"))
			b.add("small-engines", "small@v1", engine("v1"))
			r := a.send(http.MethodPost, path, `{"model":"assistant"}`, link.HeaderIdempotencyKey, "k")
			c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			c.Assert(b.ledger.Bills(), qt.HasLen, 1)
			c.Assert(a.ledger.Bills(), qt.HasLen, 0)
		})
	}
}

// TestOtherZoneRefuses checks that a request is served in its own zone if the zone it was forwarded to
// declines it, since that one was taken out of service just before.
func TestOtherZoneRefuses(t *testing.T) {
	for _, path := range []string{"/bookings", "/v1/chat/completions"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			a, b, _ := twoZones(c, &spillOnce{})
			a.configure(func(d string) string { return d })
			b.configure(func(d string) string {
				return strings.Replace(d, `name = "b", region`, `name = "b", out_of_service = true, region`, 1)
			})
			a.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
			a.add("small-engines", "small@v1", engine("v1"))
			r := a.send(http.MethodPost, path, `{"model":"assistant"}`, link.HeaderIdempotencyKey, "k")
			c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			c.Assert(a.ledger.Bills(), qt.HasLen, 1)
			c.Assert(b.ledger.Bills(), qt.HasLen, 0)
		})
	}
}

// spillOnce sends the first pick to zone b and picks endpoints in this zone from then on.
type spillOnce struct{ picks int }

func (p *spillOnce) Pick(snapshot *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
	seen *decide.Observation, excluded []machine.EndpointID, random *rand.Rand,
) (decide.Choice, *verdict.Refusal) {
	p.picks++
	if p.picks == 1 {
		return decide.Choice{Zone: "b", Pool: pool, Version: version}, nil
	}
	return decide.NewPicker(decide.DefaultSettings()).Pick(snapshot, request, pool, version, seen, excluded, random)
}
