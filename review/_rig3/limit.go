package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	statedLimit = 1.0 // requests per second that the engine in need names
	limitSpan   = 4 * time.Second
	passOnTime  = 500 * time.Millisecond
	storeOutage = 4500 * time.Millisecond
)

// limitWatch records the requests that reach the engine in need, and which instances know of its limit.
type limitWatch struct {
	record *record

	mu       sync.Mutex
	inNeed   *engine
	stated   time.Time // first answer with the limit
	sentTo   map[string]*node
	reached  []limitArrival
	atNeed   map[string]bool // ids
	passedOn map[*node]time.Time
	sent, ok int
}

type limitArrival struct {
	at   time.Time
	node *node
}

func (l *limitWatch) onArrival(e *engine, a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e != l.inNeed {
		return
	}
	n := l.sentTo[a.id]
	l.reached = append(l.reached, limitArrival{a.at, n})
	l.atNeed[a.id] = true
	l.record.line("request %s reaches the engine in need, sent on by %s", a.id, n.name)
}

func (l *limitWatch) answerHeader(e *engine, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e != l.inNeed {
		return
	}
	h.Set("Server-Limit", "1.0")
	if l.stated.IsZero() {
		l.stated = time.Now()
		l.record.line("the engine in need names its limit for the first time")
	}
}

// call sends a request and records whether the instance has passed on an answer of the engine in need.
func (s *scene) limitCall(l *limitWatch) {
	n, id := pick(s.nodes), randomID(8)
	l.mu.Lock()
	l.sentTo[id] = n
	l.mu.Unlock()
	text, tokens := prompt()
	a := request(n, http.MethodPost, modelPath, "key-club-1", id, text, tokens, 6*time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if a.status == http.StatusOK && a.whole {
		l.ok++
		if _, known := l.passedOn[n]; l.atNeed[id] && !known {
			l.passedOn[n] = time.Now()
			l.record.line("%s has passed on an answer with the limit", n.name)
		}
	}
}

func (l *limitWatch) verdict() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []time.Time
	for _, a := range l.reached {
		if since, knows := l.passedOn[a.node]; knows && a.at.After(since.Add(passOnTime)) && a.at.After(l.stated.Add(contact)) {
			counted = append(counted, a.at)
		}
	}
	most, from := 0, time.Time{}
	for i, at := range counted {
		n := 0
		for _, later := range counted[i:] {
			if later.Sub(at) < limitSpan {
				n++
			}
		}
		if n > most {
			most, from = n, at
		}
	}
	bound := 1.5*statedLimit*limitSpan.Seconds() + 5
	l.record.line("%d requests sent, %d answered; %d reached the engine in need, %d of these counted", l.sent, l.ok, len(l.reached), len(counted))
	l.record.line("most in %.0f s: %d, from %.3f on; the bound is %.0f", limitSpan.Seconds(), most, from.Sub(l.record.started).Seconds(), bound)
	if float64(most) > bound {
		l.record.line("LIMIT is broken")
		return broken
	}
	l.record.line("LIMIT holds")
	return held
}

func init() { cases["limit-forgotten"] = limitForgotten }

// limitForgotten lets the entries of engines lapse while the store is down, one of which names a limit.
func limitForgotten(s *scene) (int, error) {
	watch := &limitWatch{record: s.record, sentTo: map[string]*node{}, atNeed: map[string]bool{}, passedOn: map[*node]time.Time{}}
	kind := modelKind(&crashWatch{record: s.record})
	kind.crashPart, kind.onArrival, kind.answerHeader = "", watch.onArrival, watch.answerHeader
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
	running.Go(func() { traffic(230, stop, func() { s.limitCall(watch) }) })
	time.Sleep(5 * time.Second)
	watch.mu.Lock()
	watch.inNeed = engines[0]
	watch.mu.Unlock()
	time.Sleep(20 * time.Second)
	if s.trouble {
		s.record.line("the store is down; entries lapse after three heartbeats")
		s.store.setDown(true)
		time.Sleep(storeOutage)
		for _, e := range engines {
			s.store.Drop("servers/" + e.id)
		}
		s.store.setDown(false)
		s.record.line("the store is back")
	} else {
		time.Sleep(storeOutage)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	running.Wait()
	return watch.verdict(), nil
}
