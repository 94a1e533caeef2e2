package e2e_test

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/operate/api"
)

// homeZone is the zone of whatever is not said to be elsewhere.
const homeZone = "nbo-a"

// bin is the folder of the built programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plumbarrow-e2e")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "../cmd/plumbarrow", "../cmd/plumbarrowd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	bin = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program of this test.
type process struct {
	c       *qt.C
	command *exec.Cmd
	done    chan struct{}
}

// start runs a program and returns the first line of its output that want accepts.
func start(c *qt.C, want func(line string) bool, name string, args ...string) (*process, string) {
	command := exec.Command(filepath.Join(bin, name), args...)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	command.Stdout = writer
	command.Stderr = writer
	c.Assert(command.Start(), qt.IsNil)
	writer.Close()
	p := &process{c: c, command: command, done: make(chan struct{})}
	found := make(chan string, 1)
	go p.read(reader, want, found)
	c.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	})
	line, ok := <-found
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s %v ended", name, args))
	return p, line
}

func (p *process) read(reader *os.File, want func(string) bool, found chan string) {
	defer reader.Close()
	lines := bufio.NewScanner(reader)
	seen := false
	for lines.Scan() {
		if !seen && want(lines.Text()) {
			seen = true
			found <- lines.Text()
		}
	}
	close(found)
	_ = p.command.Wait()
	close(p.done)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// freeze stops the process and waits until each of its threads has stopped: SIGSTOP returns before
// that, and a thread that still runs can serve one more request.
func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	until(p.stopped)
}

// stopped says whether every thread of the process is in the stopped state (proc(5)).
func (p *process) stopped() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, stat := range stats {
		data, err := os.ReadFile(stat)
		if err != nil {
			return false
		}
		// The state follows the command's name, which is in parentheses and may hold spaces.
		_, state, found := strings.Cut(string(data[bytes.LastIndexByte(data, ')'):]), " ")
		if !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill ends the process as a crash does and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// standin starts a stand-in and returns its address.
func standin(c *qt.C, args ...string) (*process, string) {
	args = append([]string{"standin"}, append(args, "--address", "127.0.0.1:0")...)
	p, line := start(c, func(line string) bool { return strings.HasPrefix(line, "listening on ") }, "plumbarrow", args...)
	return p, strings.TrimPrefix(line, "listening on ")
}

// entry is a running plumbarrowd.
type entry struct {
	*process
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// deployment is a platform with endpoints and entry instances, each a process of its own.
type deployment struct {
	c           *qt.C
	store, list *process
	storeAddr   string
	listAddr    string
	service     string // address
	token       string // file
}

// deployments bounds how many deployments, of up to ten processes each, run at once.
var deployments = make(chan struct{}, 6)

// newPlatform starts the platform without endpoints.
func newPlatform(c *qt.C) *deployment {
	deployments <- struct{}{}
	c.Cleanup(func() { <-deployments })
	d := &deployment{c: c, token: filepath.Join(c.TempDir(), "token")}
	c.Assert(os.WriteFile(d.token, []byte("operator-token\n"), 0o600), qt.IsNil)
	d.store, d.storeAddr = standin(c, "store")
	d.list, d.listAddr = standin(c, "instances", "--lag", "0s")
	return d
}

// newDeployment starts the platform, one engine and one service.
func newDeployment(c *qt.C) *deployment {
	d := newPlatform(c)
	d.listEngine("engine-1", homeZone, "v1", startEngine(c, "v1", "0.9"))
	_, d.service = standin(c, "service")
	d.listService("booking-1", homeZone, d.service)
	return d
}

// startEngine starts an engine of the model small and returns its address.
func startEngine(c *qt.C, version, quality string) string {
	_, address := standin(c, "engine", "--model", "small", "--version", version, "--quality", quality,
		"--tokens", "60", "--per-token", "10ms", "--cold-limit", "0")
	return address
}

func (d *deployment) listEngine(id, zone, version, address string) {
	d.register(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindEngine, Zone: zone, Pool: "engines",
		Address: address, Model: "small", Version: version, State: infra.StateLive})
}

func (d *deployment) listService(id, zone, address string) {
	d.register(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindService, Zone: zone, Pool: "booking",
		Address: address, State: infra.StateLive})
}

func (d *deployment) register(instance infra.Instance) {
	body, err := json.Marshal(instance)
	d.c.Assert(err, qt.IsNil)
	d.put("http://"+d.listAddr+"/instances/"+instance.ID, string(body))
}

func (d *deployment) put(url, body string) {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	d.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	d.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	d.c.Assert(response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s: %s", url, response.Status))
}

// seat says where and how an entry instance runs; empty fields have the deployment's values.
type seat struct {
	zone        string
	store, list string                    // addresses
	settings    string                    // further sections of the settings, TOML
	listed      func(peers string) string // the peer address to list, given the real one
}

// enter starts an entry instance and lists it.
func (d *deployment) enter(id string) *entry { return d.enterAt(id, seat{}) }

func (d *deployment) enterAt(id string, at seat) *entry {
	file := filepath.Join(d.c.TempDir(), id+".toml")
	at.zone = cmp.Or(at.zone, homeZone)
	settings := fmt.Sprintf(`instance = %q
zone = %q
callers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
operators_token_file = %q
peers_address = "127.0.0.1:0"
store_address = %q
list_address = %q
stop_grace_ms = 0
%s`, id, at.zone, d.token, cmp.Or(at.store, d.storeAddr), cmp.Or(at.list, d.listAddr), at.settings)
	d.c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	p, line := start(d.c, func(line string) bool { return strings.Contains(line, `"listening"`) }, "plumbarrowd", file)
	e := &entry{process: p}
	d.c.Assert(json.Unmarshal([]byte(line), e), qt.IsNil)
	address := e.Peers
	if at.listed != nil {
		address = at.listed(address)
	}
	d.register(infra.Instance{ID: id, Kind: infra.KindEntry, Zone: at.zone, Address: address, State: infra.StateLive})
	return e
}

// cli runs the operators' command line and returns its output.
func (d *deployment) cli(args ...string) string {
	code, out := d.try(args...)
	d.c.Assert(code, qt.Equals, 0, qt.Commentf("%v: %s", args, out))
	return out
}

// try runs the operators' command line and returns its exit code and output.
func (d *deployment) try(args ...string) (int, string) {
	command := exec.Command(filepath.Join(bin, "plumbarrow"), args...)
	out, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		d.c.Fatal(err)
	}
	return command.ProcessState.ExitCode(), string(out)
}

// operate gives an operator's command at an instance.
func (d *deployment) operate(at *entry, args ...string) (int, string) {
	return d.try(append(args, "--operators", at.Operators, "--token-file", d.token)...)
}

// status returns what an instance says of itself.
func (d *deployment) status(at *entry) api.Status {
	_, out := d.operate(at, "status", "--json")
	var statuses []api.Status
	d.c.Assert(json.Unmarshal([]byte(out), &statuses), qt.IsNil, qt.Commentf("%s", out))
	return statuses[0]
}

// apply puts a configuration file into force.
func (d *deployment) apply(e *entry, file string) {
	d.cli("config", "apply", "--operators", e.Operators, "--token-file", d.token, file)
}
