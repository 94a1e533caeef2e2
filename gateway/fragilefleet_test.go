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

// fragileCase is a fleet in front of endpoints that state a tolerance from fragileFrom to fragileUntil. From contactTime later they let none
// wait, and one that rejects more than the tolerance in a second falls over.
type fragileCase struct {
	name      string
	instances int
	endpoints int
	slots     int
	places    int // running and waiting, outside that time
	leastRoom int // in that time; 0 means slots
	tolerance int
	work      time.Duration // mean; a half to one and a half of it
	load      float64       // against what the endpoints can do
	unstated  bool          // the answers do not state the load
	retries   int           // of a caller that is refused, each at another instance
	event     func(f *fragileFleet)
	served    float64 // least share of what the endpoints can do, or of the load, that has to be served in that time
}

const (
	fragileFrom  = 3 * time.Second
	fragileUntil = 15 * time.Second
	fragileEnd   = 21 * time.Second
	fallenFor    = 3 * time.Second
	suspectAfter = 2500 * time.Millisecond // until a silent peer is no longer live
	oneWay       = time.Millisecond        // between instances and endpoints
)

// fragileFleet plays a fragileCase.
type fragileFleet struct {
	fragileCase
	started   time.Time
	instances []*fragileInstance
	log       *slog.Logger

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*fragileEndpoint // by address
	starts    int                         // of endpoints
	falls     []time.Duration             // since started
	rejected  []time.Duration
	served    []time.Duration
	wanted    []time.Duration
	refused   time.Duration // sum of the time until a refusal
	refusals  int
}

// fragileInstance is one instance. Tests change cut, down and live.
type fragileInstance struct {
	fleet  *fragileFleet
	self   machine.Member
	server *Server
	table  *upstream.Table
	topics []link.Topic
	live   atomic.Pointer[[]machine.Member]
	cut    atomic.Bool // from its peers
	down   atomic.Bool // gets no callers, and has no peers
}

func (i *fragileInstance) Self() machine.Member   { return i.self }
func (i *fragileInstance) Live() []machine.Member { return *i.live.Load() }

// Probe implements quarantine.Prober.
func (i *fragileInstance) Probe(context.Context, string) error { return nil }

// fragileEndpoint is one process. The fleet's lock guards its fields.
type fragileEndpoint struct {
	id       machine.EndpointID
	address  string
	ended    chan struct{}
	slots    chan struct{} // one element per occupied slot
	held     int           // running and waiting
	rejected []time.Time   // in the last second
}

func (e *fragileEndpoint) report(slots int) upstream.Report {
	return upstream.Report{ID: e.id, Service: "app", Address: e.address, Zone: "a", Slots: slots}
}

