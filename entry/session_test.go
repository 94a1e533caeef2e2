package entry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

func moveWeights(document string) string {
	document = strings.Replace(document, `weight = 0.0`, `weight = 1.0`, 1)
	return strings.Replace(document, `name = "v1", prompt`, `name = "v1", weight = 0.0, prompt`, 1)
}

func withdrawV1(document string) string {
	return strings.Replace(moveWeights(document), `name = "v1", weight`, `name = "v1", state = "withdrawn", weight`, 1)
}

// TestSessionKeepsVersion moves all new sessions to v2: sessions that began on v1 stay there, by
// token at any instance and by bare id, until v1 is withdrawn.
func TestSessionKeepsVersion(t *testing.T) {
	c := qt.New(t)
	var fleets []*fleet
	pins := ledger.NewMemory()
	for range 2 {
		f := newFleet(c, "a", func(parts *entry.Parts) { parts.Pins = pins })
		f.add("small-engines", "small@v1", engine("v1"))
		f.add("small-engines", "small@v2", engine("v2"))
		fleets = append(fleets, f)
	}
	version := func(f *fleet, session string) string {
		r := f.ask("assistant", true, link.HeaderSession, session)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		return r.header.Get(link.HeaderVersion)
	}
	token := fleets[0].ask("assistant", false).header.Get(link.HeaderSession)
	c.Assert(version(fleets[0], "bare"), qt.Equals, "small@v1")
	for _, f := range fleets {
		f.configure(moveWeights)
		c.Assert(version(f, ""), qt.Equals, "small@v2")
		c.Assert(version(f, token), qt.Equals, "small@v1")
		c.Assert(version(f, "bare"), qt.Equals, "small@v1")
		forged := token[:len(token)-2] + "AA"
		assertRefused(c, f.ask("assistant", false, link.HeaderSession, forged), verdict.SessionInvalid, verdict.NotRun)
		f.configure(withdrawV1)
		assertRefused(c, f.ask("assistant", false, link.HeaderSession, token), verdict.SessionVersionWithdrawn, verdict.NotRun)
		assertRefused(c, f.ask("assistant", true, link.HeaderSession, "bare"), verdict.SessionVersionWithdrawn, verdict.NotRun)
		f.configure(func(d string) string {
			d = strings.Replace(d, `customers = ["acme"]`, `customers = ["beta"]`, 1)
			return strings.Replace(d, `models = ["large"]`, `models = ["small"]`, 1)
		})
		stolen := f.ask("assistant", false, link.HeaderSession, token, "Authorization", "Bearer sk-beta")
		assertRefused(c, stolen, verdict.SessionInvalid, verdict.NotRun)
	}
}

// hookedPicker calls hook after each pick.
type hookedPicker struct {
	decide.Picker
	hook func()
}

func (p *hookedPicker) Pick(snapshot *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
	seen *decide.Observation, excluded []machine.EndpointID, random *rand.Rand,
) (decide.Choice, *verdict.Refusal) {
	choice, refusal := p.Picker.Pick(snapshot, request, pool, version, seen, excluded, random)
	p.hook()
	return choice, refusal
}

// TestWithdrawnBeforeDispatch withdraws the version between the pick and the dispatch, for a first
// attempt and for a retry: nothing new reaches it.
func TestWithdrawnBeforeDispatch(t *testing.T) {
	for _, picks := range []int{1, 2} {
		c := qt.New(t)
		var f *fleet
		made, calls := 0, 0
		f = newFleet(c, "a", func(parts *entry.Parts) {
			parts.Picker = &hookedPicker{Picker: parts.Picker, hook: func() {
				if made++; made == picks {
					f.configure(withdrawV1)
				}
			}}
		})
		f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
			if calls++; calls >= picks {
				c.Errorf("the withdrawn version was called")
			}
			breaking("v1", 3)(w, r)
		})
		f.add("small-engines", "small@v2", engine("v2"))
		r := f.ask("assistant", true)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		c.Assert(r.header.Get(link.HeaderVersion), qt.Equals, "small@v2")
		c.Assert(f.counters.Value("plumbarrow_retries_total", "reason", "withdrawn_before_dispatch"), qt.Equals, uint64(1))
	}
}

// TestDrain stops an instance under load: streams in progress end whole, requests on kept-alive
// connections are served whole, and only then does the drain return.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", func(parts *entry.Parts) { parts.Settings.QuietMS = 1 })
	var begun sync.WaitGroup
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
		_ = chatBody(w, r, "v1")
		for i, event := range streamEvents {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
			if i == 0 && r.Header.Get("Plumbarrow-Version") != "" {
				begun.Done()
				<-held
			}
		}
	})
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	c.Cleanup(release) // before the servers close, should the test fail
	const streams = 20
	begun.Add(streams)
	replies := make(chan reply, streams)
	for range streams {
		go func() { replies <- f.ask("assistant", true) }()
	}
	begun.Wait()
	c.Assert(f.send(http.MethodGet, "/bookings", "").closes, qt.IsFalse)
	c.Assert(f.server.Ready(), qt.IsTrue)
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(context.Background()) }()
	for f.server.Ready() {
	}
	const late = 50 // requests, over which a drain that did not wait would return
	for range late {
		r := f.send(http.MethodGet, "/bookings", "")
		c.Assert(r.body, qt.Equals, "ok")
		c.Assert(r.closes, qt.IsTrue)
	}
	select {
	case <-drained:
		c.Fatal("drained with streams in progress")
	default:
	}
	release()
	for range streams {
		r := <-replies
		c.Assert(r.err, qt.IsNil)
		c.Assert(strings.HasSuffix(r.body, "[DONE]\n\n"), qt.IsTrue)
	}
	c.Assert(<-drained, qt.IsNil)
	c.Assert(f.ledger.Bills(), qt.HasLen, streams+late+1)
}
