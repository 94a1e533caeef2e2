package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/standin/kv"
)

func version(name string) contract.VersionID { return contract.VersionID{Model: "small", Name: name} }

// TestPinFirstWriterWins pins one session to different versions at all instances while calls and
// writes fail. All successful calls must return the same version.
func TestPinFirstWriterWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rapid.SampledFrom([]float64{0, 0.2, 0.4}).Draw(rt, "fault chance")
		var pinned map[contract.VersionID]int
		synctest.Test(t, func(*testing.T) { pinned = pinUnderFaults(seed, chance) })
		if len(pinned) > 1 {
			rt.Fatalf("one session has the versions %v", pinned)
		}
	})
}

// pinUnderFaults returns the number of successful calls by returned version.
func pinUnderFaults(seed uint64, chance float64) map[contract.VersionID]int {
	random := rand.New(rand.NewPCG(seed, 3))
	f := newFleet(kv.New(), seed, chance, "a", "a", "b", "b")
	pinned := make(map[contract.VersionID]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 16 {
		node, start := f.nodes[random.IntN(4)], pause(random, 300)
		callers.Go(func() {
			time.Sleep(start)
			got, err := node.ledger.Pins.Pin(context.Background(), "acme", "session", version(fmt.Sprint(i)))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				pinned[got]++
			}
		})
	}
	f.injectFaults(&callers, random, 4, allFaults, 300, 2000)
	callers.Wait()
	closeFleet(f)
	return pinned
}

// TestPinRenewalAndRepin uses a session for longer than a pin's lifetime, then moves it off a
// withdrawn version at two instances. The second one must get the version that the first one chose.
func TestPinRenewalAndRepin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0, "a", "b")
		defer closeFleet(f)
		pin := func(n int, name string) contract.VersionID {
			got, err := f.nodes[n].ledger.Pins.Pin(t.Context(), "acme", "session", version(name))
			c.Assert(err, qt.IsNil)
			return got
		}
		repin := func(n int, from, to string) contract.VersionID {
			got, err := f.nodes[n].ledger.Pins.Repin(t.Context(), "acme", "session", version(from), version(to))
			c.Assert(err, qt.IsNil)
			return got
		}
		for i := range 10 {
			c.Assert(pin(i%2, fmt.Sprint("v", i+1)), qt.Equals, version("v1"))
			time.Sleep(10 * time.Hour)
		}
		c.Assert(repin(0, "v1", "v2"), qt.Equals, version("v2"))
		c.Assert(repin(1, "v1", "v3"), qt.Equals, version("v2"))
		c.Assert(pin(1, "v4"), qt.Equals, version("v2"))
		time.Sleep(48 * time.Hour)
		c.Assert(pin(1, "v5"), qt.Equals, version("v5"))
	})
}
