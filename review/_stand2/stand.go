// Command stand2 holds the stand-ins of the review's scripts: the platform's store, engines and clients. It starts the project's gateway
// processes, plays one case, writes record.txt and exits with 1 if the case's rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stand is the small deployment of one script.
type stand struct {
	folder  string // of the case
	temp    string
	trouble bool
	store   *store
	begun   time.Time

	mu       sync.Mutex
	lines    []string
	gateways []*gatewayProcess
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes one line into the record.
func (s *stand) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%8.3f ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (s *stand) writeRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	check(os.WriteFile(filepath.Join(s.folder, "record.txt"), []byte(strings.Join(s.lines, "\n")+"\n"), 0o644))
}

// main plays the case whose number is the first argument; the second one is its folder.
func main() {
	cases := map[string]func(*stand) bool{"6": routeRemoved, "7": resetWhileFrozen, "8": headCrowd}
	play := cases[os.Args[1]]
	if play == nil {
		os.Exit(2)
	}
	temp, err := os.MkdirTemp("", "review")
	check(err)
	s := &stand{folder: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), begun: time.Now()}
	code := 2
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				s.note("the case couldn't run: %v", cause)
				code = 2
			}
			for _, g := range s.gateways {
				g.end()
			}
		}()
		s.note("disruption: %t", s.trouble)
		if play(s) {
			code = 1
		} else {
			code = 0
		}
	}()
	s.note("result: %d (1: the rule was broken, 0: it held, 2: the case couldn't run)", code)
	s.writeRecord()
	_ = os.RemoveAll(temp)
	os.Exit(code)
}

// gatewayProcess is one entry instance.
type gatewayProcess struct {
	name, settings, callers, ready string
	cmd                            *exec.Cmd
	done                           chan struct{}
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts = map[int]bool{}

// freeAddress returns a free loopback address below the ports that the system gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		port := 18000 + rand.IntN(14000)
		if givenPorts[port] {
			continue
		}
		givenPorts[port] = true
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
	panic("no free port")
}

// gateway starts an instance with the settings that deploy/settings.toml gives one of a small deployment.
func (s *stand) gateway(name, zone, storeAddress string) *gatewayProcess {
	g := &gatewayProcess{name: name, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(s.temp, name+".toml")}
	text := fmt.Sprintf("instance = %q\nzone = %q\nregion = \"nairobi\"\ncallers_address = %q\nready_address = %q\npeers_address = %q\n"+
		"metrics_address = %q\nstore_address = %q\nmemory_mb = 284\nmax_descriptors = 4100\nstop_seconds = 8\ncanary_share = 0.15\n",
		name, zone, g.callers, g.ready, freeAddress(), freeAddress(), storeAddress)
	check(os.WriteFile(g.settings, []byte(text), 0o644))
	s.start(g)
	s.gateways = append(s.gateways, g)
	return g
}

// start starts the instance's process with the command of the deploy file.
func (s *stand) start(g *gatewayProcess) {
	out, err := os.OpenFile(filepath.Join(s.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	g.cmd = exec.Command("target/plumbarrowd", "--gateway", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// On a small deployment's machines the processor list reports one core (DEPLOY.md, "A process is scheduled as batch work").
	g.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.cmd.Start())
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(g.cmd, g.done)
	s.note("%s starts", g.name)
}

func (g *gatewayProcess) signal(sig syscall.Signal) { check(g.cmd.Process.Signal(sig)) }

func (g *gatewayProcess) alive() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

func (g *gatewayProcess) end() {
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.done
}

// awaitReady waits until the instance says that it is ready.
func (s *stand) awaitReady(g *gatewayProcess) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.note("%s is ready", g.name)
			return
		}
	}
	panic(g.name + " does not become ready")
}

// log returns the lines of the instance's log that hold the text.
func (s *stand) log(g *gatewayProcess, text string) []string {
	data, err := os.ReadFile(filepath.Join(s.temp, g.name+".log"))
	check(err)
	var found []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// engine is an engine on a loopback address. handle answers one request and returns false to close the connection.
type engine struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	handle                     func(conn *net.TCPConn, request *http.Request, id string) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

// engine starts an engine and registers it in the store.
func (s *stand) engine(id, service, zone string, slots int, handle func(*net.TCPConn, *http.Request, string) bool) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, born: time.Now().UnixMilli(), handle: handle,
		listener: listener, conns: map[*net.TCPConn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	s.register(e, "ready")
	return e
}

// register writes the engine's entry.
func (s *stand) register(e *engine, state string) {
	s.store.put("servers/"+e.id, object{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state, "cold_left_ms": 0,
		"seq": 1, "born": e.born,
	})
}

func (e *engine) serve(conn *net.TCPConn) {
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if request.Header.Get("X-Expect-Instance") != e.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
			continue
		}
		if !e.handle(conn, request, id) {
			return
		}
	}
}

// reset resets all connections of the engine.
func (e *engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// crash ends the engine's process: its connections are reset and nothing listens at its address.
func (e *engine) crash() {
	_ = e.listener.Close()
	e.reset()
}

// head is the head of an engine's answer without its framing and end.
func head(status int, id, engine string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: stamp.%s.%s\r\n", status, http.StatusText(status), id, engine, id)
}

// client is one client with one connection to an instance, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (g *gatewayProcess) client() *client {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	check(err)
	return &client{conn: conn, reader: bufio.NewReader(conn)}
}

// answer is what a client got. err is set if there is no complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	bytes  bool // any byte of an answer came
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %d ms (status %d, %d bytes of the body): %v", a.took.Milliseconds(), a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d after %d ms, %d bytes", a.status, a.took.Milliseconds(), len(a.body))
}

// send sends one request and waits for its answer.
func (c *client) send(method, host, target string, header map[string]string, deadline time.Duration) answer {
	started := time.Now()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, deadline.Milliseconds())
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	_ = c.conn.SetDeadline(started.Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	_, peekErr := c.reader.Peek(1)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, bytes: peekErr == nil, took: time.Since(started)}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), bytes: true, err: err, took: time.Since(started)}
}
