package mirror

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror/mirrorpb"
	"plumbarrow.example/plumbarrow/standin/peers"
)

// maxChangeDelay is the shortest time within which an acknowledged change must be in force at all instances that
// reach the store: config_apply_ms and drain_ms of the users' smallest sites.
const maxChangeDelay = 2 * time.Second

// storeLink is one instance's path to the store. It counts the calls and can lose them.
type storeLink struct {
	store    *fakeStore
	transmit func(ctx context.Context, bytes int) error // takes the time that the bytes need on the instance's link

	mu     sync.Mutex
	calls  int
	bytes  int64
	broken error // returned by every call
	silent bool  // calls, also waiting ones, get no answer
	cut    chan struct{}
}

// call counts a call and returns its error, and a channel that is closed when the path changes.
func (l *storeLink) call(ctx context.Context) (<-chan struct{}, error) {
	l.mu.Lock()
	l.calls++
	broken, silent, cut := l.broken, l.silent, l.cut
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return cut, ctx.Err()
	}
	return cut, broken
}

// set changes the path. It takes the waiting calls with it.
func (l *storeLink) set(broken error, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken, l.silent = broken, silent
	close(l.cut)
	l.cut = make(chan struct{})
}

func (l *storeLink) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken != nil || l.silent
}

func (l *storeLink) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Range implements Store.
func (l *storeLink) Range(ctx context.Context, after string, progress Progress) (Page, error) {
	if _, err := l.call(ctx); err != nil {
		return Page{}, err
	}
	page, err := l.store.Range(ctx, after, progress)
	if err != nil {
		return Page{}, err
	}
	return page, l.receive(ctx, page.Documents, progress)
}

// Get implements Store.
func (l *storeLink) Get(ctx context.Context, key string, progress Progress) (Document, error) {
	if _, err := l.call(ctx); err != nil {
		return Document{}, err
	}
	document, err := l.store.Get(ctx, key, progress)
	if err != nil {
		return Document{}, err
	}
	return document, l.receive(ctx, []Document{document}, progress)
}

// receive takes the time that an answer with the documents needs on the instance's link.
func (l *storeLink) receive(ctx context.Context, documents []Document, progress Progress) error {
	total := int64(0)
	for _, document := range documents {
		total += int64(len(document.Key) + base64.StdEncoding.EncodedLen(len(document.Value)) + 100)
	}
	l.mu.Lock()
	l.bytes += total
	l.mu.Unlock()
	const piece = 8 << 10
	for received := int64(0); received < total; received += piece {
		if err := progress(received, total); err != nil {
			return err
		}
		if err := l.transmit(ctx, int(min(piece, total-received))); err != nil {
			return err
		}
	}
	return progress(total, total)
}

// Watch implements Store.
func (l *storeLink) Watch(ctx context.Context, after Position, wait time.Duration, progress Progress) (Changes, error) {
	cut, err := l.call(ctx)
	if err != nil {
		return Changes{}, err
	}
	type result struct {
		changes Changes
		err     error
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan result, 1)
	go func() {
		changes, err := l.store.Watch(watchCtx, after, wait, progress)
		if err == nil {
			err = l.receive(watchCtx, changes.Documents, progress)
		}
		done <- result{changes, err}
	}()
	select {
	case answer := <-done:
		return answer.changes, answer.err
	case <-cut:
		cancel()
		<-done
	}
	l.mu.Lock()
	broken, silent := l.broken, l.silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	return Changes{}, errors.Join(errors.New("watch cut"), broken)
}

// fleetMembers are the members that an instance regards as live.
type fleetMembers struct {
	self machine.Member
	live *[]machine.Member
}

func (m fleetMembers) Self() machine.Member   { return m.self }
func (m fleetMembers) Live() []machine.Member { return *m.live }

// watchersAmong returns the watchers of a fleet of one instance, as it sees them.
func watchersAmong(id machine.InstanceID) *Watchers {
	members := []machine.Member{{ID: id, Address: string(id)}}
	return NewWatchers(fleetMembers{self: members[0], live: &members})
}

// fleetInstance is one instance of a fleet in memory.
type fleetInstance struct {
	member machine.Member
	link   *storeLink
	mirror *Mirror
	topic  *Topic
	stop   context.CancelFunc
	// applied are the changes that took effect, oldest first. Only the mirror's tasks write to it.
	applied []appliedChange
}

type appliedChange struct {
	key      string
	revision uint64
	at       time.Time
}

func (i *fleetInstance) watching() bool { return i.topic.watchers.Watching() }

