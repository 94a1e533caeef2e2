// Command review-harness plays the scripts of review/. It starts target/plumbarrowd as separate processes and
// stands in for the platform's store, the engines and the clients, on loopback addresses.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

var cases = map[string]func(*play) bool{
	"duplicate": playDuplicate,
	"hangup":    playHangup,
	"queued":    playQueued,
	"reverted":  playReverted,
	"silence":   playSilence,
}

// play is one run of a case.
type play struct {
	trouble bool
	folder  string // temporary
	store   *store
	started time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*instance
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE RECORD")
		os.Exit(exitFailed)
	}
	record, err := os.Create(os.Args[2])
	fatalIf(err)
	folder, err := os.MkdirTemp("", "review")
	fatalIf(err)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: folder, store: startStore(), started: time.Now(), record: record}
	p.note("case %s, trouble %v", os.Args[1], p.trouble)
	time.AfterFunc(110*time.Second, func() { p.end(exitFailed, "the case took too long") })
	held := cases[os.Args[1]](p)
	if held {
		p.end(exitHeld, "the rule held")
	}
	p.end(exitBroken, "the rule was broken")
}

// end stops the instances and exits.
func (p *play) end(code int, why string) {
	p.note("exit %d: %s", code, why)
	for _, proc := range p.procs {
		proc.kill()
	}
	_ = p.record.Close()
	_ = os.RemoveAll(p.folder)
	fmt.Println(why)
	os.Exit(code)
}

// note writes a line into the record, with the time since the start in milliseconds.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%7d ms  %s\n", time.Since(p.started).Milliseconds(), fmt.Sprintf(format, args...))
}

func fatalIf(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		os.Exit(exitFailed)
	}
}

// instance is one process of plumbarrowd.
type instance struct {
	name, callers, ready string
	settings             string // file
	play                 *play
	cmd                  *exec.Cmd
	exited               chan struct{}
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fatalIf(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newInstance writes the settings of an instance from the template of the deploy file.
func (p *play) newInstance(name, zone string) *instance {
	template, err := os.ReadFile("deploy/settings.toml")
	fatalIf(err)
	i := &instance{name: name, callers: freeAddress(), ready: freeAddress(), play: p}
	text := strings.NewReplacer(
		"{{node_name}}", name, "{{zone}}", zone, "{{region}}", "region",
		"{{listen_addrs.front}}", i.callers, "{{listen_addrs.ready}}", i.ready,
		"{{ip}}:{{port_range.0}}", freeAddress(), "{{ip}}:{{port_range.1}}", freeAddress(),
		"{{provider.address}}", p.store.address, "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100", "{{contract_bounds.grace_s}}", "8",
		"{{#contract_bounds.canary_share}}", "", "{{/contract_bounds.canary_share}}", "", "{{contract_bounds.canary_share}}", "0.15",
	).Replace(string(template))
	i.settings = filepath.Join(p.folder, name+".toml")
	fatalIf(os.WriteFile(i.settings, []byte(text), 0o600))
	p.procs = append(p.procs, i)
	return i
}

func (i *instance) start() {
	log, err := os.OpenFile(filepath.Join(i.play.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fatalIf(err)
	i.cmd = exec.Command("target/plumbarrowd", "--gateway", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fatalIf(i.cmd.Start())
	i.play.note("%s started", i.name)
	exited := make(chan struct{})
	i.exited = exited
	cmd := i.cmd
	go func() {
		err := cmd.Wait()
		i.play.note("%s ended: %v", i.name, err)
		_ = log.Close()
		close(exited)
	}()
}

func (i *instance) signal(s syscall.Signal) {
	i.play.note("%v to %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

func (i *instance) kill() {
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	<-i.exited
}

// awaitReady waits until the readiness check passes.
func (i *instance) awaitReady() {
	for range 200 {
		if conn, err := net.DialTimeout("tcp", i.ready, time.Second); err == nil {
			_, _ = fmt.Fprintf(conn, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
			answer, _ := io.ReadAll(conn)
			_ = conn.Close()
			if strings.HasPrefix(string(answer), "HTTP/1.1 200") {
				i.play.note("%s is ready", i.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	i.play.end(exitFailed, i.name+" did not become ready")
}
