package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

// contactTime is the time without disturbance after which the platform holds an instance to its bounds.
const contactTime = 3 * time.Second

// partsProtocol is plainProtocol with the prompt's parts in a header.
type partsProtocol struct{ plainProtocol }

func (p partsProtocol) Read(r *http.Request) (*Call, *verdict.Refusal) {
	call, refusal := p.plainProtocol.Read(r)
	call.PromptParts = nil
	for text := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
		id, _ := strconv.ParseUint(text, 16, 64)
		call.PromptParts = append(call.PromptParts, upstream.PromptPart{ID: id, Tokens: 10})
	}
	return call, refusal
}

// testFleet is a fleet of instances in front of endpoints that crash.
type testFleet struct {
	test      *qt.C
	random    *rand.Rand
	members   []machine.Member
	instances []*fleetInstance

	mu        sync.Mutex
	byAddress map[string]*fleetEndpoint
	crashes   []time.Time // of endpoints under the crashing part
	crashing  []arrival   // requests with the crashing part
	sound     []soundCall
	started   int                         // endpoints started so far
	arrived   map[string]int              // requests, by address
	failShare float64                     // of requests at every third endpoint, which answers them with 500
	limits    map[string]float64          // stated by endpoints, by address
	toldAt    map[toldKey]time.Time       // when an instance first passed on a stated limit
	limited   map[string][]limitedArrival // requests at endpoints that state a limit, by address
}

// toldKey identifies an instance's process and an endpoint's address.
type toldKey struct {
	process *fleetProcess
	address string
}

// limitedArrival is a request that reached an endpoint which states a limit.
type limitedArrival struct {
	at time.Time
	// counted means that its instance is in touch and passed on the limit at least toldTime before.
	counted bool
}

// arrival is a request with the crashing part that reached an endpoint.
type arrival struct {
	sentAt  time.Time
	inTouch bool // of the instance that sent it
}

// soundCall is a sound request of a caller.
type soundCall struct {
	at    time.Time
	begun bool // at an endpoint, at the caller's first attempt
}

// fleetInstance is one instance of the fleet.
type fleetInstance struct {
	fleet   *testFleet
	index   int
	process atomic.Pointer[fleetProcess]

	disturbedNanos atomic.Int64 // last disturbance, as Unix time; 0 if there was none
	disconnected   atomic.Bool  // neither peers nor endpoints hear it
}

// fleetProcess is what a restart of an instance replaces.
type fleetProcess struct {
	server *Server
	table  *upstream.Table
	topics []link.Topic
}

func (i *fleetInstance) inTouch() bool {
	return time.Since(time.Unix(0, i.disturbedNanos.Load())) >= contactTime && !i.disconnected.Load()
}

// fleetEndpoint is one process behind an address.
type fleetEndpoint struct {
	id      machine.EndpointID
	address string
	ended   chan struct{}
}

// fleetMembers is a machine.Members with all instances of the fleet.
type fleetMembers struct {
	fleet *testFleet
	index int
}

func (m fleetMembers) Self() machine.Member   { return m.fleet.members[m.index] }
func (m fleetMembers) Live() []machine.Member { return m.fleet.members }

