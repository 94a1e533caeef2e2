package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWaitLimit checks the limit around the goal and the end of the time for waiting.
func TestWaitLimit(t *testing.T) {
	c := qt.New(t)
	c.Check(waitLimit(0.5, time.Second, 200*time.Millisecond, time.Minute), qt.Equals, 400*time.Millisecond)
	c.Check(waitLimit(1, time.Second, 0, 300*time.Millisecond), qt.Equals, 300*time.Millisecond)
	c.Check(waitLimit(0.5, 100*time.Millisecond, 200*time.Millisecond, time.Second), qt.Equals, time.Second)
}

// goalLoad is a load on three endpoints of four slots each, which at a mean of 70 ms for a request serve 171 requests per second.
type goalLoad struct {
	rate  func(second int) int // requests per second
	share float64              // QueueGoalShare
}

// goalResult holds shares of all requests, and the median time to a refusal.
type goalResult struct {
	inGoal, late, refused float64
	refusedAfter          time.Duration
}

// run plays twenty seconds.
func (l goalLoad) run() goalResult {
	f := newFixture()
	f.server.Sender = &slotSender{slots: 4, endpoints: make(map[string]*slotEndpoint)}
	f.server.QueueGoalShare = l.share
	random := rand.New(rand.NewPCG(1, 2))
	var refusals []time.Duration
	sent, inGoal, late := 0, 0, 0
	f.play(l.rate, func(n int) (*http.Request, func(int, time.Duration)) {
		sent++
		work := []string{"50", "250"}[random.IntN(10)/9]
		return f.request([]string{"book", "read"}[random.IntN(2)], "Id", strconv.Itoa(n), "Work-Ms", work), func(status int, took time.Duration) {
			switch {
			case status != http.StatusOK:
				refusals = append(refusals, took)
			case took <= time.Second:
				inGoal++
			default:
				late++
			}
		}
	})
	result := goalResult{float64(inGoal) / float64(sent), float64(late) / float64(sent), float64(len(refusals)) / float64(sent), 0}
	if slices.Sort(refusals); len(refusals) > 0 {
		result.refusedAfter = refusals[len(refusals)/2]
	}
	return result
}

// TestGoalShare answers loads above the endpoints' capacity, lasting and in bursts, with a bound on the expected wait: nearly all that the
// endpoints serve is served within its goal of a second, the others are refused at once, and below the capacity none is.
func TestGoalShare(t *testing.T) {
	always := func(rate int) func(int) int { return func(int) int { return rate } }
	burst := func(second int) int {
		if second%5 == 0 {
			return 400
		}
		return 120
	}
	for name, test := range map[string]struct {
		rate     func(int) int
		capacity float64 // share of the requests that the endpoints have room for
	}{
		"below capacity":             {always(154), 1},
		"one and a half times":       {always(257), 1 / 1.5},
		"twice":                      {always(342), 0.5},
		"a burst every five seconds": {burst, 1 - (400-171-171*0.5)/880.0}, // half a second of work waits, the rest of a burst is refused
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				without, with := goalLoad{test.rate, 0}.run(), goalLoad{test.rate, 0.5}.run()
				c.Logf("without: %+v; with: %+v", without, with)
				c.Check(with.inGoal >= 0.95*test.capacity, qt.IsTrue)
				c.Check(with.inGoal >= without.inGoal, qt.IsTrue)
				c.Check(with.refusedAfter, qt.Equals, time.Duration(0))
				if test.capacity == 1 {
					c.Check(with.refused, qt.Equals, 0.0)
				}
			})
		})
	}
}
