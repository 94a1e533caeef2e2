package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// plainProtocol is a minimal protocol for callers and endpoints.
type plainProtocol struct{}

func (plainProtocol) Read(r *http.Request) (*Call, *verdict.Refusal) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	call := &Call{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host,
		Key: r.Header.Get("Key"), Timeout: time.Duration(wait) * time.Millisecond, OpenModel: r.Header.Get("Model") == "any",
		Header: r.Header.Clone(), PromptTokens: 10, PromptParts: []upstream.PromptPart{{ID: 1, Tokens: 10}},
	}
	return call, nil
}

func (plainProtocol) Relay(header http.Header, timeLeft time.Duration, resumeAfter string) {
	header.Set("Wait-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	header.Set("After", resumeAfter)
}

func (plainProtocol) Refuse(http.Header, *Call, *verdict.Refusal) {}

func (plainProtocol) Prepare(header http.Header, attempt *Attempt) {
	header.Set("Endpoint", string(attempt.Endpoint))
	header.Set("Customer", attempt.Customer)
	header.Set("Left-Ms", strconv.FormatInt(attempt.TimeLeft.Milliseconds(), 10))
	header.Set("Model", attempt.Model)
	header.Set("After", attempt.ResumeAfter)
}

func (plainProtocol) Reply(status int, header http.Header) Reply {
	confidence, err := strconv.ParseFloat(header.Get("Confidence"), 64)
	pause, _ := strconv.ParseFloat(header.Get("Pause-S"), 64)
	tolerance, toleranceErr := strconv.Atoi(header.Get("Tolerance"))
	held, heldErr := strconv.Atoi(header.Get("Held"))
	limit, limitErr := strconv.ParseFloat(header.Get("Limit"), 64)
	return Reply{
		Signed: header.Get("Signature") != "", NotRun: header.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, Confidence: confidence, HasConfidence: err == nil,
		RateLimit: limit, HasRateLimit: limitErr == nil, Leaving: header.Get("Leaving") != "",
		TurnedAwayFor: time.Duration(pause * float64(time.Second)), Running: held, HasLoad: heldErr == nil,
		RejectionTolerance: tolerance, HasRejectionTolerance: toleranceErr == nil,
	}
}

func (plainProtocol) Match(http.Header, string) link.Match { return link.SameRequest }

// answer is a scripted endpoint's reaction to one request.
type answer struct {
	status    int
	header    string // fields as "Name: value", one per line
	body      string
	unframed  bool          // the body ends with the connection
	truncated bool          // reading the body fails after body
	repeated  int           // how often body is repeated; 0 means once
	failure   *link.Failure // returned instead of an answer
	pause     time.Duration // before rest, which follows body
	rest      string
	delay     time.Duration
	onSilence func(out *link.EndpointRequest) // called by the request's goroutine while it waits for the answer or for rest; may be nil
	onArrival func()                          // called when the request arrives; may be nil
}

func signed(status int, body string) answer {
	return answer{status: status, header: "Signature: s", body: body}
}

func events(body string) answer {
	return answer{status: http.StatusOK, header: "Signature: s\nContent-Type: text/event-stream", body: body}
}

func connectionLost() answer {
	return answer{failure: &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: errors.New("reset")}}
}

func unsent() answer {
	return answer{failure: &link.Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: errors.New("refused")}}
}

func declined() answer {
	return answer{status: http.StatusServiceUnavailable, header: "Not-Run: 1"}
}

// scriptedSender returns the scripted answers in order and records the requests.
type scriptedSender struct {
	mu     sync.Mutex
	script []answer
	sent   []*link.EndpointRequest
}

func (s *scriptedSender) Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	s.mu.Lock()
	s.sent = append(s.sent, out)
	if len(s.script) == 0 {
		s.mu.Unlock()
		panic("a request beyond the script")
	}
	next := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	if next.onArrival != nil {
		next.onArrival()
	}
	if next.onSilence != nil && next.rest == "" {
		next.onSilence(out)
	}
	select {
	case <-time.After(next.delay):
	case <-ctx.Done():
		return nil, &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: ctx.Err()}
	}
	if next.failure != nil {
		return nil, next.failure
	}
	header := make(http.Header)
	for line := range strings.Lines(next.header) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		header.Set(name, value)
	}
	var body io.Reader = strings.NewReader(next.body)
	for range next.repeated - 1 {
		body = io.MultiReader(body, strings.NewReader(next.body))
	}
	if next.pause > 0 {
		paused := &pausedReader{ctx: ctx, pause: next.pause, rest: strings.NewReader(next.rest)}
		if next.onSilence != nil {
			paused.onSilence = sync.OnceFunc(func() { next.onSilence(out) })
		}
		body = io.MultiReader(body, paused)
	}
	if next.truncated {
		body = io.MultiReader(body, brokenReader{})
	}
	return &link.EndpointAnswer{Status: next.status, Header: header, Body: io.NopCloser(body), Length: -1, Unframed: next.unframed}, nil
}

// pausedReader returns its content after a pause, unless ctx ends before.
type pausedReader struct {
	ctx   context.Context
	pause time.Duration
	rest  io.Reader
	// onSilence is called before the pause; may be nil.
	onSilence func()
}

func (r *pausedReader) Read(p []byte) (int, error) {
	if r.onSilence != nil {
		r.onSilence()
	}
	select {
	case <-time.After(r.pause):
		r.pause = 0
		return r.rest.Read(p)
	case <-r.ctx.Done():
		return 0, &link.Failure{Reason: verdict.RetryTruncated, Err: r.ctx.Err()}
	}
}

