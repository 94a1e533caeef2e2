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

// TestForwardedRequestQueues: a request that another zone passed on waits here while the pool is
// full; it is not refused for having no further hop.
func TestForwardedRequestQueues(t *testing.T) {
	c := qt.New(t)
	permits := &scriptedPermits{refusals: 2}
	f := newFleet(c, "b", func(parts *entry.Parts) {
		parts.Picker = decide.NewPicker(decide.DefaultSettings())
		parts.Permits = permits
		parts.Queue = permits
	})
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	recorder := httptest.NewRecorder()
	outcome := f.server.ServeForwarded(t.Context(), recorder, &link.ForwardHead{
		RequestID: "r1", Customer: "acme", Method: http.MethodGet, Path: "/bookings", Header: http.Header{}, Hops: 1,
	})
	c.Assert(recorder.Body.String(), qt.Equals, "done")
	c.Assert(outcome, qt.Equals, verdict.Ran)
	c.Assert(permits.waits > 0, qt.IsTrue)
}

// fullThenFree finds no room at first; then, if it is offered other zones, it spills, and else it
// finds room at home.
type fullThenFree struct{ picks int }

func (p *fullThenFree) Pick(snapshot *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
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

// TestClaimedRequestStays: once a booking is claimed here, a full pool makes it wait here, since the
// claim can't go with it to another zone.
func TestClaimedRequestStays(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", func(parts *entry.Parts) {
		parts.Picker = &fullThenFree{}
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

// lateClaims grants claims whose time is over when they arrive, as a paused process finds them.
type lateClaims struct{ ledger.Claims }

func (l lateClaims) Claim(ctx context.Context, claim ledger.Claim) (ledger.ClaimResult, error) {
	result, err := l.Claims.Claim(ctx, claim)
	result.Expires = time.Now().Add(-time.Second)
	return result, err
}

// TestExpiredClaim: a claim that ended while this process was paused is never dispatched.
func TestExpiredClaim(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", func(parts *entry.Parts) { parts.Claims = lateClaims{parts.Claims} })
	runs := 0
	f.add("booking", "", func(http.ResponseWriter, *http.Request) { runs++ })
	r := f.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
	assertRefused(c, r, verdict.ClaimExpired, verdict.NotRun)
	c.Assert(runs, qt.Equals, 0)
}

// zoneGoesOut is a queue whose wait ends with the zone being taken out of service.
type zoneGoesOut struct {
	scriptedPermits
	takeOut func()
}

func (q *zoneGoesOut) Wait(context.Context, string, int, time.Time) *verdict.Refusal {
	q.takeOut()
	return nil
}

// TestZoneGoesOutWhileQueued: a request that waits when its zone is taken out is served by another
// zone, where a booking is claimed anew.
func TestZoneGoesOutWhileQueued(t *testing.T) {
	for _, path := range []string{"/bookings", "/v1/chat/completions"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			queue := &zoneGoesOut{scriptedPermits: scriptedPermits{refusals: 100}}
			a, b, _ := twoZones(c, decide.NewPicker(decide.DefaultSettings()), func(parts *entry.Parts) {
				parts.Permits = queue
				parts.Queue = queue
			})
			out := a.snapshot.Load()
			a.configure(func(d string) string { return d })
			queue.takeOut = func() { a.snapshot.Store(out) }
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

// TestOtherZoneRefuses: a request that was passed on to a zone which has just gone out comes back and
// is served at home.
func TestOtherZoneRefuses(t *testing.T) {
	for _, path := range []string{"/bookings", "/v1/chat/completions"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			a, b, _ := twoZones(c, &spillFirst{})
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

// spillFirst sends the first pick to zone b and finds room at home afterwards.
type spillFirst struct{ picks int }

func (p *spillFirst) Pick(snapshot *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
	seen *decide.Observation, excluded []machine.EndpointID, random *rand.Rand,
) (decide.Choice, *verdict.Refusal) {
	p.picks++
	if p.picks == 1 {
		return decide.Choice{Zone: "b", Pool: pool, Version: version}, nil
	}
	return decide.NewPicker(decide.DefaultSettings()).Pick(snapshot, request, pool, version, seen, excluded, random)
}