func newTestFleet(c *qt.C, size, endpoints int) *testFleet {
	f := &testFleet{test: c, random: rand.New(rand.NewPCG(7, uint64(size))), byAddress: make(map[string]*fleetEndpoint),
		arrived: make(map[string]int), limits: make(map[string]float64), toldAt: make(map[toldKey]time.Time), limited: make(map[string][]limitedArrival)}
	for i := range size {
		f.members = append(f.members, machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%03d", i))})
	}
	for i := range size {
		instance := &fleetInstance{fleet: f, index: i}
		instance.restart()
		instance.disturbedNanos.Store(0)
		f.instances = append(f.instances, instance)
	}
	for i := range endpoints {
		f.startEndpoint(fmt.Sprintf("10.0.0.%d:80", i))
	}
	return f
}

// restart replaces the instance's process by a new one without any state.
func (i *fleetInstance) restart() {
	current := &catalog.Current{}
	configuration := draft(1)
	configuration.Services[0].Model = true
	current.Set(catalog.New(configuration))
	log := slog.New(slog.DiscardHandler)
	members := fleetMembers{i.fleet, i.index}
	table := upstream.NewTable(members.Self().ID, "a", current, members, telemetry.New(), log)
	suspects := quarantine.New(i, func() {}, telemetry.New(), log)
	server := New(Parts{
		CallerProtocol: partsProtocol{}, EndpointProtocol: partsProtocol{}, Current: current, Upstreams: table, Sender: i,
		Versions: fixedVersion{}, Quarantine: suspects, RetryBudget: NewRetryBudget(), EscalationPolicy: NewEscalationPolicy(), Counters: telemetry.New(), Log: log,
	})
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	for _, endpoint := range i.fleet.byAddress {
		table.Apply(endpoint.report())
	}
	i.process.Store(&fleetProcess{server: server, table: table, topics: []link.Topic{upstream.NewLoadTopic(table), upstream.NewLimitTopic(table), suspects}})
	i.disturbedNanos.Store(time.Now().UnixNano())
}

func (e *fleetEndpoint) report() upstream.Report {
	return upstream.Report{ID: e.id, Service: "app", Address: e.address, Zone: "a", Slots: 16}
}

// startEndpoint starts a process under a new id and announces it to all instances.
func (f *testFleet) startEndpoint(address string) {
	f.mu.Lock()
	f.started++
	endpoint := &fleetEndpoint{id: machine.EndpointID(fmt.Sprintf("i-%d", f.started)), address: address, ended: make(chan struct{})}
	previous := f.byAddress[address]
	f.byAddress[address] = endpoint
	defer f.mu.Unlock()
	for _, instance := range f.instances {
		if previous != nil {
			instance.process.Load().table.Remove(previous.id, time.Time{})
		}
		instance.process.Load().table.Apply(endpoint.report())
	}
}

// crash ends an endpoint under the crashing part.
func (f *testFleet) crash(endpoint *fleetEndpoint) {
	if f.end(endpoint) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashes = append(f.crashes, time.Now())
	}
}

// end ends an endpoint, and reports whether it was running. It is back under a new id after some seconds.
func (f *testFleet) end(endpoint *fleetEndpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-endpoint.ended:
		return false
	default:
	}
	close(endpoint.ended)
	time.AfterFunc(3*time.Second, func() { f.startEndpoint(endpoint.address) })
	return true
}

// running returns the process at an address; nil if there is none.
func (f *testFleet) running(address string) *fleetEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint := f.byAddress[address]
	select {
	case <-endpoint.ended:
		return nil
	default:
		return endpoint
	}
}

// Probe implements quarantine.Prober.
func (i *fleetInstance) Probe(_ context.Context, address string) error {
	switch {
	case i.disconnected.Load():
		return context.DeadlineExceeded
	case i.fleet.running(address) == nil:
		return syscall.ECONNREFUSED
	default:
		return nil
	}
}

// Send implements Sender.
func (i *fleetInstance) Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	f := i.fleet
	if i.disconnected.Load() {
		time.Sleep(250 * time.Millisecond)
		return nil, &link.Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: errors.New("timeout")}
	}
	endpoint := f.running(out.Address)
	if endpoint == nil {
		return nil, &link.Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: errors.New("refused"), Refused: true}
	}
	crashing := strings.Contains(out.Header.Get("Parts"), strconv.FormatUint(crashingPart, 16))
	if crashing {
		sentAt, _ := strconv.ParseInt(out.Header.Get("Sent-Nanos"), 10, 64)
		f.mu.Lock()
		f.crashing = append(f.crashing, arrival{sentAt: time.Unix(0, sentAt), inTouch: i.inTouch()})
		f.mu.Unlock()
	}
	f.recordLimited(i, out.Address)
	select {
	case <-time.After(40 * time.Millisecond): // prefill
	case <-endpoint.ended:
		return nil, &link.Failure{Reason: verdict.RetryConnection, Err: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return nil, &link.Failure{Reason: verdict.RetryConnection, Err: ctx.Err()}
	}
	if f.fails(endpoint) {
		return &link.EndpointAnswer{Status: http.StatusInternalServerError, Header: http.Header{"Signature": {"s"}}, Body: http.NoBody}, nil
	}
	if crashing {
		time.AfterFunc(100*time.Millisecond, func() { f.crash(endpoint) })
	}
	header := http.Header{"Signature": {"s"}, "Content-Type": {"text/event-stream"}}
	if out.Header.Get("Model") == "small" {
		header.Set("Confidence", out.Header.Get("Confidence-Small"))
	}
	f.stateLimit(i, out.Address, header)
	body := &fleetBody{ctx: ctx, endpoint: endpoint, events: 4}
	if crashing {
		body.events = 1000
	}
	return &link.EndpointAnswer{Status: http.StatusOK, Header: header, Body: body, Length: -1}, nil
}

