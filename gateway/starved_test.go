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

// slotSender is a model of endpoints that work on a few requests at once, each for the time that it states,
// and decline what is beyond their queue.
type slotSender struct {
	slots int

	mu        sync.Mutex
	endpoints map[string]*slotEndpoint // by address
}

type slotEndpoint struct {
	places  chan struct{}
	present int // at work or queued
}

func (s *slotSender) endpoint(address string) *slotEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[address] == nil {
		s.endpoints[address] = &slotEndpoint{places: make(chan struct{}, s.slots)}
	}
	return s.endpoints[address]
}

// enter says whether the endpoint takes one more request.
func (s *slotSender) enter(e *slotEndpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.present >= 4*s.slots {
		return false
	}
	e.present++
	return true
}

func (s *slotSender) leave(e *slotEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.present--
}

var errCut = &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryConnection, Err: errors.New("cancelled")}

func (s *slotSender) Send(ctx context.Context, out *link.Outgoing) (*link.Incoming, error) {
	e := s.endpoint(out.Address)
	header := make(http.Header)
	if !s.enter(e) {
		header.Set("Not-Run", "1")
		return &link.Incoming{Status: http.StatusServiceUnavailable, Header: header, Body: http.NoBody}, nil
	}
	defer s.leave(e)
	select {
	case e.places <- struct{}{}:
	case <-ctx.Done():
		return nil, errCut
	}
	defer func() { <-e.places }()
	work, _ := strconv.Atoi(out.Header.Get("Work-Ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		return nil, errCut
	}
	header.Set("Signature", "s")
	return &link.Incoming{Status: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("ok")), Length: 2}, nil
}

// count is how many requests were asked and served.
type count struct{ asked, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(c.asked, 1)) }

// tallies counts requests by a name.
type tallies map[string]count

func (t tallies) add(name string, served bool) {
	one := t[name]
	one.asked++
	if served {
		one.served++
	}
	t[name] = one
}

// load is what callers do in a run: requests a second in all, and the part of the urgent kind.
type load struct {
	perSecond int
	urgent    float64
	hot       float64 // part of the traffic of one customer out of ten
}

// run plays twenty seconds of a load on three endpoints of four slots each and returns what was served by
// kind, customer, size and session.
func (l load) run() tallies {
	sender := &slotSender{slots: 4, endpoints: make(map[string]*slotEndpoint)}
	f := newFixture()
	f.server.Sender = sender
	changed := draft(2)
	changed.Routes[0].Priority, changed.Routes[1].Priority = 0, 2
	for i := range 10 {
		name := fmt.Sprintf("customer-%d", i)
		changed.Customers[name] = &catalog.Customer{Name: name}
	}
	f.current.Set(catalog.New(changed))
	seen := make(tallies)
	var mu sync.Mutex
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 20 * l.perSecond {
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
		r := f.request(kind, "Id", strconv.Itoa(i), "Key", fmt.Sprintf("customer-%d", customer), "Work-Ms", strconv.Itoa(work))
		callers.Go(func() {
			recorder := httptest.NewRecorder()
			f.server.ServeHTTP(recorder, r)
			served := recorder.Code == http.StatusOK
			mu.Lock()
			defer mu.Unlock()
			for _, name := range []string{"all", kind, "customer-" + strconv.Itoa(customer), "work-" + strconv.Itoa(work), "session-" + strconv.Itoa(session)} {
				seen.add(name, served)
			}
		})
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	callers.Wait()
	return seen
}

// TestOverloadStarvesNobody: beyond what the endpoints bear, every kind of request and every customer is
// still served at least a quarter as often as all, the largest requests half as often, and no session goes
// without.
func TestOverloadStarvesNobody(t *testing.T) {
	// Three endpoints of four slots and 70 ms a request bear 171 requests a second.
	for name, one := range map[string]load{
		"half as many again":     {250, 0.5, 0},
		"twice, mostly urgent":   {340, 0.7, 0},
		"more urgent than borne": {400, 0.9, 0},
		"one customer floods":    {300, 0.5, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				seen := one.run()
				all := seen["all"].share()
				c.Check(all > 0.35, qt.IsTrue, qt.Commentf("%.2f served", all))
				for name, counted := range seen {
					least := all / 4
					if strings.HasPrefix(name, "work-") {
						least = all / 2
					}
					c.Check(counted.share() >= least, qt.IsTrue, qt.Commentf("%s: %d of %d, of all %.2f", name, counted.served, counted.asked, all))
				}
			})
		})
	}
}

var _ Sender = (*slotSender)(nil)
