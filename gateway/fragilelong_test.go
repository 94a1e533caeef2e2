//go:build !race

// Fleets that the race detector needs minutes for; .ci/run plays them without it.

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// rvCase is a fleet in front of endpoints that state a tolerance from rvFrom to rvUntil. From contactTime later they let none
// wait, and one that rejects more than the tolerance in a second falls over.
type rvCase struct {
	name                  string
	instances             int
	endpoints             int
	slots                 int
	places                int // running and waiting, outside that time
	leastRoom             int // in that time; 0 means slots
	tolerance             int
	work                  time.Duration // mean; a half to one and a half of it
	load                  float64       // against what the endpoints can do
	unstated              bool          // the answers do not state the load
	retries               int           // of a caller that is refused, each at another instance
	event                 func(f *rvFleet)
	wait                  string
	keepsAbandoned        bool
	model                 bool
	states                func(address string, now time.Duration) (states, falls bool)
	quietFrom, quietUntil time.Duration
	served                float64 // least share of what the endpoints can do, or of the load, that has to be served in that time
}

const (
	rvFrom         = 20 * time.Second
	rvUntil        = 62 * time.Second
	rvEnd          = 90 * time.Second
	rvFallenFor    = 3 * time.Second
	rvSuspectAfter = 2500 * time.Millisecond // until a silent peer is no longer live
	rvOneWay       = time.Millisecond        // between instances and endpoints
)

// rvFleet plays a rvCase.
type rvFleet struct {
	rvCase
	started   time.Time
	instances []*rvInstance
	log       *slog.Logger
	present   atomic.Pointer[[]machine.Member]

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*rvEndpoint // by address
	starts    int                    // of endpoints
	falls     []time.Duration        // since started
	rejected  []time.Duration
	served    []time.Duration
	wanted    []time.Duration
	refused   time.Duration // sum of the time until a refusal
	refusals  int
}

func (f *rvFleet) waitMs() string {
	if f.wait == "" {
		return "3000"
	}
	return f.wait
}

// rvInstance is one instance. Tests change cut, down and live.
type rvInstance struct {
	fleet  *rvFleet
	self   machine.Member
	server *Server
	table  *upstream.Table
	topics []link.Topic
	live   atomic.Pointer[[]machine.Member]
	cut    atomic.Bool // from its peers
	down   atomic.Bool // gets no callers, and has no peers
}

func (i *rvInstance) Self() machine.Member   { return i.self }
func (i *rvInstance) Live() []machine.Member { return *i.live.Load() }

// Present returns the instances that the platform's list shows as live, which a cut between peers does not change.
func (i *rvInstance) Present() []machine.Member {
	if present := i.fleet.present.Load(); present != nil {
		return *present
	}
	return nil
}

// Probe implements quarantine.Prober.
func (i *rvInstance) Probe(context.Context, string) error { return nil }

// rvEndpoint is one process. The fleet's lock guards its fields.
type rvEndpoint struct {
	id       machine.EndpointID
	address  string
	ended    chan struct{}
	slots    chan struct{} // one element per occupied slot
	held     int           // running and waiting
	rejected []time.Time   // in the last second
}

func (e *rvEndpoint) report(slots int) upstream.Report {
	return upstream.Report{ID: e.id, Service: "app", Address: e.address, Zone: "a", Slots: slots}
}

// startEndpoint starts a process and announces it in place of the one before. The caller holds the lock.
func (f *rvFleet) startEndpoint(address string) {
	f.starts++
	e := &rvEndpoint{
		id: machine.EndpointID(fmt.Sprintf("i-%d", f.starts)), address: address, ended: make(chan struct{}), slots: make(chan struct{}, f.slots),
	}
	before := f.endpoints[address]
	f.endpoints[address] = e
	for _, i := range f.instances {
		if before != nil {
			i.table.Remove(before.id, time.Time{})
		}
		i.table.Apply(e.report(f.slots))
	}
}

