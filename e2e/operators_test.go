package e2e_test

import (
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	exitRefused = 1
	exitUnknown = 3 // also in force but not accepted
)

// edit is one operator's edit: a replacement in the configuration's text, applied at one instance.
type edit struct {
	at       *entry
	from, to string
}

// applyAtOnce applies edits of the same base revision concurrently and returns the exit code and the output
// of each.
func (d *deployment) applyAtOnce(text, base string, edits ...edit) ([]int, []string) {
	codes := make([]int, len(edits))
	outputs := make([]string, len(edits))
	var group sync.WaitGroup
	for i, ed := range edits {
		configFile := d.configFile(strings.Replace(text, ed.from, ed.to, 1))
		group.Go(func() {
			codes[i], outputs[i] = d.runOperatorCommand(ed.at, "config", "apply", "--base", base, configFile)
		})
	}
	group.Wait()
	return codes, outputs
}

// TestOperatorsAtOnce guards against lost updates when two operators apply changes concurrently at different
// instances. Edits of different entries must both come into force everywhere; of two edits of the same entry
// one must be refused as a conflict.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startPair()
	third := d.startEntry("entry-c")
	d.awaitServing(third)
	const deadline, price = "deadline_ms = 60000", "output_price_micros = 200"
	codes, outputs := d.applyAtOnce(baseConfig, "1",
		edit{a, deadline, "deadline_ms = 50000"}, edit{b, price, "output_price_micros = 300"})
	c.Check(codes, qt.DeepEquals, []int{0, 0}, qt.Commentf("%v", outputs))
	for _, e := range []*entry{a, b, third} {
		until(func() bool { return d.status(e).Revision == 3 })
		_, shown := d.runOperatorCommand(e, "config", "show")
		c.Check(shown, qt.Contains, "deadline_ms = 50000")
		c.Check(shown, qt.Contains, "output_price_micros = 300")
	}
	edited := strings.Replace(baseConfig, deadline, "deadline_ms = 50000", 1)
	edited = strings.Replace(edited, price, "output_price_micros = 300", 1)
	codes, outputs = d.applyAtOnce(edited, "3",
		edit{a, "deadline_ms = 50000", "deadline_ms = 40000"}, edit{b, "deadline_ms = 50000", "deadline_ms = 45000"})
	winner, want := 0, "deadline_ms = 40000"
	if codes[0] != 0 {
		winner, want = 1, "deadline_ms = 45000"
	}
	c.Check(codes[winner], qt.Equals, 0, qt.Commentf("%v", outputs))
	c.Check(codes[1-winner], qt.Equals, exitRefused, qt.Commentf("%v", outputs))
	c.Check(outputs[1-winner], qt.Contains, `both changed routes "bookings"`)
	for _, e := range []*entry{a, b, third} {
		until(func() bool { return d.status(e).Revision == 4 })
		_, shown := d.runOperatorCommand(e, "config", "show")
		c.Check(shown, qt.Contains, want)
	}
}
