package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/pause"
)

const (
	// siteChangeDelay is config_apply_ms and drain_ms of the users' sites of 80 instances and more.
	siteChangeDelay = 3 * time.Second
	// siteLagAim is how long after the first instance the last one is to have a change.
	siteLagAim = time.Second
)

// siteLinks returns the link of an instance in Mbit/s: one in 14 has 200, one in 4 has 25, the others have 10.
func siteLinks(i int) float64 {
	switch {
	case i%14 == 3:
		return 200
	case i%4 == 1:
		return 25
	}
	return 10
}

func slowLinks(int) float64 { return 10 }

// routesDocument returns a configuration of some 270 bytes a route, with names that do not repeat.
func routesDocument(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r%06x-%d","host":"h%02d.example","path_prefix":"/p%08x/","kind":"streaming","timeout_ms":8000,"goal_ms":1500,`+
			`"priority":1,"service":"models-%d","max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_target_ms":900,`+
			`"size_classes":["small","large"]},`, random.Uint32N(1<<24), i, i%20, random.Uint32(), i%3)
	}
	return []byte(text.String())
}

// change is a document that a play writes after some time.
type change struct {
	after time.Duration
	key   string
	value []byte
}

// series returns versions of a large configuration with an endpoint that leaves after each, and the final size in routes.
func series(versions int, gap time.Duration, sizes ...int) []change {
	var changes []change
	for i := range versions {
		document := routesDocument(sizes[i*len(sizes)/versions])
		copy(document[len(document)/(i+2):], fmt.Sprintf("version %d", i))
		changes = append(changes, change{gap, "op/config", document}, change{time.Millisecond, fmt.Sprintf("servers/%d", i), []byte("draining")})
	}
	return changes
}

// play writes the changes and returns how long after the write, and after the first instance, the last instance had each key's slowest one.
func (f *fleet) play(changes []change) (afterWrite, afterFirst map[string]time.Duration) {
	type written struct {
		change
		revision uint64
		at       time.Time
	}
	var all []written
	for i, change := range changes {
		time.Sleep(change.after)
		if fault := f.at[i]; fault != nil {
			fault()
		}
		all = append(all, written{change, f.store.put(change.key, string(change.value)), time.Now()})
	}
	time.Sleep(3 * siteChangeDelay)
	synctest.Wait()
	afterWrite, afterFirst = make(map[string]time.Duration), make(map[string]time.Duration)
	for _, w := range all {
		var took []time.Duration
		for _, instance := range f.instances {
			if f.left != nil && f.left(instance) {
				continue
			}
			i := slices.IndexFunc(instance.applied, func(a appliedChange) bool { return a.key == w.key && a.revision >= w.revision })
			if i < 0 {
				took = append(took, time.Hour)
				continue
			}
			took = append(took, instance.applied[i].at.Sub(w.at))
		}
		name, _, _ := strings.Cut(w.key, "/")
		afterWrite[name] = max(afterWrite[name], slices.Max(took))
		afterFirst[name] = max(afterFirst[name], slices.Max(took)-slices.Min(took))
	}
	return afterWrite, afterFirst
}

// pressLinks occupies a share of each link, as callers' prompts do.
func (f *fleet) pressLinks(t *testing.T, share float64) {
	if share == 0 {
		return
	}
	const interval = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	for i, member := range f.members {
		transmit := f.instances[i].link.transmit
		tasks.Go(func() {
			for pause.Sleep(ctx, interval) {
				_ = transmit(ctx, int(member.LinkMbps*1e6/8*share*interval.Seconds()))
			}
		})
	}
	t.Cleanup(func() { cancel(); tasks.Wait() })
}

