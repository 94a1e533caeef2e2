package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // contact_ms of the deployment
	crashesFrom = 5               // the rule's time begins with this crash
	allowed     = 3               // requests that may reach engines after that
	poisonPart  = "dead0bad"
	modelPath   = "/plan/2f"

	outages     = 13 // of one zone's engines each
	outage      = 4500 * time.Millisecond
	outageEvery = 5 * time.Second

	batchSize  = 6 // requests with the part that come together
	batchEvery = 12 * time.Second
	batches    = 5
)

var (
	engineZones = []string{"guj-west-a", "guj-west-b", "guj-west-c"}
	nodeZones   = []string{"guj-west-a", "guj-west-a", "guj-west-a", "guj-west-b", "guj-west-b", "guj-west-c", "guj-west-c"}
)

// crashWatch records the crashes by the part, and the requests with it that reach engines.
type crashWatch struct {
	record *record

	mu        sync.Mutex
	crashes   int
	fifth     time.Time
	crashAt   []time.Time
	arrivals  []time.Time
	sound     int
	soundDone int
}

func (c *crashWatch) onArrival(e *engine, a *arrival) {
	if !a.poison {
		c.record.count("sound requests reach engines")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a.at)
	c.record.line("request %s with the part reaches engine %s at %s, from %s", a.id, e.id, e.address, a.from)
}

func (c *crashWatch) onCrash(e *engine, a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	c.crashAt = append(c.crashAt, time.Now())
	c.record.line("crash %d by the part: engine %s ends on request %s", c.crashes, e.id, a.id)
	if c.crashes == crashesFrom {
		c.fifth = time.Now()
		c.record.line("that was the fifth; from %.1f s on no more than %d requests with the part may reach engines", contact.Seconds(), allowed)
	}
}

// verdict counts the requests that reached engines too late, leaving out times at which instances were not in touch.
func (c *crashWatch) verdict(inTouch func(at time.Time) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.arrivals {
		if !c.fifth.IsZero() && at.After(c.fifth.Add(contact)) && inTouch(at) {
			late++
		}
	}
	c.record.line("%d crashes by the part, %d requests with it reached engines, %d of these later than contact_ms after the fifth crash", c.crashes,
		len(c.arrivals), late)
	c.record.line("sound requests: %d sent, %d answered whole", c.sound, c.soundDone)
	if late > allowed {
		c.record.line("BUDGET is broken: %d > %d", late, allowed)
		return broken
	}
	c.record.line("BUDGET holds: %d <= %d", late, allowed)
	return held
}

func modelKind(watch *crashWatch) *engineKind {
	return &engineKind{
		service: "gala-model", slots: 16, queue: 33, tokensPerMS: 157, firstEvent: 40 * time.Millisecond, eventEvery: 27 * time.Millisecond, events: 7,
		downFor: 3 * time.Second, crashPart: poisonPart, onArrival: watch.onArrival, onCrash: watch.onCrash, heartbeat: 1200 * time.Millisecond,
		missedBeatsEnd: 3600 * time.Millisecond,
	}
}

func modelConfiguration(attempts int) map[string]any {
	return configuration(1,
		[]any{route("r-plan", "/plan/", "streaming", "gala-model", attempts, 6000, 1000, 0)},
		[]any{modelService("gala-model", 16)})
}

// soundCall sends a sound request with a prompt.
func (s *scene) soundCall(watch *crashWatch, text string, tokens int) {
	s.record.count("sound requests sent")
	a := request(pick(s.nodes), http.MethodPost, modelPath, "key-club-1", randomID(8), text, tokens, 6*time.Second)
	s.record.count(fmt.Sprintf("answered %d (whole %v)", a.status, a.whole))
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.sound++
	if a.status == http.StatusOK && a.whole {
		watch.soundDone++
	}
}

func poisonPrompt() (string, int) { return promptWith(poisonPart) }

