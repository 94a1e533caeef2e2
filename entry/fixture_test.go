package entry_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestMain fixes the seed of the property tests and checks for leaked goroutines.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var fixtureDocument = strings.NewReplacer(
	"ACME", contract.HashKey("sk-acme"), "BETA", contract.HashKey("sk-beta"),
	"SIGN", base64.StdEncoding.EncodeToString([]byte("0123456789abcdefghijklmnopqrstuv")),
).Replace(`
sessions = { signing_keys = ["SIGN"] }
zones = [{ name = "a", region = "r" }, { name = "b", region = "r" }]
customers = [
  { name = "acme", key_hashes = ["ACME"], models = ["small", "large"] },
  { name = "beta", key_hashes = ["BETA"], models = ["large"] },
]
[[models]]
name = "small"
versions = [
  { name = "v1", prompt_price_micros = 1000, output_price_micros = 2000 },
  { name = "v2", weight = 0.0, prompt_price_micros = 1000, output_price_micros = 2000 },
]
[[models]]
name = "large"
versions = [{ name = "v1", prompt_price_micros = 10000, output_price_micros = 20000 }]
[[pools]]
name = "small-engines"
model = "small"
cold_concurrent = 32
routes = ["assistant", "careful"]
[[pools]]
name = "large-engines"
model = "large"
routes = ["careful"]
[[pools]]
name = "booking"
kind = "service"
routes = ["bookings"]
request_price_micros = 5
[[routes]]
name = "assistant"
customers = ["acme"]
model = "assistant"
pools = ["small-engines"]
[[routes]]
name = "careful"
customers = ["acme"]
model = "careful"
pools = ["small-engines", "large-engines"]
quality_target = 0.8
[[routes]]
name = "bookings"
customers = ["acme"]
path_prefix = "/bookings"
pools = ["booking"]
`)

// testInstance is an entry instance with fake endpoints and its own in-memory ledger.
type testInstance struct {
	c         *qt.C
	snapshot  atomic.Pointer[contract.Snapshot]
	table     *machine.Table
	instances []infra.Instance
	ledger    *ledger.Memory
	counters  *telemetry.Counters
	zone      string
	parts     entry.Parts
	server    *entry.Server
	url       string
}

func (f *testInstance) Current() *contract.Snapshot { return f.snapshot.Load() }

// unlimitedPermits grants every permit.
type unlimitedPermits struct{}

func (unlimitedPermits) Acquire(context.Context, *machine.Endpoint) (machine.Permit, *verdict.Refusal) {
	return unlimitedPermits{}, nil
}

func (unlimitedPermits) Done(machine.Result) {}

// newTestInstance starts an instance in the zone; change, if not nil, may alter its parts.
func newTestInstance(c *qt.C, zone string, change func(*entry.Parts)) *testInstance {
	f := &testInstance{c: c, zone: zone, table: machine.NewTable(machine.DefaultSettings(), machine.InstanceID("entry-"+zone)), ledger: ledger.NewMemory(), counters: telemetry.New()}
	f.configure(func(string) string { return fixtureDocument })
	dispatcher := link.NewDispatcher()
	c.Cleanup(dispatcher.Close)
	f.parts = entry.Parts{
		Self: machine.Member{ID: machine.InstanceID("entry-" + zone), Zone: zone}, Source: f, Table: f.table,
		Permits: unlimitedPermits{}, Picker: decide.NewPicker(decide.DefaultSettings()), Dispatcher: dispatcher, Claims: f.ledger, Bills: f.ledger,
		Counters: f.counters, Log: slog.New(slog.DiscardHandler), MaxBodyBytes: 1 << 20,
		Settings: entry.DefaultSettings(),
	}
	if change != nil {
		change(&f.parts)
	}
	f.server = entry.New(f.parts)
	server := httptest.NewServer(f.server)
	c.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// configure puts the fixture document into force as edit changes it.
func (f *testInstance) configure(edit func(string) string) {
	document, err := contract.Parse("fixture", []byte(edit(fixtureDocument)))
	f.c.Assert(err, qt.IsNil)
	snapshot, err := contract.Build(document, 1)
	f.c.Assert(err, qt.IsNil)
	f.snapshot.Store(snapshot)
}

// add starts an endpoint of the pool; version is model@name, or empty for a service.
func (f *testInstance) add(pool, version string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	f.c.Cleanup(server.Close)
	kind := infra.KindService
	model, name, found := strings.Cut(version, "@")
	if found {
		kind = infra.KindEngine
	}
	f.instances = append(f.instances, infra.Instance{
		ID: fmt.Sprintf("%s-%d", pool, len(f.instances)), Kind: kind, Zone: f.zone, Pool: pool,
		Address: server.Listener.Addr().String(), Model: model, Version: name, State: infra.StateLive,
	})
	f.table.Apply(f.zone, f.instances, f.Current())
}

// reply is the answer to a request as its caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	closes bool // the answer closes its connection
}