// slowEvents answers with events, the second part a second after the first.
func slowEvents(first, rest string) answer {
	slow := events(first)
	slow.pause, slow.rest = time.Second, rest
	return slow
}

// brokenReader fails as the body of a truncated answer does.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) {
	return 0, &link.Failure{Reason: verdict.RetryTruncated, Err: io.ErrUnexpectedEOF}
}

// fixedVersion restricts all requests to one version, or to none if only is empty.
type fixedVersion struct{ only string }

func (r fixedVersion) Choose(string, string, string, bool) canary.Choice {
	return canary.Choice{RequiredVersion: r.only}
}
func (fixedVersion) Begin(string, string, canary.Circumstances, time.Duration) *canary.Trial {
	return &canary.Trial{}
}

// fixture is a server in front of scripted endpoints.
type fixture struct {
	server  *Server
	sender  *scriptedSender
	current *catalog.Current
	table   *upstream.Table
	log     *bytes.Buffer
}

// openAddresses is a quarantine.Prober whose addresses all accept connections.
type openAddresses struct{}

func (openAddresses) Probe(context.Context, string) error { return nil }

// noMembers is a cluster without other instances.
type noMembers struct{}

func (noMembers) Self() machine.Member   { return machine.Member{ID: "entry-1"} }
func (noMembers) Live() []machine.Member { return []machine.Member{{ID: "entry-1"}} }

// draft returns the tests' configuration, with a route of each kind.
func draft(revision uint64) *catalog.Draft {
	route := func(prefix string, kind catalog.Kind, attempts int) *catalog.Route {
		return &catalog.Route{
			Name: prefix, Host: "host", Prefix: "/" + prefix + "/", Kind: kind, Resumable: prefix == "stream",
			Timeout: 4 * time.Second, Goal: time.Second, GapTarget: time.Second, MaxAttempts: attempts,
			Shares: []catalog.Share{{Service: "app", Weight: 1}},
		}
	}
	stream := route("stream", catalog.Streaming, 3)
	stream.Models = []string{"small", "large"}
	return &catalog.Draft{
		Version: revision, Revision: revision, KeysRequired: true,
		Routes: []*catalog.Route{
			route("read", catalog.Idempotent, 2), route("book", catalog.NonIdempotent, 1), stream, route("once", catalog.Streaming, 3),
		},
		Services:  []*catalog.Service{{Name: "app"}, {Name: "other"}},
		Customers: map[string]*catalog.Customer{"key": {Name: "firm"}},
		Limits:    catalog.Limits{MaxBodyBytes: 100},
	}
}

func newFixture(script ...answer) *fixture {
	f := &fixture{sender: &scriptedSender{script: script}, current: &catalog.Current{}, log: &bytes.Buffer{}}
	log := slog.New(slog.NewJSONHandler(f.log, nil))
	f.table = upstream.NewTable("entry-1", "a", f.current, noMembers{}, telemetry.New(), log)
	for _, id := range []machine.EndpointID{"e1", "e2", "e3"} {
		f.table.Apply(upstream.Report{ID: id, Service: "app", Address: string(id), Zone: "a", Slots: 4})
	}
	f.current.Set(catalog.New(draft(1)))
	f.server = New(Parts{
		CallerProtocol: plainProtocol{}, EndpointProtocol: plainProtocol{}, Current: f.current, Upstreams: f.table, Sender: f.sender,
		Versions: fixedVersion{}, Quarantine: quarantine.New(openAddresses{}, func() {}, telemetry.New(), log), RetryBudget: NewRetryBudget(), EscalationPolicy: NewEscalationPolicy(), Counters: telemetry.New(), Log: log,
	})
	return f
}

// exhaustRetries uses up the retry budget of a service.
func (f *fixture) exhaustRetries(service string) {
	for f.server.RetryBudget.Take(service) {
	}
}

// slowTable is a table whose sound endpoints are expected to take a time to the first event.
type slowTable struct {
	*upstream.Table
	expected time.Duration
}

func (t slowTable) Alternative(*upstream.Need) (time.Duration, bool) { return t.expected, true }

// slowAlternatives sets the time to the first event that is expected of other endpoints.
func (f *fixture) slowAlternatives(expected time.Duration) {
	f.server.Upstreams = slowTable{f.table, expected}
}

// callerAnswer is the answer that the caller gets.
type callerAnswer struct {
	status  int
	header  http.Header
	body    string
	aborted bool // the connection was aborted
}

func (f *fixture) request(prefix string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/"+prefix+"/x", strings.NewReader("body"))
	r.Host = "host"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	r.Header.Set("Wait-Ms", "3000")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (f *fixture) serve(r *http.Request) (seen callerAnswer) {
	recorder := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			seen.aborted = true
		}
		seen.status, seen.header, seen.body = recorder.Code, recorder.Header(), recorder.Body.String()
	}()
	f.server.ServeHTTP(recorder, r)
	return seen
}

func (f *fixture) call(prefix string, header ...string) callerAnswer {
	return f.serve(f.request(prefix, header...))
}

// endpoints returns the endpoints that requests were sent to, in order.
func (f *fixture) endpoints() []string {
	var ids []string
	for _, out := range f.sender.sent {
		ids = append(ids, out.Address)
	}
	return ids
}