// promptWith makes a prompt with the part and others that no other request has.
func promptWith(part string) (string, int) {
	return fmt.Sprintf("a10%d:2520,%s:500,f%s:800,e%s:400", rand.IntN(4), part, randomID(5), randomID(6)), 4220
}

func (s *scene) poisonCall(text string, tokens int) {
	n, id := pick(s.nodes), randomID(8)
	s.record.line("client sends %s with the part to %s", id, n.name)
	a := request(n, http.MethodPost, modelPath, "key-club-2", id, text, tokens, 6*time.Second)
	s.record.line("client gets %d for %s (whole %v)", a.status, id, a.whole)
}

func always(time.Time) bool { return true }

func init() {
	cases["full-table"] = fullTable
}

// fullTable loses the engines of one zone after the other, all back within seconds; later, requests with a part that crashes engines come.
func fullTable(s *scene) (int, error) {
	watch := &crashWatch{record: s.record}
	kind := modelKind(watch)
	var engines []*engine
	err := s.begin(nodeZones, modelConfiguration(3), func() (made []*engine, err error) {
		engines, err = s.enginesIn(kind, engineZones, 6)
		return engines, err
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		traffic(158, stop, func() {
			text, tokens := prompt()
			s.soundCall(watch, text, tokens)
		})
	})
	time.Sleep(4 * time.Second)
	for round := range outages {
		zone := engineZones[round%len(engineZones)]
		if s.trouble {
			s.record.line("the engines of zone %s end; they are back in %.1f s", zone, outage.Seconds())
			for _, e := range engines {
				if e.zone == zone {
					e.crashFor(outage)
				}
			}
		}
		time.Sleep(outageEvery)
	}
	s.record.line("requests with the part begin, two a second")
	stopPoison := make(chan struct{})
	running.Go(func() {
		traffic(2, stopPoison, func() { s.poisonCall(poisonPrompt()) })
	})
	time.Sleep(22 * time.Second)
	close(stopPoison)
	close(stop)
	running.Wait()
	return watch.verdict(always), nil
}

func init() {
	cases["all-killed"] = allKilled
}

