package e2e_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
)

const baseConfig = `
[[zones]]
name = "nbo-a"
region = "nairobi"

[[customers]]
name = "acme"
key_hashes = ["KEYHASH"]
models = ["small"]

[[models]]
name = "small"

[[models.versions]]
name = "v1"
prompt_price_micros = 100
output_price_micros = 200

[[pools]]
name = "engines"
model = "small"
routes = ["assistant"]

[[pools]]
name = "booking"
kind = "service"
routes = ["bookings"]

[[routes]]
name = "assistant"
customers = ["acme"]
model = "assistant"
pools = ["engines"]

[[routes]]
name = "bookings"
customers = ["acme"]
path_prefix = "/bookings"
pools = ["booking"]
deadline_ms = 60000
`

// startPair starts two entry instances with baseConfig and waits until both serve chats and bookings.
func (d *deployment) startPair() (a, b *entry) {
	a = d.startEntry("entry-a")
	b = d.startEntry("entry-b")
	d.applyConfig(a, d.configFile(baseConfig))
	d.awaitServing(a, b)
	return a, b
}

// configFile writes a configuration, with the hash of acme's key filled in, and returns the path of the file.
func (d *deployment) configFile(text string) string {
	configFile := filepath.Join(d.c.TempDir(), "configuration.toml")
	text = strings.Replace(text, "KEYHASH", contract.HashKey("sk-acme"), 1)
	d.c.Assert(os.WriteFile(configFile, []byte(text), 0o600), qt.IsNil)
	return configFile
}

// awaitServing waits until the instances serve chats and bookings.
func (d *deployment) awaitServing(entries ...*entry) {
	for _, e := range entries {
		until(func() bool { return e.chat().complete() })
		until(func() bool { return e.book("warm-"+e.Callers).status == http.StatusCreated })
	}
}

// until polls the condition until it holds. Only the timeout of go test limits the wait.
func until(holds func() bool) {
	for !holds() {
		time.Sleep(20 * time.Millisecond)
	}
}

// TestKilledClaimer guards against a second execution when an entry instance crashes after the service ran
// its booking and before the service answered. A retry at another instance must not run and must be refused
// with the verdict may_have_run.
func TestKilledClaimer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	d.put("http://"+d.service+"/faults", `{"silences_after":1}`)
	go a.book("k1")
	until(func() bool { return d.runs()["k1"] == 1 })
	a.kill()
	repeat := b.book("k1")
	c.Check(repeat.status, qt.Equals, http.StatusConflict, qt.Commentf("%s", repeat.body))
	c.Check(repeat.body, qt.Contains, `"verdict":"may_have_run"`)
	c.Check(b.book("k2").status, qt.Equals, http.StatusCreated)
	c.Check(d.runs()["k1"], qt.Equals, 1)
	c.Check(d.runs()["k2"], qt.Equals, 1)
}

// TestFrozenClaimer is TestKilledClaimer with an entry instance that is frozen instead of killed. After it
// resumes, the booking must not run a second time.
func TestFrozenClaimer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	d.put("http://"+d.service+"/faults", `{"silences_after":1}`)
	go a.book("k1")
	until(func() bool { return d.runs()["k1"] == 1 })
	a.freeze()
	repeat := b.book("k1")
	c.Check(repeat.body, qt.Contains, `"verdict":"may_have_run"`)
	a.signal(syscall.SIGCONT)
	until(func() bool { return a.book("k2").status == http.StatusCreated })
	c.Check(b.book("k1").body, qt.Contains, `"verdict":"may_have_run"`)
	c.Check(d.runs()["k1"], qt.Equals, 1)
}

// TestFrozenStore freezes the platform's store. Chats are still served; bookings with an idempotency key are
// refused with the verdict not_run, do not run, and succeed once the store is back.
func TestFrozenStore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, _ := d.startPair()
	d.store.freeze()
	refused := a.book("k1")
	c.Check(refused.body, qt.Contains, `"verdict":"not_run"`)
	c.Check(refused.body, qt.Contains, `"reason":"ledger_unavailable"`)
	chat := a.chat()
	c.Check(strings.HasSuffix(chat.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", chat.body))
	c.Check(d.runs()["k1"], qt.Equals, 0)
	d.store.signal(syscall.SIGCONT)
	until(func() bool { return a.book("k1").status == http.StatusCreated })
	c.Check(d.runs()["k1"], qt.Equals, 1)
}

// TestTerminate stops an entry instance with SIGTERM during streams. It must drain: every stream that began
// is completed, and the process exits with code 0.
func TestTerminate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	const streams = 10
	answers := make(chan reply, streams)
	for range streams {
		go func() { answers <- a.chat() }()
	}
	time.Sleep(200 * time.Millisecond) // a stream takes 600 ms; the test also holds if some have not begun
	a.signal(syscall.SIGTERM)
	cut := 0
	for range streams {
		answer := <-answers
		complete := strings.HasSuffix(answer.body, "data: [DONE]\n\n")
		notStarted := answer.status == 0 && strings.Contains(answer.body, "connection refused")
		if !complete && !notStarted {
			cut++
			c.Logf("cut: %d %s", answer.status, answer.body)
		}
	}
	c.Check(cut, qt.Equals, 0)
	<-a.done
	c.Check(a.command.ProcessState.ExitCode(), qt.Equals, 0)
	c.Check(strings.HasSuffix(b.chat().body, "data: [DONE]\n\n"), qt.IsTrue)
}
