package entry_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// fixedMembers is a list of members that does not change.
type fixedMembers []machine.Member

func (m fixedMembers) Self() machine.Member   { return m[0] }
func (m fixedMembers) Live() []machine.Member { return m }

// twoZones returns an instance in zone a, which is out of service, and one in zone b to which it can
// forward. conns are the connections between them, the oldest first.
func twoZones(c *qt.C, picker decide.Picker, change ...func(*entry.Parts)) (a, b *testInstance, conns chan net.Conn) {
	return twoZonesWith(c, picker, nil, change...)
}

// twoZonesWith is twoZones where callers bounds what forwarded requests make the instance in zone b hold.
func twoZonesWith(c *qt.C, picker decide.Picker, callers *intake.Guard, change ...func(*entry.Parts)) (a, b *testInstance, conns chan net.Conn) {
	b = newTestInstance(c, "b", nil)
	mux := drpcmux.New()
	c.Assert(link.NewForwardServer(b.server, 1<<20, callers).Register(mux), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- link.ServePeers(ctx, listener, mux) }()
	conns = make(chan net.Conn, 8)
	peers := link.NewPeerDialerWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil && len(conns) < cap(conns) {
			conns <- conn // connections beyond the capacity are never cut
		}
		return conn, err
	})
	c.Cleanup(func() { peers.Close(); cancel(); <-served })
	a = newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.Picker = picker
		parts.Forwarder = link.NewForwardClient(peers)
		parts.Members = fixedMembers{parts.Self, {ID: "entry-b", Zone: "b", Address: listener.Addr().String()}}
		for _, f := range change {
			f(parts)
		}
	})
	zoneOutOfService := func(d string) string {
		return strings.Replace(d, `name = "a", region`, `name = "a", out_of_service = true, region`, 1)
	}
	a.configure(zoneOutOfService)
	b.configure(zoneOutOfService)
	return a, b, conns
}

// TestForwardedRequests checks that an instance whose zone is out of service forwards requests to
// another zone, which claims, bills and answers them, and that a request is forwarded only once.
func TestForwardedRequests(t *testing.T) {
	c := qt.New(t)
	a, b, _ := twoZones(c, decide.NewPicker(decide.DefaultSettings()))
	b.add("small-engines", "small@v1", engine("v1"))
	b.add("booking", "", func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Header.Get("Authorization"), qt.Equals, "")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.URL.RequestURI())
	})
	c.Assert(a.server.Ready(), qt.IsFalse)
	first := a.ask("assistant", true)
	c.Assert(first.body, qt.Equals, strings.Join(streamEvents[:3], "")+streamEvents[4])
	session := first.header.Get(link.HeaderSession)
	c.Assert(session, qt.Not(qt.Equals), "")
	unstreamed := a.ask("assistant", false, link.HeaderSession, session)
	c.Assert(unstreamed.body, qt.Equals, unstreamedAnswer)
	for _, replayed := range []string{"", "1"} {
		booked := a.send(http.MethodPost, "/bookings/7?x=1", "{}", link.HeaderIdempotencyKey, "k")
		c.Assert(booked.status, qt.Equals, http.StatusCreated)
		c.Assert(booked.body, qt.Equals, "/bookings/7?x=1")
		c.Assert(booked.header.Get(link.HeaderReplayed), qt.Equals, replayed)
	}
	c.Assert(a.ledger.Bills(), qt.HasLen, 0)
	c.Assert(b.ledger.Bills(), qt.HasLen, 3)
	recordA, recordB := a.explain(unstreamed), b.explain(unstreamed)
	c.Assert([]verdict.Verdict{recordA.Verdict, recordB.Verdict}, qt.DeepEquals, []verdict.Verdict{verdict.Ran, verdict.Ran})
	c.Assert([]any{recordA.ForwardedTo, recordA.Hops, recordB.Hops}, qt.DeepEquals, []any{"entry-b", 0, 1})

	b.configure(func(d string) string {
		return strings.ReplaceAll(d, `region = "r"`, `region = "r", out_of_service = true`)
	})
	assertRefused(c, a.ask("assistant", true), verdict.HopLimit, verdict.NotRun)
}

// TestForwardedWithoutMemory answers bodies that use up the memory of an instance that other zones forward to: the next request is
// refused without a run, and served once the memory is free.
func TestForwardedWithoutMemory(t *testing.T) {
	c := qt.New(t)
	callers := intake.New(intake.Limits{Bytes: 64 << 10, Connections: 10}, telemetry.New(), slog.New(slog.DiscardHandler))
	a, b, _ := twoZonesWith(c, decide.NewPicker(decide.DefaultSettings()), callers)
	b.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusCreated) })
	other := callers.Forwarded()
	c.Assert(other.Grow(60<<10), qt.IsNil)
	book := func() reply { return a.send(http.MethodPost, "/bookings/7", strings.Repeat("x", 20<<10)) }
	assertRefused(c, book(), verdict.InstanceFull, verdict.NotRun)
	other.Close()
	c.Check(book().status, qt.Equals, http.StatusCreated)

	b.add("small-engines", "small@v1", engine("v1"))
	const question = `{"model":"assistant","stream":false}`
	other = callers.Forwarded()
	// Room for the body, received and read, and not for the answer. The booking's account ends after its caller has the answer.
	for other.Grow(64<<10-int64(2*len(question))-10) != nil {
		runtime.Gosched()
	}
	ask := func() reply { return a.send(http.MethodPost, "/v1/chat/completions", question) }
	for range 20 { // the engine is not blamed for it
		assertRefused(c, ask(), verdict.UpstreamError, verdict.MayHaveRun)
	}
	other.Close()
	c.Check(ask().body, qt.Equals, unstreamedAnswer)
}

