package main

import (
	crypto "crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineKind holds what all engines of a service have in common.
type engineKind struct {
	service        string
	slots, queue   int
	tokensPerMS    float64       // prompt tokens that an engine reads in a millisecond
	firstEvent     time.Duration // beside the reading
	eventEvery     time.Duration
	events         int
	downFor        time.Duration // after a crash by a prompt
	crashPart      string        // the part that crashes engines; empty for none; see setCrashPart
	onArrival      func(e *engine, a *arrival)
	onCrash        func(e *engine, a *arrival)
	answerHeader   func(e *engine, h http.Header)
	heartbeat      time.Duration
	missedBeatsEnd time.Duration // after so long without a heartbeat the entry is removed

	crashMu sync.Mutex // of crashPart once engines run

	// tolerance is how many requests an engine can reject in a second without falling over, while brittle is set. It lets none wait from
	// brittleAfter later.
	tolerance    int
	brittle      atomic.Pointer[time.Time] // since when
	brittleAfter time.Duration
	onFall       func(e *engine)
	onRejection  func()
	spreadWork   bool // work takes a half to one and a half of its mean
}

// fallsOver reports whether engines let none wait, and fall over from rejections.
func (k *engineKind) fallsOver() bool {
	since := k.brittle.Load()
	return since != nil && time.Since(*since) >= k.brittleAfter
}

// waitingRoom returns how many requests an engine lets wait.
func (k *engineKind) waitingRoom() int {
	if k.fallsOver() {
		return 0
	}
	return k.queue
}

func (k *engineKind) setCrashPart(part string) {
	k.crashMu.Lock()
	defer k.crashMu.Unlock()
	k.crashPart = part
}

// arrival is one request that reached an engine.
type arrival struct {
	id, from, prompt string
	at               time.Time
	poison           bool
}

// engine is a stand-in of one engine at a fixed address. It may be started and stopped several times.
type engine struct {
	kind    *engineKind
	store   *store
	zone    string
	address string

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	up       bool
	epoch    int
	listener net.Listener
	conns    map[net.Conn]struct{}
	active   int
	waiting  int
	slots    chan struct{}
	cached   map[string]bool
	readBusy sync.Mutex
	lastBeat time.Time
	failing  bool // fails a part of its requests, with a good health
	rejected []time.Time
}

// failShare is the share of its requests that a failing engine answers with a 500.
const failShare = 0.4

func randomID(n int) string {
	b := make([]byte, n)
	_, _ = crypto.Read(b)
	return hex.EncodeToString(b)
}

func newEngine(kind *engineKind, s *store, zone, address string) *engine {
	e := &engine{kind: kind, store: s, zone: zone, address: address, id: "i-" + randomID(4)}
	go e.beat()
	return e
}

// start starts the engine's process.
func (e *engine) start() error {
	releasePort(e.address)
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if e.epoch > 0 {
		e.id = "i-" + randomID(4)
	}
	e.epoch++
	e.born, e.seq, e.up, e.listener = time.Now().UnixMilli(), 0, true, listener
	e.conns, e.cached = map[net.Conn]struct{}{}, map[string]bool{}
	e.rejected = nil
	e.active, e.waiting, e.slots = 0, 0, make(chan struct{}, e.kind.slots)
	epoch, id := e.epoch, e.id
	e.mu.Unlock()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, epoch, id) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch {
			case e.epoch != epoch || !e.up:
				reset(conn)
			case state == http.StateNew:
				e.conns[conn] = struct{}{}
			case state == http.StateClosed:
				delete(e.conns, conn)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	e.writeEntry()
	return nil
}

// crash ends the engine's process: its port refuses, its connections are reset, and it sends nothing more.
func (e *engine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return false
	}
	e.up = false
	_ = e.listener.Close()
	for conn := range e.conns {
		reset(conn)
	}
	go e.lapse(e.id, e.lastBeat)
	return true
}

// lapse removes the entry of an engine that sends nothing any more.
func (e *engine) lapse(id string, last time.Time) {
	time.Sleep(time.Until(last.Add(e.kind.missedBeatsEnd)))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id != id || !e.up {
		e.store.Drop("servers/" + id)
	}
}

// crashFor ends the process and starts it again after a time.
func (e *engine) crashFor(d time.Duration) {
	if e.crash() {
		e.restartAfter(d)
	}
}

