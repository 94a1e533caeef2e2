package entry_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/link"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// scriptedJudge rates answers with the given scores, in order.
type scriptedJudge struct {
	scores []float64
	next   atomic.Int64
}

func (j *scriptedJudge) PassChance(string, decide.Kind, int) (float64, int) { return 1, 100 }

func (j *scriptedJudge) Rate(context.Context, *decide.Request, decide.Step, string, string) (float64, bool) {
	return j.scores[j.next.Add(1)-1], true
}

func (j *scriptedJudge) Sample(*decide.Request, decide.Step, string, string) {}

var (
	uuids  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	tokens = regexp.MustCompile(`pbs1\.[A-Za-z0-9_.-]+`)
)

// transcript collects each answer and its explain record, with times cleared and ids and tokens
// replaced by fixed names, so that runs compare equal.
type transcript struct {
	strings.Builder
	ids map[string]string
}

func (t *transcript) add(f *testInstance, title string, r reply) {
	record := f.explain(r)
	record.Received = time.Time{}
	record.DurationMS = 0
	if record.Bill != nil {
		record.Bill.At = time.Time{}
	}
	data, err := json.MarshalIndent(record, "", "  ")
	f.c.Assert(err, qt.IsNil)
	headers := ""
	for _, name := range []string{"Content-Type", link.HeaderVersion, link.HeaderSession, link.HeaderReplayed, link.HeaderRequestID} {
		if value := r.header.Get(name); value != "" {
			headers += name + ": " + value + "\n"
		}
	}
	text := fmt.Sprintf("== %s\n%d\n%s\n%s\n-- record\n%s\n\n", title, r.status, headers, strings.TrimSpace(r.body), data)
	text = uuids.ReplaceAllStringFunc(text, func(id string) string {
		if t.ids[id] == "" {
			t.ids[id] = fmt.Sprintf("id-%d", len(t.ids)+1)
		}
		return t.ids[id]
	})
	t.WriteString(tokens.ReplaceAllString(text, "pbs1.TOKEN"))
}

// TestGoldenSession runs a scripted sequence of requests and compares answers, verdicts, bills and
// decisions with the golden file, byte for byte.
func TestGoldenSession(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.Judge = &scriptedJudge{scores: []float64{0.9, 0.3, 0.2}}
	})
	failures := 0
	small := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(link.HeaderVersion) == "small@v1" && failures > 0 {
			failures--
			truncatingEngine("v1", len(streamEvents[0])+3)(w, r)
		}
		engine("v1")(w, r)
	}
	f.add("small-engines", "small@v1", small)
	f.add("large-engines", "large@v1", engine("v1"))
	booked := 0
	f.add("booking", "", func(w http.ResponseWriter, _ *http.Request) {
		booked++
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "visit %d", booked)
	})
	script := &transcript{ids: make(map[string]string)}
	first := f.ask("assistant", true)
	script.add(f, "a stream", first)
	session := first.header.Get(link.HeaderSession)
	script.add(f, "a whole answer in the same session", f.ask("assistant", false, link.HeaderSession, session))
	script.add(f, "a cascade whose cheap answer passes", f.ask("careful", true))
	script.add(f, "a cascade whose cheap answer fails", f.ask("careful", true))
	script.add(f, "a cascade without streaming", f.ask("careful", false))
	script.add(f, "a booking", f.send(http.MethodPost, "/bookings", `{"flat":"Kilimani"}`, link.HeaderIdempotencyKey, "k"))
	script.add(f, "its repeat", f.send(http.MethodPost, "/bookings", `{"flat":"Kilimani"}`, link.HeaderIdempotencyKey, "k"))
	script.add(f, "its key with another body", f.send(http.MethodPost, "/bookings", `{}`, link.HeaderIdempotencyKey, "k"))
	script.add(f, "a schedule", f.send(http.MethodGet, "/bookings/1", ""))
	failures = 1
	script.add(f, "a whole answer, broken once", f.ask("assistant", false))
	failures = 1
	script.add(f, "a stream, broken", f.ask("assistant", true))
	script.add(f, "a model of nobody", f.ask("unheard", true))
	f.configure(withdrawV1)
	script.add(f, "the session after its version's withdrawal", f.ask("assistant", true, link.HeaderSession, session))

	const file = "testdata/session.golden"
	if *update {
		c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		c.Assert(os.WriteFile(file, []byte(script.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(script.String(), qt.Equals, string(want))
}
