package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/verdict"
)

// service counts its executions by key and by request id.
type service struct {
	mu       sync.Mutex
	keys     map[string]int
	requests map[string]int
}

func newService() *service {
	return &service{keys: make(map[string]int), requests: make(map[string]int)}
}

func (s *service) run(key, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[key]++
	s.requests[request]++
}

func (s *service) ran(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[request] > 0
}

func claimOf(n *node, key, request string) Claim {
	return Claim{
		Key:       ClaimKey{Customer: "acme", Route: "bookings", Key: key},
		Digest:    Digest{1},
		RequestID: request,
		Claimer:   n.self,
		ClaimedAt: time.Now(),
	}
}

// serve acts as an entry instance: it claims the key, dispatches at most once after delay, and
// records the outcome after duration. It returns the caller's verdict and answer body.
func serve(s *service, n *node, key, request string, delay, duration time.Duration) (verdict.Verdict, string) {
	claim := claimOf(n, key, request)
	result, err := n.ledger.Claims.Claim(context.Background(), claim)
	if err != nil {
		return verdict.RefusalOf(err).Verdict, ""
	}
	switch result.Standing {
	case Finished:
		return result.Outcome.Verdict, string(result.Outcome.Body)
	case Granted:
	default:
		return verdict.MayHaveRun, ""
	}
	time.Sleep(delay)
	if n.check(func(n *node) bool { return n.dead }) {
		return verdict.MayHaveRun, ""
	}
	if time.Now().After(result.Expires) {
		_ = n.ledger.Claims.Finish(context.Background(), claim, Outcome{Verdict: verdict.NotRun})
		return verdict.NotRun, ""
	}
	s.run(key, request)
	time.Sleep(duration)
	if n.check(func(n *node) bool { return n.dead }) {
		return verdict.MayHaveRun, ""
	}
	_ = n.ledger.Claims.Finish(context.Background(), claim, Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte(request)})
	return verdict.Ran, request
}

// TestClaimsRunAtMostOnce sends repeats of a few keys through instances that crash, are partitioned
// and disagree about the members, over a store that loses answers, drops and delays writes and has
// outages. No key may run twice, no request answered with NotRun may have run, and all answers of a
// key with the verdict Ran must be equal.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		chance := rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "fault chance")
		faults := rapid.IntRange(0, 6).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = claimUnderFaults(seed, chance, faults) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// claimUnderFaults returns a description of the violated invariant, or "".
func claimUnderFaults(seed uint64, chance float64, faults int) (failure string) {
	random := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(kv.New(), seed, chance, "a", "a", "b", "b")
	ran := newService()
	answers := make(map[string]string)
	keys := keysOfOneShard(f.nodes[0], 5)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 24 {
		key, node := keys[random.IntN(4)], f.nodes[random.IntN(4)]
		start, before, during := pause(random, 8000), pause(random, 300), pause(random, 2000)
		callers.Go(func() {
			time.Sleep(start)
			request := fmt.Sprintf("request-%d", i)
			got, body := serve(ran, node, key, request, before, during)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got == verdict.NotRun && ran.ran(request):
				failure = request + " was answered NotRun and ran"
			case got == verdict.Ran && answers[key] != "" && answers[key] != body:
				failure = key + " was answered with " + answers[key] + " and " + body
			case got == verdict.Ran:
				answers[key] = body
			}
		})
	}
	f.injectFaults(&callers, random, faults, allFaults, 8000, 4000)
	callers.Wait()
	f.clearFaults()
	time.Sleep(10 * time.Second)
	for _, node := range f.nodes {
		if got, _ := serve(ran, node, keys[4], string(node.self.ID), 0, 0); got != verdict.Ran && !node.check(isDead) {
			failure = string(node.self.ID) + " can't claim after the faults"
		}
	}
	closeFleet(f)
	for key, runs := range ran.keys {
		if runs > 1 {
			failure = fmt.Sprintf("%s ran %d times", key, runs)
		}
	}
	return failure
}