func (f *rvFleet) elapsed() time.Duration { return time.Since(f.started) }

// room returns how many requests an endpoint lets in now, and whether it states its tolerance and would fall.
func (f *rvFleet) room(address string) (places int, states, falls bool) {
	now := f.elapsed()
	if f.states != nil {
		states, falls = f.states(address, now)
		if falls {
			return f.slots, states, true
		}
		return f.places, states, false
	}
	states = now >= rvFrom && now < rvUntil
	falls = states && now >= rvFrom+contactTime
	if !falls {
		return f.places, states, false
	}
	if f.leastRoom > 0 {
		return f.leastRoom, true, true
	}
	return f.slots, true, true
}

// enter lets a request in, or rejects it, whereupon the endpoint may fall over. The returned header is that of the answer.
func (f *rvFleet) enter(address string) (e *rvEndpoint, header http.Header, entered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e = f.endpoints[address]
	places, states, falls := f.room(address)
	header = make(http.Header)
	if states {
		header.Set("Tolerance", strconv.Itoa(f.tolerance))
	}
	if !f.unstated {
		header.Set("Held", strconv.Itoa(e.held))
	}
	if e.held < places {
		e.held++
		return e, header, true
	}
	now := time.Now()
	f.rejected = append(f.rejected, f.elapsed())
	e.rejected = slices.DeleteFunc(append(e.rejected, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if falls && len(e.rejected) > f.tolerance && !rvClosed(e.ended) {
		close(e.ended)
		f.falls = append(f.falls, f.elapsed())
		time.AfterFunc(rvFallenFor, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.startEndpoint(address)
		})
	}
	header.Set("Not-Run", "1")
	return e, header, false
}

func rvClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Send implements Sender.
func (i *rvInstance) Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	f := i.fleet
	time.Sleep(rvOneWay)
	f.mu.Lock()
	ended := rvClosed(f.endpoints[out.Address].ended)
	f.mu.Unlock()
	if ended {
		return nil, &link.Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: errors.New("refused"), Refused: true}
	}
	e, header, entered := f.enter(out.Address)
	defer time.Sleep(rvOneWay)
	if !entered {
		return &link.EndpointAnswer{Status: http.StatusServiceUnavailable, Header: header, Body: http.NoBody}, nil
	}
	defer func() {
		f.mu.Lock()
		e.held--
		f.mu.Unlock()
	}()
	lost := &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: io.ErrUnexpectedEOF}
	select {
	case e.slots <- struct{}{}:
	case <-e.ended:
		return nil, lost
	case <-ctx.Done():
		return nil, lost
	}
	defer func() { <-e.slots }()
	f.mu.Lock()
	work := f.work/2 + time.Duration(f.random.Int64N(int64(f.work)))
	f.mu.Unlock()
	if f.keepsAbandoned {
		select {
		case <-time.After(work):
		case <-e.ended:
			return nil, lost
		}
		if ctx.Err() != nil {
			return nil, lost
		}
	}
	select {
	case <-time.After(map[bool]time.Duration{true: 0, false: work}[f.keepsAbandoned]):
	case <-e.ended:
		return nil, lost
	case <-ctx.Done():
		return nil, lost
	}
	header.Set("Signature", "s")
	return &link.EndpointAnswer{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

// newInstance adds an instance that knows the given members.
func (f *rvFleet) newInstance(number int) *rvInstance {
	current := &catalog.Current{}
	d := draft(1)
	d.Services[0].Model = f.model
	for _, route := range d.Routes {
		route.Timeout = time.Minute
	}
	current.Set(catalog.New(d))
	i := &rvInstance{fleet: f, self: machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%03d", number))}}
	i.live.Store(&[]machine.Member{i.self})
	i.table = upstream.NewTable(i.self.ID, "a", current, i, telemetry.New(), f.log)
	suspects := quarantine.New(i, func() {}, telemetry.New(), f.log)
	i.server = New(Parts{
		CallerProtocol: plainProtocol{}, EndpointProtocol: plainProtocol{}, Current: current, Upstreams: i.table, Sender: i,
		Versions: fixedVersion{}, Quarantine: suspects, RetryBudget: NewRetryBudget(), EscalationPolicy: NewEscalationPolicy(),
		Counters: telemetry.New(), Log: f.log,
	})
	i.topics = []link.Topic{upstream.NewLoadTopic(i.table), upstream.NewToleranceTopic(i.table), suspects}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		i.table.Apply(e.report(f.slots))
	}
	f.instances = append(f.instances, i)
	return i
}

// rvSetMembers lets the given instances know each other as the live ones.
func rvSetMembers(instances ...*rvInstance) {
	var members []machine.Member
	for _, i := range instances {
		members = append(members, i.self)
	}
	for _, i := range instances {
		i.live.Store(&members)
	}
}

// connected returns the instances that are neither cut off nor down.
func (f *rvFleet) connected() []*rvInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *rvInstance) bool { return i.cut.Load() || i.down.Load() })
}

