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

const configuration = `
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

// ready starts two entry instances and waits until both serve chats and bookings.
func (d *deployment) ready() (a, b *entry) {
	a = d.enter("entry-a")
	b = d.enter("entry-b")
	d.apply(a, d.file(configuration))
	d.serving(a, b)
	return a, b
}

// file writes a configuration and returns its path.
func (d *deployment) file(text string) string {
	file := filepath.Join(d.c.TempDir(), "configuration.toml")
	text = strings.Replace(text, "KEYHASH", contract.HashKey("sk-acme"), 1)
	d.c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return file
}

// serving waits until the instances serve chats and bookings.
func (d *deployment) serving(entries ...*entry) {
	for _, e := range entries {
		until(func() bool { return e.chat().whole() })
		until(func() bool { return e.book("warm-"+e.Callers).status == http.StatusCreated })
	}
}

// until repeats a step until it holds; the test's own deadline bounds it.
func until(holds func() bool) {
	for !holds() {
		time.Sleep(20 * time.Millisecond)
	}
}

// TestKilledClaimer kills an entry instance after the service ran its booking and before the answer
// came. A repeat at another instance must not run again and must say that it may have run.
func TestKilledClaimer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.ready()
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

// TestFrozenClaimer freezes an entry instance instead; when it thaws, nothing runs a second time.
func TestFrozenClaimer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.ready()
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

// TestFrozenStore freezes the platform's store: chats go on, bookings with a key are refused and did
// not run, and run once the store is back.
func TestFrozenStore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, _ := d.ready()
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

// TestTerminate stops an entry instance in the planned way under streams: none is cut short.
func TestTerminate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.ready()
	const streams = 10
	answers := make(chan reply, streams)
	for range streams {
		go func() { answers <- a.chat() }()
	}
	time.Sleep(200 * time.Millisecond) // each stream takes 600 ms; whether all have begun does not matter
	a.signal(syscall.SIGTERM)
	cut := 0
	for range streams {
		answer := <-answers
		whole := strings.HasSuffix(answer.body, "data: [DONE]\n\n")
		notBegun := answer.status == 0 && strings.Contains(answer.body, "connection refused")
		if !whole && !notBegun {
			cut++
			c.Logf("cut: %d %s", answer.status, answer.body)
		}
	}
	c.Check(cut, qt.Equals, 0)
	<-a.done
	c.Check(a.command.ProcessState.ExitCode(), qt.Equals, 0)
	c.Check(strings.HasSuffix(b.chat().body, "data: [DONE]\n\n"), qt.IsTrue)
}