// spillPicker picks zone b for a request that may be forwarded and refuses any other as full.
type spillPicker struct{}

func (spillPicker) Pick(_ *contract.Snapshot, request *decide.Request, pool string, version contract.VersionID,
	_ *decide.Observation, _ []machine.EndpointID, _ *rand.Rand,
) (decide.Choice, *verdict.Refusal) {
	if request.Hops > 0 {
		return decide.Choice{}, verdict.Refuse(verdict.NoEndpoint, "full")
	}
	return decide.Choice{Zone: "b", Pool: pool, Version: version}, nil
}

// TestSpill checks that requests for which the picker chooses another zone are forwarded before
// anything is claimed or billed in this one.
func TestSpill(t *testing.T) {
	c := qt.New(t)
	a, b, _ := twoZones(c, spillPicker{})
	a.configure(func(d string) string { return d })
	b.add("small-engines", "small@v1", engine("v1"))
	b.add("booking", "", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	c.Assert(a.server.Ready(), qt.IsTrue)
	c.Assert(strings.HasSuffix(a.ask("assistant", true).body, "[DONE]\n\n"), qt.IsTrue)
	c.Assert(a.ask("careful", false).body, qt.Equals, unstreamedAnswer)
	for _, replayed := range []string{"", "1"} {
		r := a.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
		c.Assert([]string{r.body, r.header.Get(link.HeaderReplayed)}, qt.DeepEquals, []string{"done", replayed})
	}
	c.Assert(b.ledger.Bills(), qt.HasLen, 3)
	c.Assert(a.ledger.Bills(), qt.HasLen, 0)
}

// TestForwardingLinkLost cuts the peer connection while the other zone serves a request. An idempotent
// request that has delivered nothing is retried over a new connection, a stream that has begun ends
// in an error event, and a booking is not retried: a repeat with its key gets the recorded outcome.
func TestForwardingLinkLost(t *testing.T) {
	c := qt.New(t)
	a, b, conns := twoZones(c, decide.NewPicker(decide.DefaultSettings()))
	cut := func() { (<-conns).Close() }
	running, finish := make(chan string), make(chan struct{})
	gets := 0
	b.add("booking", "", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			running <- r.Method
			<-finish
		} else if gets++; gets == 1 {
			running <- r.Method
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "done")
	})
	b.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
		_ = chatBody(w, r, "v1")
		_, _ = io.WriteString(w, streamEvents[0])
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	replies := make(chan reply, 1)
	go func() { replies <- a.send(http.MethodGet, "/bookings", "") }()
	<-running
	cut()
	c.Assert((<-replies).body, qt.Equals, "done")
	c.Assert(gets, qt.Equals, 2)

	go func() { replies <- a.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k") }()
	<-running
	cut()
	assertRefused(c, <-replies, verdict.UpstreamTruncated, verdict.MayHaveRun)
	close(finish)
	for {
		again := a.send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, "k")
		if again.status != http.StatusConflict {
			c.Assert(again.body, qt.Equals, "done")
			c.Assert(again.header.Get(link.HeaderReplayed), qt.Equals, "1")
			break
		}
	}

	request, err := http.NewRequest(http.MethodPost, a.url+"/v1/chat/completions", strings.NewReader(`{"model":"assistant","stream":true}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer sk-acme")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len(streamEvents[0])))
	c.Assert(err, qt.IsNil)
	cut()
	rest, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Matches, `data: \{"error".*"verdict":"may_have_run".*\}\n\n`)
}

// TestForwardingPeerEnds guards against answers that look complete although the process that served them has ended: the connection
// to it ends like a file, in the middle of a stream or of a long answer.
func TestForwardingPeerEnds(t *testing.T) {
	const part = 300 << 10 // more than is buffered before the answer begins
	for name, test := range map[string]struct {
		method, path, request string
		first                 string // of the answer, before the process ends
		rest                  string // what the caller may get after it; a regular expression
		broken                bool   // the caller's connection breaks off
	}{
		"stream": {http.MethodPost, "/v1/chat/completions", `{"model":"assistant","stream":true}`, streamEvents[0],
			`data: \{"error".*"verdict":"may_have_run".*\}\n\n`, false},
		"long answer": {http.MethodGet, "/bookings", "", strings.Repeat("x", part), ``, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, b, conns := twoZones(c, decide.NewPicker(decide.DefaultSettings()))
			serve := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, test.first)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
			b.add("booking", "", serve)
			b.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
				_ = chatBody(w, r, "v1")
				serve(w, r)
			})
			request, err := http.NewRequest(test.method, a.url+test.path, strings.NewReader(test.request))
			c.Assert(err, qt.IsNil)
			request.Header.Set("Authorization", "Bearer sk-acme")
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			_, err = io.ReadFull(response.Body, make([]byte, min(len(test.first), part/2)))
			c.Assert(err, qt.IsNil)
			c.Assert((<-conns).(*net.TCPConn).CloseRead(), qt.IsNil) // reads from now on return io.EOF
			rest, err := io.ReadAll(response.Body)
			c.Check(err != nil, qt.Equals, test.broken, qt.Commentf("%v", err))
			c.Check(strings.TrimLeft(string(rest), "x"), qt.Matches, test.rest)
		})
	}
}