// exchange exchanges the topics of an instance every 250 ms with its peers, or some of them, as zone.Exchange does.
func (i *rvInstance) exchange(ctx context.Context, random *rand.Rand) {
	const fewMembers, fanout = 8, 4
	time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	for ctx.Err() == nil {
		peers := i.fleet.connected()
		random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
		if len(peers) > fewMembers {
			peers = peers[:fanout]
		}
		for _, peer := range peers {
			if peer == i || i.cut.Load() || i.down.Load() {
				continue
			}
			for n := range i.topics {
				peer.topics[n].Receive(i.self, i.topics[n].Message(peer.self))
				i.topics[n].Receive(peer.self, peer.topics[n].Message(i.self))
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// choose returns an instance. Some get twice as many callers as others.
func (f *rvFleet) choose() *rvInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		i := f.random.IntN(len(f.instances))
		if !f.instances[i].down.Load() && (i%2 == 0 || f.random.IntN(2) == 0) {
			return f.instances[i]
		}
	}
}

// call sends one caller's request.
func (f *rvFleet) call(number int) {
	started := f.elapsed()
	r := httptest.NewRequest(http.MethodPost, []string{"/read/x", "/book/x"}[number%2], strings.NewReader("body"))
	r.Host = "host"
	for name, value := range map[string]string{"Id": strconv.Itoa(number), "Key": "key", "Wait-Ms": f.waitMs()} {
		r.Header.Set(name, value)
	}
	seen := (&fixture{server: f.choose().server}).serve(r)
	for range f.retries {
		if seen.status != http.StatusServiceUnavailable {
			break
		}
		after, _ := strconv.ParseFloat(seen.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(after * float64(time.Second)))
		seen = (&fixture{server: f.choose().server}).serve(r.Clone(context.Background()))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = append(f.wanted, started)
	if seen.status == http.StatusOK {
		f.served = append(f.served, f.elapsed())
	} else {
		f.refusals++
		f.refused += f.elapsed() - started
	}
}

// rvPerSecond returns how many of some events happened per second between two times.
func rvPerSecond(events []time.Duration, from, until time.Duration) float64 {
	count := 0
	for _, at := range events {
		if at >= from && at < until {
			count++
		}
	}
	return float64(count) / (until - from).Seconds()
}

// rvCheck plays the case and asserts the platform's bound on falls, and that the endpoints were used.
func rvCheck(t *testing.T, play rvCase) {
	c := qt.New(t)
	f := &rvFleet{
		rvCase: play, started: time.Now(), random: rand.New(rand.NewPCG(11, uint64(play.instances))), endpoints: make(map[string]*rvEndpoint),
		log: slog.New(slog.DiscardHandler),
	}
	for n := range play.endpoints {
		f.startEndpoint(fmt.Sprintf("10.0.0.%d:80", n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), rvEnd)
	defer cancel()
	var loops, calls sync.WaitGroup
	for n := range play.instances {
		i := f.newInstance(n)
		loops.Go(func() { i.exchange(ctx, rand.New(rand.NewPCG(uint64(n), 1))) })
	}
	rvSetMembers(f.instances...)
	if play.event != nil {
		loops.Go(func() { play.event(f) })
	}
	can := float64(play.endpoints*play.slots) / play.work.Seconds()
	for number := 0; ctx.Err() == nil; number++ {
		if now := f.elapsed(); now < f.quietFrom || now >= f.quietUntil {
			calls.Go(func() { f.call(number) })
		}
		time.Sleep(time.Duration(float64(time.Second) / (can * play.load)))
	}
	loops.Wait()
	calls.Wait()
	from := rvFrom + contactTime
	canThen := can
	if play.leastRoom > 0 {
		canThen = can * float64(play.leastRoom) / float64(play.slots)
	}
	served, wanted := rvPerSecond(f.served, from, rvUntil), rvPerSecond(f.wanted, from, rvUntil)
	after := rvPerSecond(f.served, rvUntil+2*time.Second+2*play.work, rvEnd)
	c.Logf("%d instances, %d endpoints, tolerance %d: %d falls, %v; rejected per second: %.0f in calm, %.1f later; "+
		"served per second %.0f, %.0f, %.0f after, of %.0f, can %.0f; refused after %v", play.instances, play.endpoints, play.tolerance,
		len(f.falls), f.falls[:min(len(f.falls), 8)], rvPerSecond(f.rejected, time.Second, rvFrom), rvPerSecond(f.rejected, from, rvUntil),
		rvPerSecond(f.served, time.Second, rvFrom), served, after, wanted, can, f.refused/time.Duration(max(f.refusals, 1)))
	c.Check(float64(len(f.falls)) <= 2+0.1*float64(play.endpoints), qt.IsTrue)
	c.Check(served >= play.served*min(canThen, wanted), qt.IsTrue)
	c.Check(after >= 0.9*min(can, wanted), qt.IsTrue)
}

func rvWith(name string, change func(*rvCase)) rvCase {
	p := rvCase{
		name: name, instances: 7, endpoints: 18, slots: 8, places: 16, tolerance: 3, work: 600 * time.Millisecond, load: 1.6,
	}
	change(&p)
	return p
}

func rvRun(t *testing.T, plays ...rvCase) {
	for _, play := range plays {
		t.Run(play.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { rvCheck(t, play) })
		})
	}
}

// TestFleetFragileQuiet guards against endpoints that all fall over when the requests return to a service that had none for a while, as its
// tolerance is forgotten.
func TestFleetFragileQuiet(t *testing.T) {
	rvRun(t, rvWith("34 s without requests, then a burst, 60", func(p *rvCase) {
		p.load, p.quietFrom, p.quietUntil, p.instances, p.slots, p.work, p.places = 3, 24*time.Second, 58*time.Second, 60, 16, 1200*time.Millisecond, 33
	}))
}

// rvLong plays requests of 8 s at endpoints of 16 slots.
func rvLong(name string, instances, tolerance int) rvCase {
	return rvWith(name, func(p *rvCase) {
		p.instances, p.tolerance, p.model, p.work, p.wait, p.slots, p.places = instances, tolerance, true, 8*time.Second, "30000", 16, 24
	})
}

// TestFleetFragileLongWork guards against endpoints that fall over because they still hold more requests than slots when they cease to let
// any wait, as these last longer than the time since the tolerance became known.
func TestFleetFragileLongWork(t *testing.T) {
	rvRun(t, rvLong("seven", 7, 3), rvLong("seven, tolerance 1", 7, 1), rvLong("two, tolerance 1", 2, 1))
}

// TestFleetFragileLongWorkSixty guards against the same where the instances' knowledge of each other's requests is older.
func TestFleetFragileLongWorkSixty(t *testing.T) { rvRun(t, rvLong("sixty", 60, 3)) }

// TestFleetFragileLongCut guards against endpoints that fall over because an instance that is cut off from its peers for longer than
// departedHold, but not from the endpoints, and its peers each use all places.
func TestFleetFragileLongCut(t *testing.T) {
	rvRun(t, rvWith("seven, one cut off", func(p *rvCase) {
		p.event = func(f *rvFleet) {
			var members []machine.Member
			for _, i := range f.instances {
				members = append(members, i.self)
			}
			f.present.Store(&members)
			time.Sleep(rvFrom + 2*time.Second)
			one, others := f.instances[0], f.instances[1:]
			one.cut.Store(true)
			time.Sleep(rvSuspectAfter)
			rvSetMembers(one)
			rvSetMembers(others...)
		}
	}))
}

// TestFleetFragileRelay guards against places that stay unused because 4 of 7 instances reach no endpoint, pass their requests on
// (design 0020), and keep their parts.
func TestFleetFragileRelay(t *testing.T) {
	idle := func(n int) func(f *rvFleet) {
		return func(f *rvFleet) {
			time.Sleep(time.Second)
			for _, i := range f.instances[:n] {
				i.down.Store(true)
			}
		}
	}
	rvRun(t,
		rvWith("relay, 4 of 7 carry nothing, load 1.6", func(p *rvCase) { p.event, p.served = idle(4), 0.85 }),
		rvWith("relay, 4 of 7 carry nothing, load 0.7", func(p *rvCase) { p.event, p.load, p.served = idle(4), 0.7, 0.85 }),
	)
}

// TestFleetFragileLeftOut checks that nothing stays unused if those four are not counted.
func TestFleetFragileLeftOut(t *testing.T) {
	idleLeft := func(n int) func(f *rvFleet) {
		return func(f *rvFleet) {
			time.Sleep(time.Second)
			for _, i := range f.instances[:n] {
				i.down.Store(true)
			}
			rvSetMembers(f.instances[n:]...)
		}
	}
	rvRun(t,
		rvWith("left out, 4 of 7 carry nothing, load 0.7", func(p *rvCase) { p.event, p.load, p.served = idleLeft(4), 0.7, 0.85 }),
	)
}

// TestFleetFragileChanges guards against endpoints that fall over where only some of them state a tolerance, where they state it again
// later, and where instances start without peers.
func TestFleetFragileChanges(t *testing.T) {
	alone := func(f *rvFleet) {
		time.Sleep(rvFrom + 6*time.Second)
		for n := range 3 {
			i := f.newInstance(f.rvCase.instances + n)
			go func() {
				time.Sleep(500 * time.Millisecond)
				f.mu.Lock()
				all := append([]*rvInstance(nil), f.instances...)
				f.mu.Unlock()
				rvSetMembers(all...)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), rvEnd-f.elapsed())
			go func() {
				defer cancel()
				time.Sleep(500 * time.Millisecond)
				i.exchange(ctx, rand.New(rand.NewPCG(99, uint64(n))))
			}()
			time.Sleep(time.Second)
		}
	}
	some := func(address string, now time.Duration) (bool, bool) {
		odd := (address[len("10.0.0.")]-'0')%2 == 1
		return odd && now >= rvFrom && now < rvUntil, odd && now >= rvFrom+contactTime && now < rvUntil
	}
	twice := func(_ string, now time.Duration) (bool, bool) {
		at := now % (9 * time.Second) // 0 to 2 s only states; 4 to 9 s states, from 7 s on brittle
		return now < rvUntil && (at < 2*time.Second || at >= 4*time.Second), now < rvUntil && at >= 7*time.Second
	}
	rvRun(t, []rvCase{
		rvWith("some endpoints state", func(p *rvCase) { p.states = some }),
		rvWith("states 2 s, later again", func(p *rvCase) { p.states = twice }),
		rvWith("joins without peers", func(p *rvCase) { p.event = alone }),
	}...)
}