// startEndpoint starts a process and announces it in place of the one before. The caller holds the lock.
func (f *fragileFleet) startEndpoint(address string) {
	f.starts++
	e := &fragileEndpoint{
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

func (f *fragileFleet) elapsed() time.Duration { return time.Since(f.started) }

// room returns how many requests an endpoint lets in now, and whether it states its tolerance and would fall.
func (f *fragileFleet) room() (places int, states, falls bool) {
	now := f.elapsed()
	states = now >= fragileFrom && now < fragileUntil
	falls = states && now >= fragileFrom+contactTime
	if !falls {
		return f.places, states, false
	}
	if f.leastRoom > 0 {
		return f.leastRoom, true, true
	}
	return f.slots, true, true
}

// enter lets a request in, or rejects it, whereupon the endpoint may fall over. The returned header is that of the answer.
func (f *fragileFleet) enter(address string) (e *fragileEndpoint, header http.Header, entered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e = f.endpoints[address]
	places, states, falls := f.room()
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
	if falls && len(e.rejected) > f.tolerance && !closed(e.ended) {
		close(e.ended)
		f.falls = append(f.falls, f.elapsed())
		time.AfterFunc(fallenFor, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.startEndpoint(address)
		})
	}
	header.Set("Not-Run", "1")
	return e, header, false
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Send implements Sender.
func (i *fragileInstance) Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	f := i.fleet
	time.Sleep(oneWay)
	f.mu.Lock()
	ended := closed(f.endpoints[out.Address].ended)
	f.mu.Unlock()
	if ended {
		return nil, &link.Failure{Verdict: verdict.NotRun, Reason: verdict.RetryNotSent, Err: errors.New("refused"), Refused: true}
	}
	e, header, entered := f.enter(out.Address)
	defer time.Sleep(oneWay)
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
	select {
	case <-time.After(work):
	case <-e.ended:
		return nil, lost
	case <-ctx.Done():
		return nil, lost
	}
	header.Set("Signature", "s")
	return &link.EndpointAnswer{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

// newInstance adds an instance that knows the given members.
func (f *fragileFleet) newInstance(number int) *fragileInstance {
	current := &catalog.Current{}
	current.Set(catalog.New(draft(1)))
	i := &fragileInstance{fleet: f, self: machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%03d", number))}}
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

// setMembers lets the given instances know each other as the live ones.
func setMembers(instances ...*fragileInstance) {
	var members []machine.Member
	for _, i := range instances {
		members = append(members, i.self)
	}
	for _, i := range instances {
		i.live.Store(&members)
	}
}

// connected returns the instances that are neither cut off nor down.
func (f *fragileFleet) connected() []*fragileInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *fragileInstance) bool { return i.cut.Load() || i.down.Load() })
}

// exchange exchanges the topics of an instance every 250 ms with its peers, or some of them, as zone.Exchange does.
func (i *fragileInstance) exchange(ctx context.Context, random *rand.Rand) {
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
func (f *fragileFleet) choose() *fragileInstance {
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
func (f *fragileFleet) call(number int) {
	started := f.elapsed()
	r := httptest.NewRequest(http.MethodPost, []string{"/read/x", "/book/x"}[number%2], strings.NewReader("body"))
	r.Host = "host"
	for name, value := range map[string]string{"Id": strconv.Itoa(number), "Key": "key", "Wait-Ms": "3000"} {
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

// perSecond returns how many of some events happened per second between two times.
func perSecond(events []time.Duration, from, until time.Duration) float64 {
	count := 0
	for _, at := range events {
		if at >= from && at < until {
			count++
		}
	}
	return float64(count) / (until - from).Seconds()
}

// checkFragile plays the case and asserts the platform's bound on falls, and that the endpoints were used.
func checkFragile(t *testing.T, play fragileCase) {
	c := qt.New(t)
	f := &fragileFleet{
		fragileCase: play, started: time.Now(), random: rand.New(rand.NewPCG(11, uint64(play.instances))), endpoints: make(map[string]*fragileEndpoint),
		log: slog.New(slog.DiscardHandler),
	}
	for n := range play.endpoints {
		f.startEndpoint(fmt.Sprintf("10.0.0.%d:80", n))
	}
	ctx, cancel := context.WithTimeout(context.Background(), fragileEnd)
	defer cancel()
	var loops, calls sync.WaitGroup
	for n := range play.instances {
		i := f.newInstance(n)
		loops.Go(func() { i.exchange(ctx, rand.New(rand.NewPCG(uint64(n), 1))) })
	}
	setMembers(f.instances...)
	if play.event != nil {
		loops.Go(func() { play.event(f) })
	}
	can := float64(play.endpoints*play.slots) / play.work.Seconds()
	for number := 0; ctx.Err() == nil; number++ {
		calls.Go(func() { f.call(number) })
		time.Sleep(time.Duration(float64(time.Second) / (can * play.load)))
	}
	loops.Wait()
	calls.Wait()
	from := fragileFrom + contactTime
	canThen := can
	if play.leastRoom > 0 {
		canThen = can * float64(play.leastRoom) / float64(play.slots)
	}
	served, wanted := perSecond(f.served, from, fragileUntil), perSecond(f.wanted, from, fragileUntil)
	after := perSecond(f.served, fragileUntil+2*time.Second+2*play.work, fragileEnd)
	c.Logf("%d instances, %d endpoints, tolerance %d: %d falls, %v; rejected per second: %.0f in calm, %.1f later; "+
		"served per second %.0f, %.0f, %.0f after, of %.0f, can %.0f; refused after %v", play.instances, play.endpoints, play.tolerance,
		len(f.falls), f.falls[:min(len(f.falls), 8)], perSecond(f.rejected, time.Second, fragileFrom), perSecond(f.rejected, from, fragileUntil),
		perSecond(f.served, time.Second, fragileFrom), served, after, wanted, can, f.refused/time.Duration(max(f.refusals, 1)))
	c.Check(float64(len(f.falls)) <= 2+0.1*float64(play.endpoints), qt.IsTrue)
	c.Check(served >= play.served*min(canThen, wanted), qt.IsTrue)
	c.Check(after >= 0.9*min(can, wanted), qt.IsTrue)
}

// TestFleetFragileEndpoints guards against endpoints that fall over because the instances together make them reject more requests than they
// say that they can (incident 0027), and against endpoints that stand idle for it.
func TestFleetFragileEndpoints(t *testing.T) {
	cut := func(f *fragileFleet) {
		time.Sleep(fragileFrom + 2*time.Second)
		one, others := f.instances[0], f.instances[1:]
		one.cut.Store(true)
		time.Sleep(suspectAfter)
		setMembers(one)
		setMembers(others...)
		time.Sleep(5 * time.Second)
		one.cut.Store(false)
		setMembers(f.instances...)
	}
	join := func(f *fragileFleet) {
		time.Sleep(fragileFrom + 5*time.Second)
		i := f.newInstance(f.fragileCase.instances)
		members := make([]machine.Member, 0, len(f.instances))
		for _, other := range f.instances {
			members = append(members, other.self)
		}
		i.live.Store(&members)
		go func() {
			time.Sleep(time.Second)
			setMembers(f.connected()...)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), fragileEnd-f.elapsed())
		defer cancel()
		i.exchange(ctx, rand.New(rand.NewPCG(99, 1)))
	}
	kill := func(f *fragileFleet) {
		time.Sleep(fragileFrom + 5*time.Second)
		f.instances[0].down.Store(true)
		time.Sleep(suspectAfter)
		setMembers(f.connected()...)
	}
	small := fragileCase{instances: 2, endpoints: 6, slots: 4, places: 16, tolerance: 3, work: 200 * time.Millisecond, load: 1.6, served: 0.9}
	middle := fragileCase{instances: 7, endpoints: 18, slots: 8, places: 16, tolerance: 3, work: 600 * time.Millisecond, load: 1.6, served: 0.9}
	with := func(name string, base fragileCase, change func(*fragileCase)) fragileCase {
		base.name = name
		if change != nil {
			change(&base)
		}
		return base
	}
	for _, play := range []fragileCase{
		with("two", small, func(p *fragileCase) { p.work = 100 * time.Millisecond }),
		with("two, tolerance 0", small, func(p *fragileCase) { p.tolerance = 0 }),
		with("two, load not stated", small, func(p *fragileCase) { p.unstated = true }),
		with("two, huge tolerance", small, func(p *fragileCase) { p.tolerance = 1 << 60 }),
		with("two, half the load", small, func(p *fragileCase) { p.load = 0.5 }),
		with("two, less room than slots", small, func(p *fragileCase) { p.leastRoom, p.served = 3, 0.5 }),
		with("two, half the slots", small, func(p *fragileCase) { p.leastRoom, p.served = 2, 0.5 }),
		with("two, half the slots, load not stated", small, func(p *fragileCase) { p.leastRoom, p.served, p.unstated = 2, 0.5, true }),
		with("seven", middle, nil),
		with("seven, half the slots", middle, func(p *fragileCase) { p.leastRoom, p.served = 4, 0.5 }),
		with("seven, half the slots, tolerance 1", middle, func(p *fragileCase) { p.leastRoom, p.served, p.tolerance = 4, 0.5, 1 }),
		with("seven, few slots, tolerance 1", middle, func(p *fragileCase) {
			p.endpoints, p.slots, p.places, p.tolerance, p.work = 3, 6, 24, 1, 60*time.Millisecond
		}),
		with("seven, few slots, half the load", middle, func(p *fragileCase) {
			p.endpoints, p.slots, p.places, p.work, p.load = 3, 6, 24, 60*time.Millisecond, 0.5
		}),
		with("seven, one cut off from its peers", middle, func(p *fragileCase) { p.event = cut }),
		with("seven, one joins", middle, func(p *fragileCase) { p.event = join }),
		with("seven, one is killed", middle, func(p *fragileCase) { p.event, p.served = kill, 0.8 }),
		with("sixty, fewer places than instances", middle, func(p *fragileCase) {
			p.instances, p.endpoints, p.slots, p.places, p.work, p.load, p.retries, p.served = 60, 6, 6, 24, 120*time.Millisecond, 0.4, 2, 0.8
		}),
		with("sixty, fewer places than instances, overload", middle, func(p *fragileCase) {
			p.instances, p.endpoints, p.slots, p.places, p.work, p.retries, p.served = 60, 6, 6, 24, 240*time.Millisecond, 2, 0.8
		}),
		with("sixty", middle, func(p *fragileCase) {
			p.instances, p.slots, p.places, p.work, p.served = 60, 16, 33, 1200*time.Millisecond, 0.8
		}),
	} {
		t.Run(play.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkFragile(t, play) })
		})
	}
}

// TestRejectionsThatCount guards against an answer without a run that says nothing about room, as for a request that is too large, and that
// takes an endpoint's places.
func TestRejectionsThatCount(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct{ status, rejections int }{
		{http.StatusServiceUnavailable, 1}, {http.StatusRequestEntityTooLarge, 0}, {http.StatusGatewayTimeout, 0}, {http.StatusMisdirectedRequest, 0},
	} {
		f := newFixture(answer{status: row.status, header: "Not-Run: 1\nTolerance: 3"}, signed(http.StatusOK, "ok"))
		c.Check(f.call("read").status, qt.Equals, http.StatusOK)
		c.Check(strings.Count(f.log.String(), "fragile endpoint rejected"), qt.Equals, row.rejections, qt.Commentf("%v", row))
	}
}
