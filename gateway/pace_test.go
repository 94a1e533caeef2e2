package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
	"plumbarrow.example/plumbarrow/upstream"
)

// pacedSender answers each request with a stream whose pace depends on the endpoint.
type pacedSender struct {
	pace func(address string) time.Duration
}

func (s pacedSender) Send(_ context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	time.Sleep(30 * time.Millisecond)
	header := http.Header{"Signature": {"s"}, "Content-Type": {"text/event-stream"}}
	return &link.EndpointAnswer{Status: http.StatusOK, Header: header, Body: &pacedBody{pace: s.pace(out.Address), left: 8}, Length: -1}, nil
}

type pacedBody struct {
	pace time.Duration
	left int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pace)
	b.left--
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", 8-b.left)), nil
}

func (b *pacedBody) Close() error { return nil }

// TestSlowEventsRejected guards against completing a version whose events come a few times slower while its first bytes come in time
// (incident 0008), and against rejecting a sound version because the old one is under load.
func TestSlowEventsRejected(t *testing.T) {
	for slowness, rejected := range map[float64]bool{1: false, 2: true, 3: true, 5: true} {
		t.Run(fmt.Sprint(slowness), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture()
				random := rand.New(rand.NewPCG(3, 1))
				rollouts := canary.New(canary.Exposure{Share: 0.15}, telemetry.New(), slog.New(slog.DiscardHandler))
				f.server.Versions = rollouts
				f.server.Sender = pacedSender{pace: func(address string) time.Duration {
					unloaded := 24 * time.Millisecond
					if address == "e3" {
						return time.Duration(slowness * float64(unloaded))
					}
					return time.Duration((1 + random.ExpFloat64()) * float64(unloaded))
				}}
				for id, version := range map[string]string{"e1": "v1", "e2": "v1", "e3": "v2"} {
					updated := upstream.Report{ID: machine.EndpointID(id), Service: "app", Address: id, Zone: "a", Slots: 16, Version: version}
					f.table.Apply(updated)
				}
				rollouts.Apply(canary.Order{Service: "app", Target: "v2", Duration: 30 * time.Second, Revision: 7})
				serve := func(number int) {
					r := f.request("stream", "Id", fmt.Sprint("r", number))
					f.serve(r)
				}
				for number := range 60 {
					serve(number)
				}
				rollouts.ApplyStage(mirror.Document{Key: canary.StagePrefix + "app", Value: []byte(`{"order":7,"state":"running","share":0.09,"elapsed_ms":15000}`), Revision: 8})
				for number := range 250 {
					serve(1000 + number)
				}
				rejectedNow := !chosenByAny(rollouts)
				c.Check(rejectedNow, qt.Equals, rejected, qt.Commentf("%v times slower", slowness))
			})
		})
	}
}

// chosenByAny reports whether any of many requests may use the new version.
func chosenByAny(rollouts *canary.Rollouts) bool {
	for number := range 1000 {
		if rollouts.Choose("app", "", fmt.Sprint(number), false).RequiredVersion == "v2" {
			return true
		}
	}
	return false
}
