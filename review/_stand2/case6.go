package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const host = "plans.example"

// configuration is a version of op/config with an idempotent route to the service "app", and with the route "reads" as well if wanted.
func configuration(version int, reads bool) object {
	route := func(name, prefix string) object {
		return object{
			"name": name, "host": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 2,
			"service": "app", "max_attempts": 2, "public": true, "sticky": false,
		}
	}
	routes := []object{route("status", "/status/")}
	if reads {
		routes = append(routes, route("reads", "/reads/"))
	}
	return object{
		"version": version, "routes": routes,
		"services": []object{{"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls_mode": false, "cold_s": 0, "cold_per_s": 0}},
		"limits":   object{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "hule", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}}},
	}
}

// routeRemoved sends idempotent requests on kept connections to engines that are sound and take 0.9 s for each, and removes the route of
// these requests from the configuration 0.25 s later. It reports whether more than three connections were closed without an answer.
func routeRemoved(s *stand) bool {
	var mu sync.Mutex
	runs := map[string]int{}
	work := func(engine string) func(*net.TCPConn, *http.Request, string) bool {
		return func(conn *net.TCPConn, request *http.Request, id string) bool {
			mu.Lock()
			runs[id]++
			mu.Unlock()
			s.note("%s runs %s", engine, id)
			if strings.HasPrefix(request.URL.Path, "/reads/") {
				time.Sleep(900 * time.Millisecond)
			}
			body := "answer to " + id
			_, err := io.WriteString(conn, head(http.StatusOK, id, engine)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
			return err == nil
		}
	}
	s.store.put("op/config", configuration(3, true))
	for n := range 3 {
		id := fmt.Sprintf("i-app-%d", n)
		s.engine(id, "app", "nbo-a", 6, work(id))
	}
	g := s.gateway("front-nbo-a-1", "nbo-a", s.store.listen())
	s.awaitReady(g)
	time.Sleep(4 * time.Second) // contact_ms is 3,000

	const clients = 8
	answers := make([]answer, clients)
	var group sync.WaitGroup
	for n := range clients {
		c := g.client()
		warm := c.send(http.MethodGet, host, "/status/1", map[string]string{"X-Request-Id": fmt.Sprintf("warm-%d", n)}, 3*time.Second)
		s.note("client %d: warm-%d: %v", n, n, warm)
		if warm.err != nil || warm.status != http.StatusOK {
			panic("the calm request failed")
		}
		group.Go(func() {
			time.Sleep(200 * time.Millisecond) // all of them begin together
			id := fmt.Sprintf("read-%d", n)
			s.note("client %d sends %s on its kept connection", n, id)
			answers[n] = c.send(http.MethodGet, host, "/reads/1", map[string]string{"X-Request-Id": id}, 3*time.Second)
			s.note("client %d: %s: %v", n, id, answers[n])
		})
	}
	time.Sleep(450 * time.Millisecond)
	if s.trouble {
		revision := s.store.put("op/config", configuration(7, false))
		s.note("the store acknowledges the configuration without the route, revision %d", revision)
	}
	group.Wait()
	closed := 0
	for n := range clients {
		id := fmt.Sprintf("read-%d", n)
		mu.Lock()
		if answers[n].err != nil && !answers[n].bytes && runs[id] > 0 {
			closed++
		}
		mu.Unlock()
	}
	s.note("connections closed without an answer after their request was passed on: %d; the rule allows three", closed)
	s.note("log lines of the instance about panics: %d; instance alive: %t", len(s.log(g, "panic")), g.alive())
	for _, line := range s.log(g, "attempt failed") {
		s.note("log: %s", line)
	}
	return closed > 3
}
