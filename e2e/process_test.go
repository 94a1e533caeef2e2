package e2e_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/platform"
)

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

// newDeployment starts the platform, one engine and one service, and applies the configuration.
func newDeployment(c *qt.C) *deployment {
	d := &deployment{c: c, token: filepath.Join(c.TempDir(), "token")}
	c.Assert(os.WriteFile(d.token, []byte("operator-token\n"), 0o600), qt.IsNil)
	d.store, d.storeAddr = standin(c, "store")
	d.list, d.listAddr = standin(c, "instances", "--lag", "0s")
	_, engine := standin(c, "engine", "--model", "small", "--version", "v1", "--tokens", "60", "--per-token", "10ms", "--cold-limit", "0")
	_, d.service = standin(c, "service")
	d.register(platform.Instance{ID: "engine-1", Incarnation: "1", Kind: platform.KindEngine, Zone: "nbo-a", Pool: "engines",
		Address: engine, Model: "small", Version: "v1", State: platform.StateLive})
	d.register(platform.Instance{ID: "booking-1", Incarnation: "1", Kind: platform.KindService, Zone: "nbo-a", Pool: "booking",
		Address: d.service, State: platform.StateLive})
	return d
}

func (d *deployment) register(instance platform.Instance) {
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

// enter starts an entry instance and lists it.
func (d *deployment) enter(id string) *entry {
	file := filepath.Join(d.c.TempDir(), id+".toml")
	settings := fmt.Sprintf(`instance = %q
zone = "nbo-a"
callers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
operators_token_file = %q
peers_address = "127.0.0.1:0"
store_address = %q
list_address = %q
stop_grace_ms = 0
`, id, d.token, d.storeAddr, d.listAddr)
	d.c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	p, line := start(d.c, func(line string) bool { return strings.Contains(line, `"listening"`) }, "plumbarrowd", file)
	e := &entry{process: p}
	d.c.Assert(json.Unmarshal([]byte(line), e), qt.IsNil)
	d.register(platform.Instance{ID: id, Kind: platform.KindEntry, Zone: "nbo-a", Address: e.Peers, State: platform.StateLive})
	return e
}

// cli runs the operators' command line and returns its output.
func (d *deployment) cli(args ...string) string {
	out, err := exec.Command(filepath.Join(bin, "plumbarrow"), args...).CombinedOutput()
	d.c.Assert(err, qt.IsNil, qt.Commentf("%v: %s", args, out))
	return string(out)
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
}

func (e *entry) call(method, path, key, body string) reply {
	request, err := http.NewRequest(method, "http://"+e.Callers+path, strings.NewReader(body))
	e.c.Assert(err, qt.IsNil)
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer sk-acme")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{response.StatusCode, string(data)}
}

func (e *entry) chat() reply {
	return e.call(http.MethodPost, "/v1/chat/completions", "", `{"model":"assistant","stream":true,"messages":[]}`)
}

func (e *entry) book(key string) reply {
	return e.call(http.MethodPost, "/bookings", key, `{"flat":"Kilimani"}`)
}

// runs returns how often the service ran each key.
func (d *deployment) runs() map[string]int {
	response, err := http.Get("http://" + d.service + "/runs")
	d.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	runs := make(map[string]int)
	d.c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs
}

// apply puts a configuration file into force.
func (d *deployment) apply(e *entry, file string) {
	d.cli("config", "apply", "--operators", e.Operators, "--token-file", d.token, file)
}
