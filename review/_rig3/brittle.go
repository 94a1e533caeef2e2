package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	grownContact  = 4 * time.Second // contact_ms of the grown deployments
	brittleFor    = 16 * time.Second
	brittleWarmUp = 15 * time.Second
	brittleNodes  = 60
	brittleSlots  = 16
	brittleEach   = 6 // engines in each of three zones
	brittleWork   = 8 * time.Second
	brittleEvents = 40
	brittleLoad   = 0.95 // against what the engines can do
	brittleBurst  = 1.7
	brittleBurstS = 3 * time.Second
)

// fallWatch counts the engines that fall over.
type fallWatch struct {
	record *record

	mu         sync.Mutex
	falls      int
	sent, done int
}

func init() { cases["brittle-long-work"] = brittleLongWork }

// brittleLongWork has many instances send long requests to engines that become brittle, at more than these can do.
func brittleLongWork(s *scene) (int, error) {
	watch := &fallWatch{record: s.record}
	tolerance := 3
	kind := &engineKind{
		service: "chat-llm", slots: brittleSlots, queue: 8, tokensPerMS: 157, firstEvent: 40 * time.Millisecond, events: brittleEvents,
		eventEvery: brittleWork / brittleEvents, spreadWork: true, downFor: 3 * time.Second, heartbeat: 1200 * time.Millisecond,
		missedBeatsEnd: 3600 * time.Millisecond, tolerance: tolerance, brittleAfter: grownContact,
	}
	kind.onArrival = func(*engine, *arrival) { s.record.count("requests reach engines") }
	kind.onRejection = func() { s.record.count("rejected by engines") }
	kind.onFall = func(e *engine) {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		watch.falls++
		s.record.line("fall %d: engine %s at %s turned more than %d requests away in a second", watch.falls, e.id, e.address, tolerance)
	}
	var zones []string
	for i := range brittleNodes {
		zones = append(zones, engineZones[i%len(engineZones)])
	}
	config := configuration(1, []any{route("r-chat", "/chat/", "streaming", "chat-llm", 3, 20000, 4000, 2)}, []any{modelService("chat-llm", brittleSlots)})
	var engines []*engine
	err := s.begin(zones, config, func() (made []*engine, err error) {
		engines, err = s.enginesIn(kind, engineZones, brittleEach)
		return engines, err
	})
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	rate := brittleLoad * float64(len(engines)*brittleSlots) / brittleWork.Seconds()
	s.record.line("%.0f requests a second of some %.0f s each to %d engines with %d slots", rate, brittleWork.Seconds(), len(engines), brittleSlots)
	running.Go(func() { traffic(rate, stop, func() { s.chat(watch) }) })
	time.Sleep(brittleWarmUp)
	if s.trouble {
		now := time.Now()
		kind.brittle.Store(&now)
		s.record.line("all answers of the engines say Server-Brittle: %d; from %.0f s on they let none wait", tolerance, grownContact.Seconds())
	}
	time.Sleep(grownContact - brittleBurstS)
	s.record.line("%.1f times as many requests come, for %.0f s", brittleBurst, brittleBurstS.Seconds())
	endBurst := make(chan struct{})
	running.Go(func() { traffic((brittleBurst-1)*rate, endBurst, func() { s.chat(watch) }) })
	time.Sleep(brittleBurstS)
	close(endBurst)
	time.Sleep(brittleFor - grownContact)
	kind.brittle.Store(nil)
	s.record.line("the engines are brittle no longer")
	close(stop)
	running.Wait()
	allowedFalls := 2 + 0.1*float64(len(engines))
	watch.mu.Lock()
	defer watch.mu.Unlock()
	s.record.line("%d requests sent, %d answered whole; %d falls, %.1f allowed", watch.sent, watch.done, watch.falls, allowedFalls)
	if float64(watch.falls) > allowedFalls {
		s.record.line("LIMIT is broken")
		return broken, nil
	}
	s.record.line("LIMIT holds")
	return held, nil
}

// chat sends a long request, and once more at another instance after a refusal.
func (s *scene) chat(watch *fallWatch) {
	deadline := time.Now().Add(20 * time.Second)
	a := answer{}
	for try := range 2 {
		s.record.count("requests sent")
		a = request(pick(s.nodes), http.MethodPost, "/chat/2f", "key-club-1", randomID(8), "c100:103,c2"+randomID(1)+":69,e"+randomID(6)[:11]+":543", 715,
			time.Until(deadline))
		s.record.count(fmt.Sprintf("answered %d (whole %v)", a.status, a.whole))
		if try > 0 || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(min(a.again, time.Until(deadline)/3))
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.sent++
	if a.status == http.StatusOK && a.whole {
		watch.done++
	}
}
