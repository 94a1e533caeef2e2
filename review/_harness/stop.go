package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func chatHeader(n int) string { return fmt.Sprintf(chatHeaders, 0xabc0, 0xd000+n) }

// playHangup stops an instance that serves streams; while it stops, SIGHUP tells it that its settings file has changed.
// Without trouble there is no SIGHUP. Each stream ends well within the stop time.
func playHangup(p *play) bool {
	p.configure()
	handle := func(e *engine, x *exchange) { e.stream(x, 15, 200*time.Millisecond) }
	p.newEngine("i-a", "assist-llm", "zone-a", 4, handle)
	p.newEngine("i-b", "assist-llm", "zone-b", 4, handle)
	front := p.newInstance("front-1", "zone-a")
	front.start()
	front.awaitReady()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	answers := make([]answer, 4)
	for n := range answers {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[n] = (&client{address: front.callers}).do(p, "POST", "/chat/x", fmt.Sprintf("chat-%d", n), 20*time.Second, chatHeader(n), "hello")
		}()
	}
	time.Sleep(time.Second)
	front.signal(syscall.SIGTERM)
	if p.trouble {
		time.Sleep(500 * time.Millisecond)
		front.signal(syscall.SIGHUP)
	}
	group.Wait()
	held := true
	for n, got := range answers {
		if got.err != nil || got.status != 200 {
			p.note("LOST: chat-%d was passed on and got no complete answer: status %d, error %v", n, got.status, got.err)
			held = false
		}
	}
	return held
}

// playQueued stops an instance while its engines are full of long streams, so that further requests wait in its queue.
// The streams at work outlast the stop time, which the rule excuses; it does not excuse requests that wait and were not
// passed on to an engine. Without trouble there is no SIGTERM.
func playQueued(p *play) bool {
	p.configure()
	handle := func(e *engine, x *exchange) { e.stream(x, 48, 250*time.Millisecond) }
	engines := []*engine{
		p.newEngine("i-a", "assist-llm", "zone-a", 4, handle),
		p.newEngine("i-b", "assist-llm", "zone-b", 4, handle),
	}
	front := p.newInstance("front-1", "zone-a")
	front.start()
	front.awaitReady()
	time.Sleep(time.Second)
	var group sync.WaitGroup
	answers := make([]answer, 30)
	for n := range answers {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[n] = (&client{address: front.callers}).do(p, "POST", "/chat/x", fmt.Sprintf("chat-%d", n), 20*time.Second, chatHeader(n), "hello")
		}()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		front.signal(syscall.SIGTERM)
	}
	group.Wait()
	held := true
	for n, got := range answers {
		id := fmt.Sprintf("chat-%d", n)
		if got.err != nil && !timedOut(got.err) && runsOf(id, engines...) == 0 {
			p.note("LOST: %s was not passed on, and its connection was closed without an answer after %d ms: %v", id, got.took.Milliseconds(), got.err)
			held = false
		}
	}
	return held
}
