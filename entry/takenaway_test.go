package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/link"
)

// takenAway edits the fixture document: each configuration lacks something that a request was admitted with.
var takenAway = map[string]*strings.Replacer{
	"route":         strings.NewReplacer(`name = "bookings"`, `name = "other"`, `["bookings"]`, `["other"]`, `name = "assistant"`, `name = "helper"`, `"assistant", `, `"helper", `),
	"key":           strings.NewReplacer(contract.HashKey("sk-acme"), contract.HashKey("sk-new")),
	"customer":      strings.NewReplacer(`"acme"`, `"new"`),
	"access":        strings.NewReplacer(`customers = ["acme"]`, `customers = ["beta"]`, `models = ["large"] },`, `models = ["small", "large"] },`),
	"repeatability": strings.NewReplacer(`idempotent_methods = ["GET"]`, `idempotent_methods = ["PUT"]`),
}

// TestTakenAwayBetweenAttempts guards against requests that are sent once more where the newest configuration does not allow it: to a route that
// may not be repeated any more, or under a key that was withdrawn. A refusal of what may have run must not look like one of what has not.
func TestTakenAwayBetweenAttempts(t *testing.T) {
	for name, expected := range map[string][3]string{
		// not sent, may have run, streaming
		"route":         {"404 not_run", "502 may_have_run", "cut"},
		"key":           {"401 not_run", "502 may_have_run", "cut"},
		"customer":      {"401 not_run", "502 may_have_run", "cut"},
		"access":        {"403 not_run", "502 may_have_run", "cut"},
		"repeatability": {"200 ", "502 may_have_run", "whole"}, // chat requests may always be repeated
	} {
		for phase := range 3 {
			t.Run(name+"/"+[]string{"not sent", "may have run", "streaming"}[phase], func(t *testing.T) {
				c := qt.New(t)
				f := newTestInstance(c, "a", nil)
				repeatable := func(d string) string {
					return strings.Replace(d, `path_prefix = "/bookings"`, "path_prefix = \"/bookings\"\nidempotent_methods = [\"GET\"]", 1)
				}
				f.configure(repeatable)
				var attempts atomic.Int32
				fail := func(w http.ResponseWriter, r *http.Request) bool {
					if attempts.Add(1) > 1 {
						return false
					}
					f.configure(func(d string) string { return takenAway[name].Replace(repeatable(d)) })
					switch phase {
					case 0:
						w.Header().Set(link.HeaderVerdict, "not_run")
						w.WriteHeader(http.StatusServiceUnavailable)
					case 1:
						panic(http.ErrAbortHandler)
					default:
						w.Header().Set(link.HeaderResume, "1")
						truncatingEngine("v1", len(streamEvents[0])+5)(w, r)
					}
					return true
				}
				for range 2 {
					f.add("booking", "", func(w http.ResponseWriter, r *http.Request) {
						if !fail(w, r) {
							_, _ = io.WriteString(w, "done")
						}
					})
					f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
						if fail(w, r) {
							return
						}
						w.Header().Set(link.HeaderResumeFrom, r.Header.Get(link.HeaderResumeFrom))
						_ = chatBody(w, r, "v1")
						_, _ = io.WriteString(w, strings.Join(streamEvents[1:], ""))
					})
				}
				var got string
				if phase < 2 {
					r := f.send(http.MethodGet, "/bookings", "")
					got = fmt.Sprintf("%d %s", r.status, r.refusal().Verdict)
				} else if r := f.ask("assistant", true); r.body == strings.Join(streamEvents[:3], "")+streamEvents[4] {
					got = "whole"
				} else if strings.Contains(r.body, `"verdict":"may_have_run"`) {
					got = "cut"
				}
				c.Check(got, qt.Equals, expected[phase])
			})
		}
	}
}
