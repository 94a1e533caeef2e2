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

// edit is one operator's edit of the configuration at one instance.
type edit struct {
	at       *entry
	from, to string
}

// applyAtOnce applies edits of the same revision at once and returns exit codes and outputs.
func (d *deployment) applyAtOnce(text, base string, edits ...edit) ([]int, []string) {
	codes := make([]int, len(edits))
	outputs := make([]string, len(edits))
	var group sync.WaitGroup
	for i, one := range edits {
		file := d.file(strings.Replace(text, one.from, one.to, 1))
		group.Go(func() { codes[i], outputs[i] = d.operate(one.at, "config", "apply", "--base", base, file) })
	}
	group.Wait()
	return codes, outputs
}

// TestOperatorsAtOnce has two operators apply at once at different instances: edits of different
// entries are both in force everywhere, of the same entry one is refused.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.ready()
	third := d.enter("entry-c")
	d.serving(third)
	const deadline, price = "deadline_ms = 60000", "output_price_micros = 200"
	codes, outputs := d.applyAtOnce(configuration, "1",
		edit{a, deadline, "deadline_ms = 50000"}, edit{b, price, "output_price_micros = 300"})
	c.Check(codes, qt.DeepEquals, []int{0, 0}, qt.Commentf("%v", outputs))
	for _, e := range []*entry{a, b, third} {
		until(func() bool { return d.status(e).Revision == 3 })
		_, shown := d.operate(e, "config", "show")
		c.Check(shown, qt.Contains, "deadline_ms = 50000")
		c.Check(shown, qt.Contains, "output_price_micros = 300")
	}
	edited := strings.Replace(configuration, deadline, "deadline_ms = 50000", 1)
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
		_, shown := d.operate(e, "config", "show")
		c.Check(shown, qt.Contains, want)
	}
}