// refusal decodes the body, or the error event that it consists of, as a refusal.
func (r reply) refusal() openai.ErrorDetail {
	var body openai.ErrorBody
	_ = json.Unmarshal([]byte(strings.TrimPrefix(r.body, "data: ")), &body)
	return body.Error
}

func (f *testInstance) send(method, path, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer sk-acme")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(data), err, response.Close}
}

func (f *testInstance) ask(model string, stream bool, header ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"hi"}]}`, model, stream)
	return f.send(http.MethodPost, "/v1/chat/completions", body, header...)
}

func (f *testInstance) explain(r reply) entry.Record {
	for {
		// The record is written after the answer is sent, so it may not be there yet.
		if record, ok := f.server.Explain(r.header.Get(link.HeaderRequestID)); ok {
			return record
		}
	}
}

// engine returns an engine of the version, which answers chat requests with three words and usage.
func engine(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := chatBody(w, r, version)
		_, _ = io.WriteString(w, body)
	}
}

// chatBody sets the header of an engine's answer and returns its body.
func chatBody(w http.ResponseWriter, r *http.Request, version string) string {
	data, _ := io.ReadAll(r.Body)
	w.Header().Set(link.HeaderAttemptID, r.Header.Get(link.HeaderAttemptID))
	w.Header().Set(link.HeaderVersion, version)
	chat, err := openai.ParseChat(data)
	if err != nil {
		return err.Error()
	}
	if !chat.Parsed.Stream {
		w.Header().Set("Content-Type", "application/json")
		return unstreamedAnswer
	}
	w.Header().Set("Content-Type", "text/event-stream")
	return strings.Join(streamEvents, "")
}

const unstreamedAnswer = `{"id":"c","object":"chat.completion","model":"small","choices":[{"index":0,"message":{"role":"assistant","content":"one two three"},"finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":3,"total_tokens":8}}`

var streamEvents = []string{
	streamEvent("one "), streamEvent("two "), streamEvent("three"),
	"data: {\"model\":\"small\",\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":3,\"total_tokens\":8}}\n\n",
	"data: [DONE]\n\n",
}

func streamEvent(word string) string {
	return `data: {"model":"small","choices":[{"index":0,"delta":{"content":"` + word + `"},"finish_reason":null}]}` + "\n\n"
}

// truncatingEngine returns an engine that sends the first n bytes of its answer and cuts the connection.
func truncatingEngine(version string, n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := chatBody(w, r, version)
		if w.Header().Get("Content-Type") == "application/json" {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		_, _ = io.WriteString(w, body[:min(n, len(body))])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func assertRefused(c *qt.C, r reply, reason verdict.Reason, wantVerdict verdict.Verdict) {
	c.Helper()
	c.Assert(r.err, qt.IsNil)
	got := r.refusal()
	c.Assert(got.Reason, qt.Equals, string(reason), qt.Commentf("%d %s", r.status, r.body))
	c.Assert(got.Verdict, qt.Equals, wantVerdict.String(), qt.Commentf("%s", r.body))
}