// TestFleetLargeConfigurations guards against changes that are in force late where the configuration is large (incident 0040): each
// version went whole to each instance, transfers that took too long were discarded, and leaving endpoints waited behind them.
func TestFleetLargeConfigurations(t *testing.T) {
	links := map[string]func(int) float64{"site": siteLinks, "slow": slowLinks}
	plays := []struct {
		name    string
		links   string
		size    int
		pressed float64
		changes []change
		aim     time.Duration    // of the lag behind the first instance; 0 for none
		earlier func(i int) bool // which instances are of the version before; nil for none
	}{
		{"one", "site", 86, 0, series(1, 0, 3000), siteLagAim, nil},
		{"series", "site", 86, 0, series(12, time.Second, 1500, 3000), siteLagAim, nil},
		{"storm", "site", 86, 0, series(25, 60*time.Millisecond, 3000), siteLagAim, nil},
		{"pressed", "site", 86, 0.5, series(8, time.Second, 1500, 3000), siteLagAim, nil},
		{"slow links", "slow", 30, 0, series(6, time.Second, 1500, 3000), 0, nil},
		{"storm on slow links", "slow", 30, 0, series(25, 60*time.Millisecond, 1500), 0, nil},
		{"one of the version before", "site", 86, 0, series(8, time.Second, 3000), 0, func(i int) bool { return i == 20 }},
		{"half of the version before", "site", 86, 0, series(4, 2*time.Second, 1500), 0, func(i int) bool { return i%2 == 0 }},
		{"one of this version", "site", 86, 0, series(4, 2*time.Second, 1500), 0, func(i int) bool { return i != 20 }},
	}
	for _, play := range plays {
		t.Run(play.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleetOn(t, play.size, links[play.links], play.earlier)
				f.store.put("op/config", string(routesDocument(50)))
				f.pressLinks(t, play.pressed)
				time.Sleep(3 * time.Second)
				before := bytesOf(f.instances)
				afterWrite, afterFirst := f.play(play.changes)
				c.Logf("after the write %v, after the first instance %v; %d KB from the store", afterWrite, afterFirst, (bytesOf(f.instances)-before)/1000)
				for key, took := range afterWrite {
					c.Check(took <= siteChangeDelay, qt.IsTrue, qt.Commentf("%s after %v", key, took))
					c.Check(play.aim == 0 || afterFirst[key] <= play.aim, qt.IsTrue, qt.Commentf("%s %v after the first instance", key, afterFirst[key]))
				}
			})
		})
	}
}

// TestFleetLargeConfigurationFaults is TestFleetLargeConfigurations beside faults: watchers that the store does not answer, and an instance that
// starts between two versions. The instances at fault are left out, except the one that starts.
func TestFleetLargeConfigurationFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"watchers cut from the store": func(f *fleet) {
			for _, watcher := range f.watchers() {
				watcher.link.set(nil, true)
			}
		},
		"watchers turned away": func(f *fleet) {
			for _, watcher := range f.watchers() {
				watcher.link.set(errors.New("refused"), false)
			}
		},
		"one watcher frozen": func(f *fleet) {
			f.watchers()[0].link.set(nil, true)
			f.network.SetSilent(f.watchers()[0].member.Address, true)
		},
		"start": func(f *fleet) { f.restart(20) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleetOn(t, 86, siteLinks, nil)
				f.store.put("op/config", string(routesDocument(1500)))
				time.Sleep(3 * time.Second)
				changes := series(6, time.Second, 3000)
				f.at = map[int]func(){4: func() { fault(f) }}
				f.left = func(i *fleetInstance) bool { return i.link.isBroken() }
				afterWrite, afterFirst := f.play(changes)
				c.Logf("after the write %v, after the first instance %v", afterWrite, afterFirst)
				for key, took := range afterWrite {
					c.Check(took <= siteChangeDelay, qt.IsTrue, qt.Commentf("%s after %v", key, took))
				}
			})
		})
	}
}

// TestFleetQueuedLinks guards against instances that fall back to the store because replies of peers take longer than usual on their links: from there
// each change of the configuration takes them seconds.
func TestFleetQueuedLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleetOn(t, 86, siteLinks, nil)
		f.store.put("op/config", string(routesDocument(1500)))
		time.Sleep(3 * time.Second)
		var queued []*fleetInstance
		for i, instance := range f.instances {
			if siteLinks(i) == 10 && i%2 == 0 {
				f.network.SetQueue(instance.member.Address, 450*time.Millisecond)
				queued = append(queued, instance)
			}
		}
		time.Sleep(3 * time.Second)
		before := bytesOf(queued)
		changes := series(8, time.Second, 3000)
		afterWrite, _ := f.play(changes)
		perInstance := (bytesOf(queued) - before) / int64(len(queued))
		c.Logf("after the write %v; %d KB from the store at each of %d instances", afterWrite, perInstance/1000, len(queued))
		for key, took := range afterWrite {
			c.Check(took <= siteChangeDelay, qt.IsTrue, qt.Commentf("%s after %v", key, took))
		}
		versions := perInstance / int64(len(changes[0].value))
		c.Check(versions <= 2, qt.IsTrue, qt.Commentf("%d of 8 versions were read from the store", versions))
	})
}

