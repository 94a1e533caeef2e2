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

// homeZone is the default zone of entry instances and endpoints.
const homeZone = "nbo-a"

// binDir is the directory of the programs that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plumbarrow-e2e")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "../cmd/plumbarrow", "../cmd/plumbarrowd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program started by a test, which is killed when the test ends.
type process struct {
	c       *qt.C
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// startProcess starts a program of binDir and waits for the first output line that accept returns true for.
// It fails the test if the program ends before that.
func startProcess(c *qt.C, accept func(line string) bool, name string, args ...string) (*process, string) {
	command := exec.Command(filepath.Join(binDir, name), args...)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	command.Stdout = writer
	command.Stderr = writer
	c.Assert(command.Start(), qt.IsNil)
	writer.Close()
	p := &process{c: c, command: command, done: make(chan struct{})}
	found := make(chan string, 1)
	go p.scanOutput(reader, accept, found)
	c.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	})
	line, ok := <-found
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s %v ended", name, args))
	return p, line
}

// scanOutput reads the output to its end, so that the program never blocks on a full pipe, sends the first
// accepted line to found, and waits for the process.
func (p *process) scanOutput(reader *os.File, accept func(string) bool, found chan string) {
	defer reader.Close()
	lines := bufio.NewScanner(reader)
	seen := false
	for lines.Scan() {
		if !seen && accept(lines.Text()) {
			seen = true
			found <- lines.Text()
		}
	}
	close(found)
	_ = p.command.Wait()
	close(p.done)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// freeze sends SIGSTOP and waits until each thread of the process has stopped: kill(2) returns before that,
// and a thread that still runs could serve one more request.
func (p *process) freeze() {
	p.signal(syscall.SIGSTOP)
	until(p.stopped)
}

// stopped reports whether every thread of the process is in the stopped state (proc(5)).
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

// kill ends the process by SIGKILL, like a crash, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// startStandin starts a stand-in (an emulated part of the environment) and returns its address.
func startStandin(c *qt.C, args ...string) (*process, string) {
	args = append([]string{"standin"}, append(args, "--address", "127.0.0.1:0")...)
	p, line := startProcess(c, func(line string) bool { return strings.HasPrefix(line, "listening on ") }, "plumbarrow", args...)
	return p, strings.TrimPrefix(line, "listening on ")
}

// entry is a running plumbarrowd. The addresses are read from its log line "listening".
type entry struct {
	*process
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// deployment is a platform (store and instance list) with endpoints and entry instances, each a separate
// process.
type deployment struct {
	c           *qt.C
	store, list *process
	storeAddr   string
	listAddr    string
	service     string // address of the service of newDeployment
	token       string // path of the operators' token file
}

// deploymentSlots limits the number of concurrent deployments, of up to ten processes each.
var deploymentSlots = make(chan struct{}, 6)

// newPlatform starts the platform without endpoints, once a slot is free.
func newPlatform(c *qt.C) *deployment {
	deploymentSlots <- struct{}{}
	c.Cleanup(func() { <-deploymentSlots })
	d := &deployment{c: c, token: filepath.Join(c.TempDir(), "token")}
	c.Assert(os.WriteFile(d.token, []byte("operator-token\n"), 0o600), qt.IsNil)
	d.store, d.storeAddr = startStandin(c, "store")
	d.list, d.listAddr = startStandin(c, "instances", "--lag", "0s")
	return d
}

// newDeployment starts the platform, one engine and one service.
func newDeployment(c *qt.C) *deployment {
	d := newPlatform(c)
	d.registerEngine("engine-1", homeZone, "v1", startEngine(c, "v1", "0.9"))
	_, d.service = startStandin(c, "service")
	d.registerService("booking-1", homeZone, d.service)
	return d
}

// startEngine starts an engine of the model small and returns its address. An answer takes about 600 ms.
func startEngine(c *qt.C, version, quality string) string {
	_, address := startStandin(c, "engine", "--model", "small", "--version", version, "--quality", quality,
		"--tokens", "60", "--per-token", "10ms", "--cold-limit", "0")
	return address
}

func (d *deployment) registerEngine(id, zone, version, address string) {
	d.register(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindEngine, Zone: zone, Pool: "engines",
		Address: address, Model: "small", Version: version, State: infra.StateLive})
}

func (d *deployment) registerService(id, zone, address string) {
	d.register(infra.Instance{ID: id, Incarnation: "1", Kind: infra.KindService, Zone: zone, Pool: "booking",
		Address: address, State: infra.StateLive})
}

// register adds the instance to the platform's instance list, or replaces its entry.
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

// entryOptions are the settings of an entry instance. Empty fields have the deployment's values.
type entryOptions struct {
	zone          string
	store, list   string                    // addresses
	settings      string                    // further sections of the settings file, TOML
	listedAddress func(peers string) string // maps the real peers address to the one to list; nil lists the real one
}

// startEntry starts an entry instance with default options and adds it to the instance list.
func (d *deployment) startEntry(id string) *entry { return d.startEntryWith(id, entryOptions{}) }

func (d *deployment) startEntryWith(id string, options entryOptions) *entry {
	file := filepath.Join(d.c.TempDir(), id+".toml")
	options.zone = cmp.Or(options.zone, homeZone)
	settings := fmt.Sprintf(`instance = %q
zone = %q
callers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
operators_token_file = %q
peers_address = "127.0.0.1:0"
store_address = %q
list_address = %q
stop_grace_ms = 0
%s`, id, options.zone, d.token, cmp.Or(options.store, d.storeAddr), cmp.Or(options.list, d.listAddr), options.settings)
	d.c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	p, line := startProcess(d.c, func(line string) bool { return strings.Contains(line, `"listening"`) }, "plumbarrowd", file)
	e := &entry{process: p}
	d.c.Assert(json.Unmarshal([]byte(line), e), qt.IsNil)
	address := e.Peers
	if options.listedAddress != nil {
		address = options.listedAddress(address)
	}
	d.register(infra.Instance{ID: id, Kind: infra.KindEntry, Zone: options.zone, Address: address, State: infra.StateLive})
	return e
}

// mustRunCLI runs the operators' command line and returns its output. A non-zero exit code fails the test.
func (d *deployment) mustRunCLI(args ...string) string {
	code, out := d.runCLI(args...)
	d.c.Assert(code, qt.Equals, 0, qt.Commentf("%v: %s", args, out))
	return out
}

// runCLI runs the operators' command line and returns its exit code and output.
func (d *deployment) runCLI(args ...string) (int, string) {
	command := exec.Command(filepath.Join(binDir, "plumbarrow"), args...)
	out, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		d.c.Fatal(err)
	}
	return command.ProcessState.ExitCode(), string(out)
}

// runOperatorCommand runs an operators' command against an instance and returns its exit code and output.
func (d *deployment) runOperatorCommand(at *entry, args ...string) (int, string) {
	return d.runCLI(append(args, "--operators", at.Operators, "--token-file", d.token)...)
}

// status returns the status that an instance reports.
func (d *deployment) status(at *entry) api.Status {
	_, out := d.runOperatorCommand(at, "status", "--json")
	var statuses []api.Status
	d.c.Assert(json.Unmarshal([]byte(out), &statuses), qt.IsNil, qt.Commentf("%s", out))
	return statuses[0]
}

// applyConfig applies a configuration file at an instance. A failure fails the test.
func (d *deployment) applyConfig(e *entry, file string) {
	d.mustRunCLI("config", "apply", "--operators", e.Operators, "--token-file", d.token, file)
}
