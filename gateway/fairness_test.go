package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// slotSender simulates endpoints with a few slots. Each request occupies a slot for the time that it states. An
// endpoint rejects requests beyond its queue limit.
type slotSender struct {
	slots int

	mu        sync.Mutex
	endpoints map[string]*slotEndpoint // by address
}

type slotEndpoint struct {
	occupied chan struct{} // one element per occupied slot
	inFlight int           // requests running or queued
}

func (s *slotSender) endpoint(address string) *slotEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[address] == nil {
		s.endpoints[address] = &slotEndpoint{occupied: make(chan struct{}, s.slots)}
	}
	return s.endpoints[address]
}

// enter reports whether the endpoint accepts one more request, and counts it if so.
func (s *slotSender) enter(e *slotEndpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.inFlight >= 4*s.slots {
		return false
	}
	e.inFlight++
	return true
}

func (s *slotSender) leave(e *slotEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.inFlight--
}

var errCancelled = &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: errors.New("cancelled")}

func (s *slotSender) Send(ctx context.Context, out *link.EndpointRequest) (*link.EndpointAnswer, error) {
	e := s.endpoint(out.Address)
	header := make(http.Header)
	if !s.enter(e) {
		header.Set("Not-Run", "1")
		return &link.EndpointAnswer{Status: http.StatusServiceUnavailable, Header: header, Body: http.NoBody}, nil
	}
	defer s.leave(e)
	select {
	case e.occupied <- struct{}{}:
	case <-ctx.Done():
		return nil, errCancelled
	}
	defer func() { <-e.occupied }()
	work, _ := strconv.Atoi(out.Header.Get("Work-Ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		return nil, errCancelled
	}
	header.Set("Signature", "s")
	return &link.EndpointAnswer{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

// servedCount counts the requests sent and those served.
type servedCount struct{ sent, served int }

func (c servedCount) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// tallies holds counts by kind, customer, size and session.
type tallies map[string]servedCount

func (t tallies) add(name string, served bool) {
	c := t[name]
	c.sent++
	if served {
		c.served++
	}
	t[name] = c
}

// load describes the callers' traffic.
type load struct {
	perSecond int     // requests per second in all
	urgent    float64 // share of the requests on the urgent route
	hot       float64 // share of the requests that one customer sends; the rest is even over all ten
	goalShare float64 // Parts.QueueGoalShare
}

// run sends the load for twenty seconds to three endpoints of four slots each. It returns the counts by kind,
// customer, size and session.
func (l load) run() tallies {
	sender := &slotSender{slots: 4, endpoints: make(map[string]*slotEndpoint)}
	f := newFixture()
	f.server.Sender = sender
	f.server.QueueGoalShare = l.goalShare
	changed := draft(2)
	changed.Routes[0].Priority, changed.Routes[1].Priority = 0, 2
	for i := range 10 {
		name := fmt.Sprintf("customer-%d", i)
		changed.Customers[name] = &catalog.Customer{Name: name}
	}
	f.current.Set(catalog.New(changed))
	counts := make(tallies)
	random := rand.New(rand.NewPCG(1, 2))
	f.play(func(int) int { return l.perSecond }, func(n int) (*http.Request, func(int, time.Duration)) {
		kind, customer, work, session := "book", random.IntN(10), 50, random.IntN(80)
		if random.Float64() < l.urgent {
			kind = "read"
		}
		if random.Float64() < l.hot {
			customer = 0
		}
		if random.IntN(10) == 0 {
			work = 250
		}
		r := f.request(kind, "Id", strconv.Itoa(n), "Key", fmt.Sprintf("customer-%d", customer), "Work-Ms", strconv.Itoa(work))
		return r, func(status int, _ time.Duration) {
			for _, name := range []string{"all", kind, "customer-" + strconv.Itoa(customer), "work-" + strconv.Itoa(work), "session-" + strconv.Itoa(session)} {
				counts.add(name, status == http.StatusOK)
			}
		}
	})
	return counts
}

// play sends the requests that next returns, perSecond of them in each of twenty seconds, and calls the function that belongs to each with the
// answer's status and time, one at a time.
func (f *fixture) play(perSecond func(second int) int, next func(n int) (*http.Request, func(status int, took time.Duration))) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	n := 0
	for second := range 20 {
		for range perSecond(second) {
			r, done := next(n)
			n++
			callers.Go(func() {
				began := time.Now()
				recorder := httptest.NewRecorder()
				f.server.ServeHTTP(recorder, r)
				mu.Lock()
				defer mu.Unlock()
				done(recorder.Code, time.Since(began))
			})
			time.Sleep(time.Second / time.Duration(perSecond(second)))
		}
	}
	callers.Wait()
}

// TestOverloadFairness guards against starvation above the endpoints' capacity. The share of served requests of
// every kind, customer and session must be at least a quarter of the overall share, and that of every size half.
func TestOverloadFairness(t *testing.T) {
	// Three endpoints of four slots each, at a mean of 70 ms per request, serve 171 requests per second.
	for name, test := range map[string]load{
		"one and a half times capacity":   {250, 0.5, 0, 0},
		"twice capacity, mostly urgent":   {340, 0.7, 0, 0},
		"urgent requests beyond capacity": {400, 0.9, 0, 0},
		"one customer floods":             {300, 0.5, 0.8, 0},
		"a bound on waits":                {250, 0.5, 0, 0.5},
		"a bound on waits, urgent beyond": {400, 0.9, 0, 0.5},
		"a bound on waits, one floods":    {300, 0.5, 0.8, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				counts := test.run()
				all := counts["all"].share()
				c.Check(all > 0.35, qt.IsTrue, qt.Commentf("%.2f served", all))
				for name, counted := range counts {
					minShare := all / 4
					if strings.HasPrefix(name, "work-") {
						minShare = all / 2
					}
					c.Check(counted.share() >= minShare, qt.IsTrue, qt.Commentf("%s: %d of %d, of all %.2f", name, counted.served, counted.sent, all))
				}
			})
		})
	}
}

var _ Sender = (*slotSender)(nil)
