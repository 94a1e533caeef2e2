package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	counts  map[string]int // of the present second
}

// count counts an event of which there are too many for a line each. The counts are written once a second.
func (r *record) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[event]++
}

// flushCounts writes the counts of each second, as long as the program runs.
func (r *record) flushCounts() {
	for range time.Tick(time.Second) {
		r.mu.Lock()
		if len(r.counts) > 0 {
			_, _ = fmt.Fprintf(r.file, "%8.3f  in this second:", time.Since(r.started).Seconds())
			for _, event := range slices.Sorted(maps.Keys(r.counts)) {
				_, _ = fmt.Fprintf(r.file, " %s %d;", event, r.counts[event])
			}
			_, _ = fmt.Fprintln(r.file)
		}
		clear(r.counts)
		r.mu.Unlock()
	}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// node is one entry instance: a process of the project's own.
type node struct {
	name, zone, callers, ready, settings, log string
	ports                                     []string

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	done    chan struct{}
}

// freePorts returns n loopback addresses whose ports are free, below the range from which outgoing connections take theirs. They stay taken
// until they are released.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > 10_000 {
			return nil, errors.New("no free ports")
		}
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if l, err := net.Listen("tcp", address); err == nil {
			takenPorts.Store(address, l)
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

var takenPorts sync.Map // net.Listener by address

// releasePort frees the port of an address for its use.
func releasePort(address string) {
	if l, taken := takenPorts.LoadAndDelete(address); taken {
		_ = l.(net.Listener).Close()
	}
}

// newNodes writes the settings of instances, filled in as deploy/settings.toml is; zones has one entry for each.
func newNodes(dir, storeAddress string, zones []string) ([]*node, error) {
	var nodes []*node
	for i, zone := range zones {
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, callers: ports[0], ready: ports[1], ports: ports}
		n.settings, n.log = filepath.Join(dir, n.name+".toml"), filepath.Join(dir, n.name+".log")
		text := fmt.Sprintf(`instance = "%s"
zone = "%s"
region = "guj-west"
callers_address = "%s"
ready_address = "%s"
peers_address = "%s"
metrics_address = "%s"
store_address = "%s"
memory_mb = 284
max_descriptors = 4100
stop_seconds = 8
canary_share = 0.15
canary_slack = "30"
link_mbps = "1000"
`, n.name, zone, ports[0], ports[1], ports[2], ports[3], storeAddress)
		if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// start starts the instance's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	for _, address := range n.ports {
		releasePort(address)
	}
	command := exec.Command("target/plumbarrowd", "--gateway", n.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command, n.started, n.done = command, time.Now(), make(chan struct{})
	done := n.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (n *node) startedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// awaitReady waits until all instances report ready.
func awaitReady(nodes []*node, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if response, err := http.Get("http://" + n.ready + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(nodes) {
			return true
		}
	}
	return false
}

// route of the stand-in's configuration.
func route(name, prefix, kind, service string, attempts, timeoutMS, goalMS, priority int) map[string]any {
	r := map[string]any{
		"name": name, "host": "swim.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "goal_ms": goalMS, "priority": priority,
		"service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming",
	}
	if kind == "streaming" {
		r["resumable"], r["gap_target_ms"] = true, 800
	}
	return r
}

func modelService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 170, "protocol": "h1", "tls_mode": false, "cold_s": 3.0, "cold_per_s": 24.0,
		"engine": map[string]any{"slots": slots, "kv_capacity": 681914, "kv_bytes": 18432, "models": []any{map[string]any{"name": "m0", "cost": 0.018}}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 170, "protocol": "h1", "tls_mode": false, "cold_s": 0.0, "cold_per_s": 0.0}
}

func configuration(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "club-1", "api_keys": []string{"key-club-1"}}, map[string]any{"name": "club-2", "api_keys": []string{"key-club-2"}}},
	}
}

// answer is what a client has received.
type answer struct {
	status int
	whole  bool
	stamp  bool
	err    error
	again  time.Duration // Retry-After; 0 without one
}

var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 12 * time.Second,
}}

// request sends one client attempt to the instance and reads the whole answer. An empty prompt sends a plain request.
func request(n *node, method, path, key, id, prompt string, tokens int, deadline time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(strings.Repeat("x", 700)))
	if err != nil {
		return answer{err: err}
	}
	r.GetBody = nil
	if method == http.MethodGet {
		r.Body, r.ContentLength = nil, 0
	}
	r.Host = "swim.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Key", key)
	if prompt != "" {
		r.Header.Set("X-Model", "m0")
		r.Header.Set("X-Token-Count", fmt.Sprintf("%d,60", tokens))
		r.Header.Set("X-Prompt-Prefix", prompt)
	}
	timer := time.AfterFunc(deadline, func() {})
	defer timer.Stop()
	c := *client
	c.Timeout = deadline
	response, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{
		status: response.StatusCode, whole: err == nil, stamp: response.Header.Get("X-Response-Stamp") != "", err: err,
		again: time.Duration(seconds * float64(time.Second)),
	}
}

// traffic calls send at a rate with random pauses until stop is closed, and waits for the calls.
func traffic(perSecond float64, stop <-chan struct{}, send func()) {
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
			calls.Go(send)
		case <-stop:
			return
		}
	}
}

// prompt makes the list of parts of a prompt of galadesk's main kinds of requests, and its length in tokens.
func prompt() (text string, tokens int) {
	own := "e" + randomID(6)
	switch n := rand.IntN(100); {
	case n < 45:
		return fmt.Sprintf("a10%d:2520,a2%03x:3780,%s:2890", rand.IntN(4), rand.IntN(604), own), 9190
	case n < 93:
		return fmt.Sprintf("b1%02x:341,b2%03x:227,%s:1800", rand.IntN(20), rand.IntN(646), own), 2368
	default:
		return fmt.Sprintf("c10%d:103,c2%02x:69,%s:543", rand.IntN(8), rand.IntN(70), own), 715
	}
}

func pick[T any](all []T) T { return all[rand.IntN(len(all))] }