// keysOfOneShard returns idempotency keys that all belong to shard 0.
func keysOfOneShard(n *node, count int) []string {
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("key-%d", i)
		hash := recordKey(keyBytes(claimOf(n, key, "").Key))
		if n.ledger.Claims.journal.shardOf(hash).number == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestClaimStandings checks the result of a repeat at another instance for each state of the first
// claim.
func TestClaimStandings(t *testing.T) {
	done := Outcome{Verdict: verdict.Ran, Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	cases := []struct {
		name  string
		first func(f *fleet, claim Claim) // after the first claim was granted at node 0
		want  ClaimResult                 // of the repeat at node 1
		fails verdict.Reason
	}{
		{name: "in progress", first: func(*fleet, Claim) {}, want: ClaimResult{Standing: InProgress}},
		{name: "finished", first: func(f *fleet, claim Claim) { finish(f, claim, done) }, want: ClaimResult{Standing: Finished, Outcome: done}},
		{name: "outcome not in the store yet", first: func(f *fleet, claim Claim) {
			f.nodes[0].set(func(n *node) { n.noStore = true })
			f.nodes[0].set(func(n *node) { n.unlisted = map[string]bool{"entry-1": true, "entry-2": true} })
			finish(f, claim, done)
		}, want: ClaimResult{Standing: Finished, Outcome: done}},
		{name: "freed", first: func(f *fleet, claim Claim) { finish(f, claim, Outcome{Verdict: verdict.NotRun}) }, want: ClaimResult{Standing: Granted}},
		{name: "claimer killed", first: func(f *fleet, _ Claim) { f.nodes[0].set(func(n *node) { n.dead = true }) }, want: ClaimResult{Standing: OutcomeUnknown}},
		{name: "claimer cut off from peers", first: func(f *fleet, _ Claim) { f.nodes[0].set(func(n *node) { n.noPeers = true }) }, want: ClaimResult{Standing: OutcomeUnknown}},
		{name: "claimer not in the list", first: func(f *fleet, _ Claim) { f.nodes[1].set(func(n *node) { n.unlisted["entry-0"] = true }) }, want: ClaimResult{Standing: OutcomeUnknown}},
		{name: "store down", first: func(f *fleet, _ Claim) { f.store.SetFaults(kv.Faults{Down: true}) }, fails: verdict.LedgerUnavailable},
		{name: "past the retry window", first: func(*fleet, Claim) { time.Sleep(2 * time.Hour) }, want: ClaimResult{Standing: Granted}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(kv.New(), 1, 0, "a", "a", "b")
				defer closeFleet(f)
				claim := claimOf(f.nodes[0], "key", "first")
				first, err := f.nodes[0].ledger.Claims.Claim(t.Context(), claim)
				c.Assert(err, qt.IsNil)
				c.Assert(first.Standing, qt.Equals, Granted)
				tc.first(f, claim)
				result, err := f.nodes[1].ledger.Claims.Claim(t.Context(), claimOf(f.nodes[1], "key", "second"))
				if tc.fails != "" {
					c.Assert(verdict.RefusalOf(err).Reason, qt.Equals, tc.fails)
					c.Assert(verdict.RefusalOf(err).Verdict, qt.Equals, verdict.NotRun)
				} else {
					c.Assert(err, qt.IsNil)
					c.Assert(result.Standing, qt.Equals, tc.want.Standing)
					c.Assert(result.Outcome, qt.DeepEquals, tc.want.Outcome)
				}
				f.store.SetFaults(kv.Faults{})
				other := claimOf(f.nodes[2], "key", "third")
				other.Digest = Digest{2}
				result, err = f.nodes[2].ledger.Claims.Claim(t.Context(), other)
				c.Assert(err, qt.IsNil)
				c.Assert(result.Standing, qt.Equals, Mismatch)
			})
		})
	}
}

func finish(f *fleet, claim Claim, outcome Outcome) {
	_ = f.nodes[0].ledger.Claims.Finish(context.Background(), claim, outcome)
	time.Sleep(time.Second)
}