// fleet is a fleet of mirrors of one store, without the exchange: changes and confirmations travel by watches and
// polls only.
type fleet struct {
	t         *testing.T
	store     *fakeStore
	network   *peers.Network
	members   []machine.Member
	instances []*fleetInstance
	at        map[int]func()            // called before the change of that index in a play
	left      func(*fleetInstance) bool // which instances a play leaves out; nil for none
	earlier   func(machine.Member) bool // which instances are of the version before; nil for none
}

func startFleet(t *testing.T, size int) *fleet { return startFleetOn(t, size, nil, nil) }

// startFleetOn starts a fleet whose members have links of the given rates, by index in Mbit/s; nil for links without a limit. Those for which earlier
// is true are of the version before, which does not state its link.
func startFleetOn(t *testing.T, size int, linkMbps func(i int) float64, earlier func(i int) bool) *fleet {
	f := &fleet{t: t, store: newFakeStore(), network: peers.New(time.Millisecond)}
	f.earlier = func(m machine.Member) bool { return linkMbps != nil && m.LinkMbps == 0 }
	f.store.pageSize = 500
	f.store.put("op/config", "1")
	for i := range size {
		id := fmt.Sprintf("entry-%03d", i)
		member := machine.Member{ID: machine.InstanceID(id), Address: id}
		if linkMbps != nil {
			member.LinkMbps = linkMbps(i)
			f.network.SetBandwidth(id, member.LinkMbps*1e6/8)
			if earlier != nil && earlier(i) {
				member.LinkMbps = 0
			}
		}
		f.members = append(f.members, member)
	}
	// All nodes are registered before the first one is called.
	for _, member := range f.members {
		f.instances = append(f.instances, f.create(t, member))
	}
	for _, instance := range f.instances {
		instance.run(t)
	}
	return f
}

func (f *fleet) create(t *testing.T, member machine.Member) *fleetInstance {
	node := f.network.Node(member.Address)
	instance := &fleetInstance{member: member, link: &storeLink{store: f.store, cut: make(chan struct{}), transmit: node.Transmit}}
	var network interface {
		link.Peers
		drpc.Mux
	} = node
	if f.earlier != nil && f.earlier(member) {
		network = earlierNode{node}
	}
	m := New(slog.New(slog.DiscardHandler), instance.record)
	topic := NewTopic(m, network, NewWatchers(fleetMembers{self: member, live: &f.members}))
	if err := topic.Register(network); err != nil {
		t.Fatal(err)
	}
	instance.mirror, instance.topic = m, topic
	return instance
}

// record is the instance's listener.
func (i *fleetInstance) record(changed []Document, _ time.Time) {
	for _, document := range changed {
		i.applied = append(i.applied, appliedChange{document.Key, document.Revision, time.Now()})
	}
}

// run starts the instance's tasks.
func (i *fleetInstance) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	i.stop = cancel
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = i.mirror.Follow(ctx, i.link, i.topic.Watching) })
	tasks.Go(func() { _ = i.topic.Run(ctx) })
	tasks.Go(func() { _ = i.topic.Poll(ctx) })
	t.Cleanup(func() { cancel(); tasks.Wait() })
}

func (f *fleet) watchers() []*fleetInstance {
	var watchers []*fleetInstance
	for _, instance := range f.instances {
		if instance.watching() {
			watchers = append(watchers, instance)
		}
	}
	return watchers
}

func (f *fleet) calls() int {
	total := 0
	for _, instance := range f.instances {
		total += instance.link.count()
	}
	return total
}

// awaitValue returns how long it takes until all instances but the excepted ones have the value, at most limit.
func (f *fleet) awaitValue(key, want string, limit time.Duration, except ...*fleetInstance) time.Duration {
	started := time.Now()
	for time.Since(started) < limit {
		synctest.Wait()
		if f.behind(key, want, except) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func (f *fleet) behind(key, want string, except []*fleetInstance) int {
	behind := 0
	for _, instance := range f.instances {
		excepted := false
		for _, other := range except {
			excepted = excepted || other == instance
		}
		if !excepted && value(instance.mirror, key) != want {
			behind++
		}
	}
	return behind
}

// fleetSizes are the numbers of instances. The race detector cannot run the largest one, see fleet_target_test.go.
var fleetSizes = []int{12, 60}

// TestFleetCalls checks that the calls of a calm fleet to the store grow with its watchers, not with its instances:
// under 10 a second up to 300 instances, plus what changes cause.
func TestFleetCalls(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(t, size)
				time.Sleep(3 * time.Second)
				before := f.calls()
				const seconds = 10
				time.Sleep(seconds * time.Second)
				rate := float64(f.calls()-before) / seconds
				c.Logf("%d instances, %d watchers: %.1f calls a second", size, len(f.watchers()), rate)
				c.Check(rate < 10, qt.IsTrue, qt.Commentf("%.1f calls a second", rate))
				before = f.calls()
				f.store.put("op/config", "2")
				time.Sleep(time.Second)
				c.Check(f.calls()-before <= 10+3*len(f.watchers()), qt.IsTrue, qt.Commentf("%d calls", f.calls()-before))
			})
		})
	}
}

