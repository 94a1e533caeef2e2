package entry_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
)

// TestCallerSessionRepinnedOnce checks sessions with a caller-chosen id whose version is withdrawn.
// Each must move to one other version, the same at all instances, although each instance draws the
// new version on its own.
func TestCallerSessionRepinnedOnce(t *testing.T) {
	c := qt.New(t)
	edit := func(state, others string) func(string) string {
		return strings.NewReplacer(
			`{ name = "v1", prompt_price_micros = 1000`, `{ name = "v3", weight = `+others+` }, { name = "v1", state = "`+state+`", prompt_price_micros = 1000`,
			`name = "v2", weight = 0.0`, `name = "v2", weight = `+others,
			`model = "assistant"`, `model = "assistant"`+"\non_withdrawn = \"restart\"",
		).Replace
	}
	var instances []*testInstance
	for range 2 {
		f := newTestInstance(c, "a", func(parts *entry.Parts) {
			if len(instances) > 0 {
				parts.Bills, parts.Pins = instances[0].ledger, instances[0].ledger
				return
			}
			parts.Pins = parts.Bills.(ledger.Pins)
		})
		f.configure(edit("active", "0.0"))
		for _, version := range []string{"v1", "v2", "v3"} {
			f.add("small-engines", "small@"+version, engine(version))
		}
		instances = append(instances, f)
	}
	served := func() map[string]int {
		count := make(map[string]int)
		for _, bill := range instances[0].ledger.Bills() {
			count[bill.Lines[0].Version.Name]++
		}
		return count
	}
	sessions := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	for _, session := range sessions {
		for i := range 6 {
			instances[i%2].ask("assistant", false, link.HeaderSession, session)
		}
	}
	servedOnV1 := served()
	for _, f := range instances {
		f.configure(edit("withdrawn", "1.0"))
	}
	for _, session := range sessions {
		versions := make(map[string]bool)
		for i := range 8 {
			earlier := served()
			r := instances[i%2].ask("assistant", false, link.HeaderSession, session)
			c.Assert(r.status, qt.Equals, 200, qt.Commentf("%s", r.body))
			for version, n := range served() {
				if n > earlier[version] {
					versions[version] = true
				}
			}
		}
		c.Assert(versions, qt.HasLen, 1, qt.Commentf("session %s was served by %v", session, versions))
	}
	c.Assert(servedOnV1, qt.DeepEquals, map[string]int{"v1": 6 * len(sessions)})
	c.Assert(served()["v1"], qt.Equals, servedOnV1["v1"])
}