// TestPausedClaimer pauses a claimer between its grant and its dispatch until the retry window has
// passed and a repeat has run as a new request. The paused claimer must not dispatch then.
func TestPausedClaimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0, "a", "b")
		defer closeFleet(f)
		ran := newService()
		paused := make(chan verdict.Verdict)
		go func() {
			got, _ := serve(ran, f.nodes[0], "key", "first", 90*time.Minute, 0)
			paused <- got
		}()
		time.Sleep(75 * time.Minute)
		got, _ := serve(ran, f.nodes[1], "key", "second", 0, 0)
		c.Assert(got, qt.Equals, verdict.Ran)
		c.Assert(<-paused, qt.Equals, verdict.NotRun)
		c.Assert(ran.keys["key"], qt.Equals, 1)
	})
}

// TestOutcomesSurviveSealing finishes more claims than a head holds, so that segments are sealed and
// merged. An instance without cached state must find each outcome within the retry window and none
// after it.
func TestOutcomesSurviveSealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := kv.New()
		settings := DefaultSettings()
		settings.SealBytes = 200
		f := newFleet(store, 1, 0)
		defer closeFleet(f)
		first := f.add("first", "a", settings)
		for wave := range 20 {
			claimAll(c, first, wave, Granted)
		}
		time.Sleep(time.Minute)
		documents, err := store.List(t.Context(), "ledger/claims/")
		c.Assert(err, qt.IsNil)
		c.Assert(len(documents) > 2*claimShards, qt.IsTrue, qt.Commentf("%d documents", len(documents)))
		again := newFleet(store, 2, 0)
		defer closeFleet(again)
		second := again.add("second", "a", settings)
		for wave := range 20 {
			claimAll(c, second, wave, Finished)
		}
		time.Sleep(2 * time.Hour)
		for wave := range 20 {
			claimAll(c, second, wave, Granted)
		}
		left, err := store.List(t.Context(), "ledger/claims/")
		c.Assert(err, qt.IsNil)
		c.Assert(len(left) <= len(documents), qt.IsTrue, qt.Commentf("%d documents, then %d", len(documents), len(left)))
	})
}

// TestOutcomesAfterOutage finishes claims of one shard during a store outage whose outcomes together
// exceed the largest value of the store. All must be delivered after the outage.
func TestOutcomesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(kv.New(), 1, 0, "a")
		defer closeFleet(f)
		claims := f.nodes[0].ledger.Claims
		keys := keysOfOneShard(f.nodes[0], 400)
		for _, key := range keys {
			_, err := claims.Claim(t.Context(), claimOf(f.nodes[0], key, key))
			c.Assert(err, qt.IsNil)
		}
		f.store.SetFaults(kv.Faults{Down: true})
		for _, key := range keys {
			c.Assert(claims.Finish(t.Context(), claimOf(f.nodes[0], key, key), Outcome{Verdict: verdict.Ran, Body: make([]byte, MaxOutcomeBytes)}), qt.IsNil)
		}
		time.Sleep(time.Minute)
		f.store.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		c.Assert(claims.local.countUndelivered(), qt.Equals, 0)
	})
}

// claimAll claims 100 keys in parallel, expects the standing for each, and finishes granted claims.
func claimAll(c *qt.C, n *node, wave int, want Standing) {
	var callers sync.WaitGroup
	for i := range 100 {
		callers.Go(func() {
			key := fmt.Sprintf("key-%d-%d", wave, i)
			claim := claimOf(n, key, key+string(n.self.ID))
			result, err := n.ledger.Claims.Claim(context.Background(), claim)
			c.Check(err, qt.IsNil)
			c.Check(result.Standing, qt.Equals, want)
			body := []byte(strings.Repeat(key, 1+i%60)) // some are longer than maxInlineBytes
			switch want {
			case Granted:
				c.Check(n.ledger.Claims.Finish(context.Background(), claim, Outcome{Verdict: verdict.Ran, Body: body}), qt.IsNil)
			case Finished:
				c.Check(string(result.Outcome.Body), qt.Equals, string(body))
			}
		})
	}
	callers.Wait()
}