// TestFleetStorm checks that a series of changes, as instances that restart one after the other cause, takes a few
// calls a second of each watcher and none of the others.
func TestFleetStorm(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(t, size)
				time.Sleep(3 * time.Second)
				before := f.calls()
				const seconds, perSecond = 5, 20
				for i := range seconds * perSecond {
					f.store.put("plumbarrow/members/entry", fmt.Sprint(i))
					time.Sleep(time.Second / perSecond)
				}
				rate := float64(f.calls()-before) / seconds
				c.Logf("%d instances: %.1f calls a second", size, rate)
				c.Check(rate <= 5*float64(len(f.watchers())), qt.IsTrue, qt.Commentf("%.1f calls a second", rate))
			})
		})
	}
}

// TestFleetLargeDocument changes a document of half a megabyte, as a configuration of many routes is. Replies to polls
// must not carry it: the watchers' links would be busy for seconds with the copies for all followers. Each follower
// reads it from the store instead, unless the store turns it away.
func TestFleetLargeDocument(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(t, size)
				time.Sleep(3 * time.Second)
				var follower *fleetInstance
				for _, instance := range f.instances {
					if !instance.watching() {
						follower = instance
					}
				}
				before := f.calls()
				large := strings.Repeat("x", 500_000)
				f.store.put("op/config", large)
				reply, err := f.watchers()[0].topic.Changes(t.Context(), &mirrorpb.ChangesRequest{
					After: follower.mirror.Revision(), WaitMs: 100, MaxBytes: maxPollBytes,
				})
				c.Assert(err, qt.IsNil)
				c.Check(reply.GetTooLarge(), qt.IsTrue)
				c.Check(reply.GetDocuments(), qt.HasLen, 0)
				took := f.awaitValue("op/config", large, maxChangeDelay)
				c.Logf("in force after %d ms, %d calls", took.Milliseconds(), f.calls()-before)
				c.Check(took <= maxChangeDelay/2, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
				c.Check(f.calls()-before <= 2*size, qt.IsTrue, qt.Commentf("%d calls", f.calls()-before))

				follower.link.set(errors.New("refused"), false)
				f.store.put("op/config", large+"y")
				took = f.awaitValue("op/config", large+"y", 2*maxChangeDelay)
				c.Logf("in force after %d ms where the store turns an instance away", took.Milliseconds())
				c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
			})
		})
	}
}

// TestFleetWatcherFaults puts a fault on one watcher, then changes a document: a leaving endpoint, an evacuation
// or a withdrawn key. All other instances must have the change within maxChangeDelay.
func TestFleetWatcherFaults(t *testing.T) {
	refused := errors.New("refused")
	faults := map[string]func(f *fleet, watcher *fleetInstance){
		"none": func(*fleet, *fleetInstance) {},
		"killed": func(f *fleet, watcher *fleetInstance) {
			watcher.stop()
			f.network.Remove(watcher.member.Address)
		},
		"frozen": func(f *fleet, watcher *fleetInstance) {
			watcher.link.set(nil, true)
			f.network.SetSilent(watcher.member.Address, true)
		},
		"store turns it away": func(_ *fleet, watcher *fleetInstance) { watcher.link.set(refused, false) },
		"store silent":        func(_ *fleet, watcher *fleetInstance) { watcher.link.set(nil, true) },
		"cut from peers":      func(f *fleet, watcher *fleetInstance) { f.network.SetSilent(watcher.member.Address, true) },
	}
	for name, fault := range faults {
		for _, size := range fleetSizes {
			t.Run(fmt.Sprintf("%s/%d", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f := startFleet(t, size)
					time.Sleep(3 * time.Second)
					watcher := f.watchers()[0]
					fault(f, watcher)
					time.Sleep(time.Millisecond)
					f.store.put("op/config", "2")
					took := f.awaitValue("op/config", "2", 2*maxChangeDelay, watcher)
					c.Logf("in force after %d ms", took.Milliseconds())
					c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
				})
			})
		}
	}
}

