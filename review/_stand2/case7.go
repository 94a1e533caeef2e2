package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"nbo-a", "nbo-b", "nbo-c"}

const (
	streamEvents = 24
	streamGap    = 400 * time.Millisecond
	streamCount  = 90
)

// streamConfiguration has one resumable route to model engines.
func streamConfiguration() object {
	return object{
		"version": 3,
		"routes": []object{{
			"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 20000, "goal_ms": 4000, "priority": 2,
			"service": "llm", "max_attempts": 3, "public": true, "sticky": true, "resumable": true, "gap_target_ms": 1200,
		}},
		"services": []object{{
			"name": "llm", "health_path": "/health", "max_conns": 610, "protocol": "h1", "tls_mode": false, "cold_s": 3, "cold_per_s": 23,
			"engine": object{"slots": 128, "kv_capacity": 596016, "models": []object{{"name": "daka", "cost": 0.018}}},
		}},
		"limits":  object{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "hule", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}}},
	}
}

// lastEvent returns the id of the last event in the body of a stream, and how many events it has.
func lastEvent(body string) (last, count int) {
	for line := range strings.SplitSeq(body, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			last, _ = strconv.Atoi(id)
			count++
		}
	}
	return last, count
}

// resetWhileFrozen freezes an instance for 3.5 s while streams without a length run through it, and crashes one of six engines meanwhile:
// its connections are reset. It reports whether a stream ended as complete before its last event.
func resetWhileFrozen(s *stand) bool {
	var engines []*engine
	s.store.put("op/config", streamConfiguration())
	for n := range 6 {
		id := fmt.Sprintf("i-llm-%d", n)
		engines = append(engines, s.engine(id, "llm", zones[n%3], 128, func(conn *net.TCPConn, request *http.Request, requestID string) bool {
			after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			if after > 0 {
				s.note("%s goes on with %s after event %d", id, requestID, after)
			}
			if _, err := io.WriteString(conn, head(http.StatusOK, requestID, id)+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
				return false
			}
			for event := after + 1; event <= streamEvents; event++ {
				if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", event, event, requestID); err != nil {
					return false
				}
				time.Sleep(streamGap)
			}
			return false // the answer ends with its connection
		}))
	}
	for n := range 6 {
		s.gateway(fmt.Sprintf("front-%s-%d", zones[n%3], 1+n/3), zones[n%3], s.store.listen())
	}
	for _, g := range s.gateways {
		s.awaitReady(g)
	}
	g := s.gateways[0] // one machine of six freezes
	time.Sleep(4 * time.Second)
	answers := make([]answer, streamCount)
	var group sync.WaitGroup
	for n := range streamCount {
		group.Go(func() {
			header := map[string]string{
				"X-Request-Id": fmt.Sprintf("chat-%d", n), "X-Model": "daka", "X-Token-Count": "543,300",
				"X-Prompt-Prefix": fmt.Sprintf("%x:100,%x:443", 16+n%8, 4096+n),
			}
			answers[n] = g.client().send(http.MethodPost, host, "/chat/1", header, 20*time.Second)
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("%s freezes", g.name)
		g.signal(syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
		s.note("%s crashes", engines[0].id)
		engines[0].crash()
		time.Sleep(3400 * time.Millisecond)
		g.signal(syscall.SIGCONT)
		s.note("%s wakes", g.name)
	}
	group.Wait()
	short, broken := 0, 0
	for n, a := range answers {
		last, count := lastEvent(a.body)
		switch {
		case a.err == nil && a.status == http.StatusOK && (last != streamEvents || count != streamEvents):
			short++
			s.note("chat-%d: the answer is complete for the client, with %d events of %d, the last one %d", n, count, streamEvents, last)
		case a.err != nil || a.status != http.StatusOK:
			broken++
			s.note("chat-%d: %v, last event %d", n, a, last)
		}
	}
	s.note("streams: %d; complete for the client before their last event: %d; without a complete answer: %d", streamCount, short, broken)
	for _, line := range s.log(g, "attempt failed") {
		s.note("log: %s", line)
	}
	return short > 0
}