// restartAfter starts the process again after a time.
func (e *engine) restartAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		for e.start() != nil {
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (e *engine) beat() {
	for {
		time.Sleep(e.kind.heartbeat)
		e.mu.Lock()
		due := e.up
		e.mu.Unlock()
		if due {
			e.writeEntry()
		}
	}
}

// writeEntry writes the engine's entry in the store.
func (e *engine) writeEntry() bool {
	e.mu.Lock()
	e.seq++
	id, entry := e.id, map[string]any{
		"service": e.kind.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.kind.slots, "state": "ready",
		"cold_left_ms": 0, "seq": e.seq, "born": e.born, "stage": "both",
		"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
	}
	e.mu.Unlock()
	if !e.store.Put("servers/"+id, entry) {
		return false
	}
	e.mu.Lock()
	e.lastBeat = time.Now()
	e.mu.Unlock()
	return true
}

// crashesOn reports whether a prompt has the part that crashes engines, in a place other than the last.
func (k *engineKind) crashesOn(prompt string) bool {
	k.crashMu.Lock()
	crashes := k.crashPart
	k.crashMu.Unlock()
	if crashes == "" {
		return false
	}
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == crashes {
			return true
		}
	}
	return false
}

// uncached returns how many tokens of the prompt are to be read, and keeps its parts.
func (e *engine) uncached(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, prefix, cached := 0, "", true
	for part := range strings.SplitSeq(prompt, ",") {
		id, count, _ := strings.Cut(part, ":")
		prefix += id + "/"
		n, _ := strconv.Atoi(count)
		if cached = cached && e.cached[prefix]; !cached {
			tokens += n
		}
		e.cached[prefix] = true
	}
	return tokens
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, epoch int, id string) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a := &arrival{id: r.Header.Get("X-Request-Id"), from: r.RemoteAddr, prompt: r.Header.Get("X-Prompt-Prefix"), at: time.Now()}
	a.poison = e.kind.crashesOn(a.prompt)
	if e.kind.onArrival != nil {
		e.kind.onArrival(e, a)
	}
	w.Header().Set("X-Request-Id", a.id)
	if e.kind.answerHeader != nil {
		e.kind.answerHeader(e, w.Header())
	}
	if e.kind.brittle.Load() != nil {
		w.Header().Set("Server-Brittle", strconv.Itoa(e.kind.tolerance))
	}
	if !e.take(w, r) {
		return
	}
	defer e.leave()
	if e.kind.events > 0 {
		e.stream(w, r, a, epoch)
		return
	}
	if !pause(r, e.kind.firstEvent) {
		return
	}
	e.stamp(w)
	_, _ = io.WriteString(w, "answer to "+a.id+"\n")
}

// take waits for a slot, or rejects the request.
func (e *engine) take(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	if e.active+e.waiting >= e.kind.slots+e.kind.waitingRoom() {
		e.load(w)
		falls := e.reject()
		e.mu.Unlock()
		if e.kind.onRejection != nil {
			e.kind.onRejection()
		}
		if falls && e.crash() {
			e.kind.onFall(e)
			e.restartAfter(e.kind.downFor)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	e.waiting++
	slots := e.slots
	e.mu.Unlock()
	taken := false
	select {
	case slots <- struct{}{}:
		taken = true
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.waiting--
	if taken {
		e.active++
	}
	e.mu.Unlock()
	return taken
}

// reject counts a rejection, and reports whether the engine falls over. The caller holds the lock.
func (e *engine) reject() bool {
	if !e.kind.fallsOver() {
		return false
	}
	now := time.Now()
	e.rejected = append(slices.DeleteFunc(e.rejected, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	return len(e.rejected) > e.kind.tolerance
}

func (e *engine) leave() {
	e.mu.Lock()
	e.active--
	e.mu.Unlock()
	<-e.slots
}

// load states the engine's load in an answer. The caller holds the lock.
func (e *engine) load(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.active, e.waiting, e.kind.slots))
}

func (e *engine) stamp(w http.ResponseWriter) {
	e.mu.Lock()
	e.load(w)
	e.mu.Unlock()
	w.Header().Set("X-Response-Stamp", randomID(8))
}

// stream reads the prompt and writes the answer's events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, a *arrival, epoch int) {
	reading := time.Duration(float64(e.uncached(a.prompt)) / e.kind.tokensPerMS * float64(time.Millisecond))
	e.readBusy.Lock()
	ok := pause(r, reading)
	e.readBusy.Unlock()
	if !ok || !pause(r, e.kind.firstEvent) {
		return
	}
	e.mu.Lock()
	fails := e.failing && rand.Float64() < failShare
	e.mu.Unlock()
	if fails {
		e.stamp(w)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if a.poison {
		e.mu.Lock()
		current := e.epoch == epoch && e.up
		e.mu.Unlock()
		if current {
			if e.kind.onCrash != nil {
				e.kind.onCrash(e, a)
			}
			e.crashFor(e.kind.downFor)
		}
		return
	}
	e.stamp(w)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	every := e.kind.eventEvery
	if e.kind.spreadWork {
		every = time.Duration((0.5 + rand.Float64()) * float64(every))
	}
	for n := last + 1; n <= e.kind.events; n++ {
		if n > last+1 && !pause(r, every) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, a.id, n); err != nil || control.Flush() != nil {
			return
		}
	}
}

// pause waits; it returns false if the request's connection has ended.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