// TestFleetAllWatchersFail checks that a change is in force within maxChangeDelay though all watchers fail at once,
// at the moment at which their copies had just been confirmed.
func TestFleetAllWatchersFail(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(t, size)
				time.Sleep(3 * time.Second)
				failed := f.watchers()
				for _, watcher := range failed {
					watcher.link.set(nil, true)
				}
				f.store.put("op/config", "2")
				took := f.awaitValue("op/config", "2", 2*maxChangeDelay, failed...)
				c.Logf("in force after %d ms", took.Milliseconds())
				c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
			})
		})
	}
}

// TestFleetTurnedAway checks that instances which the store turns away follow those that it serves, and do not call
// the store more than a few times a second meanwhile.
func TestFleetTurnedAway(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(t, size)
				time.Sleep(3 * time.Second)
				served := f.watchers()[0]
				for _, instance := range f.instances {
					if instance != served {
						instance.link.set(errors.New("refused"), false)
					}
				}
				time.Sleep(3 * time.Second)
				before := f.calls()
				f.store.put("op/config", "2")
				took := f.awaitValue("op/config", "2", 2*maxChangeDelay)
				c.Logf("in force after %d ms", took.Milliseconds())
				c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
				time.Sleep(10*time.Second - took)
				rate := float64(f.calls()-before) / 10
				c.Logf("%.1f calls a second", rate)
				c.Check(rate < 10+float64(size)/4, qt.IsTrue, qt.Commentf("%.1f calls a second", rate))
			})
		})
	}
}

// TestFleetOldCopy checks that an instance whose copy is old cannot confirm the copies of others, whatever it
// answers, and that its documents do not replace newer ones.
func TestFleetOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(t, 12)
		time.Sleep(3 * time.Second)
		old := f.watchers()[0]
		old.link.set(nil, true)
		f.store.put("op/config", "2")
		took := f.awaitValue("op/config", "2", 2*maxChangeDelay, old)
		c.Check(took <= maxChangeDelay, qt.IsTrue, qt.Commentf("in force after %d ms", took.Milliseconds()))
		f.store.remove("op/config")
		time.Sleep(maxChangeDelay)
		for _, instance := range f.instances {
			_, _ = instance.topic.fetch(t.Context(), old.member, 0, time.Second)
			c.Check(value(instance.mirror, "op/config"), qt.Equals, "none", qt.Commentf("%s", instance.member.ID))
		}
	})
}

// TestConfirmedAfterDelay checks that a reply that was delayed confirms the copy only for the time for which
// the sender's copy was known to be complete.
func TestConfirmedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := peers.New(100 * time.Millisecond)
		source, target := network.Node("source"), network.Node("target")
		sourceMirror := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		sourceMirror.apply([]Document{{Key: "k", Revision: 3}}, Position{Revision: 3})
		sourceMirror.confirm(time.Now())
		time.Sleep(500 * time.Millisecond)
		c.Assert(NewTopic(sourceMirror, source, watchersAmong("source")).Register(source), qt.IsNil)
		targetMirror := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
		topic := NewTopic(targetMirror, target, nil)
		_, err := topic.fetch(t.Context(), machine.Member{ID: "source", Address: "source"}, 0, time.Second)
		c.Assert(err, qt.IsNil)
		age, ok := targetMirror.ConfirmedAge()
		c.Assert(ok, qt.IsTrue)
		c.Check(age >= 700*time.Millisecond, qt.IsTrue, qt.Commentf("%d ms", age.Milliseconds()))
	})
}

// TestWatchersBalanced checks that the watchers of a fleet are few and share the polls about evenly.
func TestWatchersBalanced(t *testing.T) {
	c := qt.New(t)
	var members []machine.Member
	for i := range 300 {
		members = append(members, machine.Member{ID: machine.InstanceID(fmt.Sprintf("entry-%03d", i))})
	}
	polls := make(map[machine.InstanceID]int)
	for _, member := range members {
		watchers := NewWatchers(fleetMembers{self: member, live: &members})
		if !watchers.Watching() {
			polls[watchers.Sources()[0].ID]++
		}
	}
	c.Check(len(polls), qt.Equals, minWatchers+300/membersPerWatcher)
	for id, count := range polls {
		c.Check(count <= 2*300/len(polls), qt.IsTrue, qt.Commentf("%s serves %d polls", id, count))
	}
}
