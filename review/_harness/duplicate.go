package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	bookings       = 180
	bookingWork    = 20 * time.Millisecond
	bookingBusyAt  = 50 // each 50th booking finds all engines full for a moment
	chatHeaders    = "X-Model: m\r\nX-Token-Count: 500,400\r\nX-Prompt-Prefix: %x:400,%x:100\r\n"
	bookingTimeout = 3 * time.Second
)

// playDuplicate sends bookings one after the other. Three of them find all engines full at first. One of the three
// engines sends a second copy of that rejection, late, where the answer to the next request is expected.
func playDuplicate(p *play) bool {
	p.configure()
	var mu sync.Mutex
	rejected := map[string]int{} // rejections by engine and request
	extras, answers := 0, 0
	full := func(e *engine, x *exchange) bool {
		mu.Lock()
		defer mu.Unlock()
		var n int
		if _, err := fmt.Sscanf(x.id, "booking-%d", &n); err != nil || n%bookingBusyAt != 0 {
			return false
		}
		rejected[e.id+x.id]++
		return rejected[e.id+x.id] == 1
	}
	lastRejected := map[any]string{} // by connection: the request whose rejection was the last answer on it
	handle := func(faulty bool) func(*engine, *exchange) {
		return func(e *engine, x *exchange) {
			mu.Lock()
			before := lastRejected[x.conn]
			delete(lastRejected, x.conn)
			if faulty {
				answers++
			}
			mu.Unlock()
			if full(e, x) {
				e.reject(x)
				mu.Lock()
				lastRejected[x.conn] = x.id
				mu.Unlock()
				return
			}
			e.begin(x.id)
			if faulty && before != "" && p.trouble {
				mu.Lock()
				extras++
				mu.Unlock()
				p.note("engine %s sends a second copy of its 503 for %s", e.id, before)
				copyOf := *x
				copyOf.id = before
				copyOf.write(503, "X-Not-Executed: 1\r\n", "")
			}
			time.Sleep(bookingWork)
			e.done()
			x.write(200, e.stamp(), "booked "+x.id)
		}
	}
	engines := []*engine{
		p.newEngine("i-a", "booking-app", "zone-a", 6, handle(true)),
		p.newEngine("i-b", "booking-app", "zone-b", 6, handle(false)),
		p.newEngine("i-c", "booking-app", "zone-c", 6, handle(false)),
	}
	front := p.newInstance("front-1", "zone-a")
	front.start()
	front.awaitReady()
	time.Sleep(time.Second)
	c := &client{address: front.callers}
	held := true
	statuses := map[string]int{}
	for n := 1; n <= bookings; n++ {
		id := fmt.Sprintf("booking-%d", n)
		statuses[id] = c.do(p, "POST", "/booking/x", id, bookingTimeout, "", "a visit").status
	}
	time.Sleep(500 * time.Millisecond)
	for n := 1; n <= bookings; n++ {
		id := fmt.Sprintf("booking-%d", n)
		runs := runsOf(id, engines...)
		if runs > 1 {
			p.note("TWICE: %s ran %d times, the client got %d", id, runs, statuses[id])
			held = false
		}
		if runs > 0 && promisesNotRun(statuses[id]) {
			p.note("REFUSED: %s ran %d times and was answered %d", id, runs, statuses[id])
			held = false
		}
	}
	mu.Lock()
	p.note("engine i-a sent %d extra answers beside %d (limit: 0.02)", extras, answers)
	mu.Unlock()
	return held
}