// fails reports whether an endpoint fails a request before it begins to work on it.
func (f *testFleet) fails(endpoint *fleetEndpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return crc32.ChecksumIEEE([]byte(endpoint.address))%3 == 0 && f.random.Float64() < f.failShare
}

// fleetBody is a stream of events, 30 ms apart, that breaks off when its endpoint ends.
type fleetBody struct {
	ctx      context.Context
	endpoint *fleetEndpoint
	events   int // still to come
	sent     int
}

func (b *fleetBody) Read(p []byte) (int, error) {
	if b.events == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(30 * time.Millisecond):
	case <-b.endpoint.ended:
		return 0, &link.Failure{Reason: verdict.RetryTruncated, Err: io.ErrUnexpectedEOF}
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.events--
	b.sent++
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", b.sent)), nil
}

func (b *fleetBody) Close() error { return nil }

// exchangeLoop exchanges all topics with a few random peers every 250 ms, until ctx ends.
func (i *fleetInstance) exchangeLoop(ctx context.Context, random *rand.Rand) {
	f := i.fleet
	const fewMembers, fanout = 8, 4
	time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	for ctx.Err() == nil {
		peers := random.Perm(len(f.instances))
		if len(peers) > fewMembers {
			peers = peers[:fanout]
		}
		for _, index := range peers {
			if peer := f.instances[index]; peer != i && !peer.disconnected.Load() && !i.disconnected.Load() {
				exchangeTopics(i, peer)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

func exchangeTopics(a, b *fleetInstance) {
	from, to := a.fleet.members[a.index], b.fleet.members[b.index]
	ofA, ofB := a.process.Load().topics, b.process.Load().topics
	for index := range ofA {
		ofB[index].Receive(from, ofA[index].Message(to))
		ofA[index].Receive(to, ofB[index].Message(from))
	}
}

// call sends one caller's request to a random instance and once more to another one if it fails. It reports the status of the first
// attempt.
func (f *testFleet) call(parts string, confidence int) int {
	first := 0
	for attempt := range 2 {
		f.mu.Lock()
		instance := f.instances[f.random.IntN(len(f.instances))]
		id := strconv.FormatUint(f.random.Uint64(), 16)
		f.mu.Unlock()
		r := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("body"))
		r.Host = "host"
		for name, value := range map[string]string{
			"Id": id, "Key": "key", "Wait-Ms": "4000", "Model": "any", "Parts": parts,
			"Confidence-Small": strconv.Itoa(confidence), "Sent-Nanos": strconv.FormatInt(time.Now().UnixNano(), 10),
		} {
			r.Header.Set(name, value)
		}
		status := (&fixture{server: instance.process.Load().server}).serve(r)
		if attempt == 0 {
			first = status.status
		}
		if status.status == http.StatusOK && !status.aborted {
			break
		}
	}
	return first
}

// traffic sends requests at the given rate per second until ctx ends.
func (f *testFleet) traffic(ctx context.Context, calls *sync.WaitGroup, rate int, send func(number int)) {
	for number := 0; ctx.Err() == nil; number++ {
		calls.Go(func() { send(number) })
		time.Sleep(time.Second / time.Duration(rate))
	}
}

// start begins the exchange between all instances and their disturbance, until ctx ends.
func (f *testFleet) start(ctx context.Context, loops *sync.WaitGroup) {
	for index, instance := range f.instances {
		loops.Go(func() { instance.exchangeLoop(ctx, rand.New(rand.NewPCG(uint64(index), 1))) })
	}
	loops.Go(func() { f.disturb(ctx) })
}

// disturb disconnects one instance in five for four seconds, at different times, and restarts others.
func (f *testFleet) disturb(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		time.Sleep(time.Second)
		for index, instance := range f.instances {
			if index%5 == 1 {
				instance.disconnected.Store((round+index)%12 < 4)
			}
			if instance.disconnected.Load() {
				instance.disturbedNanos.Store(time.Now().UnixNano())
			}
			if index%5 == 2 && (round+index)%9 == 0 {
				instance.restart()
			}
		}
	}
}

// fleetSizes are the numbers of instances; fleet_target_test.go has the largest one.
var fleetSizes = []int{6, 60}

// share counts how many of some events have a property.
type share struct{ with, total int }

func (s *share) add(with bool) {
	s.total++
	if with {
		s.with++
	}
}

func (s share) of() float64 { return float64(s.with) / float64(max(s.total, 1)) }