// allKilled kills all instances between two batches of requests with a part that crashes engines. The part has been found before.
func allKilled(s *scene) (int, error) {
	watch := &crashWatch{record: s.record}
	err := s.begin(nodeZones, modelConfiguration(3), func() ([]*engine, error) {
		return s.enginesIn(modelKind(watch), engineZones, 6)
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		traffic(60, stop, func() {
			text, tokens := prompt()
			s.soundCall(watch, text, tokens)
		})
	})
	time.Sleep(2 * time.Second)
	for batch := range batches {
		began := time.Now()
		s.record.line("batch %d of requests with the part", batch+1)
		for range batchSize {
			running.Go(func() { s.poisonCall(poisonPrompt()) })
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		if batch == 1 && s.trouble {
			s.record.line("all instances are killed; they start again within a second")
			for _, n := range s.nodes {
				n.kill()
			}
			time.Sleep(700 * time.Millisecond)
			for _, n := range s.nodes {
				if err := n.start(); err != nil {
					return 0, err
				}
			}
		}
		time.Sleep(time.Until(began.Add(batchEvery)))
	}
	close(stop)
	running.Wait()
	inTouch := func(at time.Time) bool {
		for _, n := range s.nodes {
			if at.Before(n.startedAt().Add(contact)) && at.After(n.startedAt().Add(-time.Second)) {
				return false
			}
		}
		return true
	}
	return watch.verdict(inTouch), nil
}

func init() {
	cases["moved-route"] = movedRoute
}

// movedRoute moves a route to another service while requests with a part that crashes engines come. The part has been found before.
func movedRoute(s *scene) (int, error) {
	watch := &crashWatch{record: s.record}
	services := []any{modelService("gala-model", 16), modelService("gala-model-next", 16)}
	configurationWith := func(version int, service string) map[string]any {
		return configuration(version, []any{route("r-plan", "/plan/", "streaming", service, 3, 6000, 1000, 0)}, services)
	}
	err := s.begin(nodeZones, configurationWith(1, "gala-model"), func() ([]*engine, error) {
		kind, next := modelKind(watch), modelKind(watch)
		next.service = "gala-model-next"
		engines, err := s.enginesIn(kind, engineZones, 6)
		if err != nil {
			return nil, err
		}
		others, err := s.enginesIn(next, engineZones, 6)
		return append(engines, others...), err
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		traffic(60, stop, func() {
			text, tokens := prompt()
			s.soundCall(watch, text, tokens)
		})
	})
	time.Sleep(2 * time.Second)
	s.record.line("requests with the part begin, four a second")
	stopPoison := make(chan struct{})
	running.Go(func() {
		traffic(4, stopPoison, func() { s.poisonCall(poisonPrompt()) })
	})
	time.Sleep(12 * time.Second)
	if s.trouble {
		s.record.line("configuration 2 moves the route to service gala-model-next")
		s.store.Put("op/config", configurationWith(2, "gala-model-next"))
	}
	time.Sleep(14 * time.Second)
	close(stopPoison)
	close(stop)
	running.Wait()
	return watch.verdict(always), nil
}

func init() {
	cases["failing-engines"] = failingEngines
}

const (
	greyParts = 4 // parts that crash engines, one after the other
	greySpan  = 17 * time.Second
	greyFor   = 6500 * time.Millisecond
	greyShare = 9 // one engine of so many fails requests
)

// failingEngines lets a share of the engines fail a part of their requests while requests with a part that crashes engines begin. It does so for
// several parts, one after the other.
func failingEngines(s *scene) (int, error) {
	watch := &crashWatch{record: s.record}
	kind := modelKind(watch)
	kind.crashPart = ""
	var engines []*engine
	err := s.begin(nodeZones, modelConfiguration(3), func() (made []*engine, err error) {
		engines, err = s.enginesIn(kind, engineZones, 6)
		return engines, err
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		traffic(60, stop, func() {
			text, tokens := prompt()
			s.soundCall(watch, text, tokens)
		})
	})
	time.Sleep(2 * time.Second)
	result := held
	for n := range greyParts {
		part := fmt.Sprintf("dead%d%s", n, randomID(2))
		watch.begin(kind, part)
		s.setFailing(engines, s.trouble)
		time.Sleep(200 * time.Millisecond)
		s.record.line("requests with the part %s begin, a batch of six, then two a second", part)
		stopPart := make(chan struct{})
		var calls sync.WaitGroup
		for range batchSize {
			calls.Go(func() { s.poisonCall(promptWith(part)) })
			time.Sleep(50 * time.Millisecond)
		}
		calls.Go(func() { traffic(2, stopPart, func() { s.poisonCall(promptWith(part)) }) })
		time.Sleep(greyFor)
		s.setFailing(engines, false)
		time.Sleep(greySpan - greyFor)
		close(stopPart)
		calls.Wait()
		result = max(result, watch.verdict(always))
		time.Sleep(kind.downFor)
	}
	close(stop)
	running.Wait()
	return result, nil
}

// begin names the part that crashes engines from now on, and counts anew.
func (c *crashWatch) begin(kind *engineKind, part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes, c.fifth, c.crashAt, c.arrivals, c.sound, c.soundDone = 0, time.Time{}, nil, nil, 0, 0
	kind.setCrashPart(part)
}

// setFailing makes one engine of greyShare fail a part of its requests, or none.
func (s *scene) setFailing(engines []*engine, failing bool) {
	for i, e := range engines {
		e.mu.Lock()
		e.failing = failing && i%greyShare == 0
		e.mu.Unlock()
	}
	if failing {
		s.record.line("%d of %d engines fail %.0f of 100 requests, for %.1f s", len(engines)/greyShare, len(engines), 100*failShare, greyFor.Seconds())
	}
}