// TestTransferTimeouts guards against answers that are discarded while they arrive (incident 0040): a transfer ends when no byte has come for a
// while, however long it takes, and at transferTimeout.
func TestTransferTimeouts(t *testing.T) {
	for name, play := range map[string]struct {
		pauses []time.Duration // before each piece of the answer
		err    error
	}{
		"whole after seconds": {[]time.Duration{700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond}, nil},
		"late start":          {[]time.Duration{1300 * time.Millisecond}, nil},
		"no start":            {[]time.Duration{1500 * time.Millisecond}, errSilent},
		"silence":             {[]time.Duration{10 * time.Millisecond, 900 * time.Millisecond}, errSilent},
		"tiny pieces":         {slices.Repeat([]time.Duration{400 * time.Millisecond}, 30), context.DeadlineExceeded},
		"large":               {[]time.Duration{time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond}, ErrLargeAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				m := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
				call := m.beginTransfer(t.Context(), 1400*time.Millisecond, 4000)
				var err error
				for i, wait := range play.pauses {
					if !pause.Sleep(call.ctx, wait) {
						err = context.Cause(call.ctx)
						break
					}
					size := int64(i+1) * 1000
					if len(play.pauses) > 10 {
						size /= 10
					}
					if err = call.progress(size, -1); err != nil {
						break
					}
				}
				c.Check(m.Traffic().UnderWay, qt.Equals, call.received)
				call.end()
				c.Check(errors.Is(err, play.err), qt.IsTrue, qt.Commentf("%v", err))
				c.Check([]int64{m.Traffic().UnderWay, m.Traffic().FromStore}, qt.DeepEquals, []int64{0, call.received})
			})
		})
	}
}

// TestLag checks the lag that instances report: that of the slowest change, passed on from peer to peer, and nothing for what is older than the process.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(t, 12)
		time.Sleep(3 * time.Second)
		follower := f.instances[slices.IndexFunc(f.instances, func(i *fleetInstance) bool { return !i.watching() })]
		var observed []time.Duration
		follower.mirror.OnLag(func(lag time.Duration) { observed = append(observed, lag) })
		f.store.put("op/config", "2")
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(observed, qt.HasLen, 1)
		f.network.SetSilent(follower.member.Address, true)
		follower.link.set(nil, true)
		f.store.put("op/config", "3")
		time.Sleep(2 * time.Second)
		f.network.SetSilent(follower.member.Address, false)
		time.Sleep(6 * time.Second) // its sources are avoided for a while
		synctest.Wait()
		c.Assert(observed, qt.HasLen, 2)
		c.Check(observed[0] < 300*time.Millisecond && observed[1] >= 2*time.Second, qt.IsTrue, qt.Commentf("%v", observed))
		c.Check(follower.mirror.LastLag(), qt.Equals, observed[1])
		f.restart(0)
		time.Sleep(time.Second)
		c.Check(value(f.instances[0].mirror, "op/config"), qt.Equals, "3")
		c.Check(f.instances[0].mirror.LastLag(), qt.Equals, time.Duration(0))
	})
}

// restart replaces an instance by one that knows nothing.
func (f *fleet) restart(index int) {
	f.instances[index].stop()
	f.instances[index] = f.create(f.t, f.members[index])
	f.instances[index].run(f.t)
}

// bytesOf returns the bytes that instances have received from the store.
func bytesOf(instances []*fleetInstance) int64 {
	var total int64
	for _, instance := range instances {
		instance.link.mu.Lock()
		total += instance.link.bytes
		instance.link.mu.Unlock()
	}
	return total
}
