package entry_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
)

// failingJudge rates every answer below the required score. With skipsCheapStep it also predicts that
// the cheap step never passes.
type failingJudge struct{ skipsCheapStep bool }

func (j failingJudge) PassChance(string, decide.Kind, int) (float64, int) {
	if j.skipsCheapStep {
		return 0, 1000
	}
	return 1, 1000
}

func (failingJudge) Rate(context.Context, *decide.Request, decide.Step, string, string) (float64, bool) {
	return 0.1, true
}

func (failingJudge) Sample(*decide.Request, decide.Step, string, string) {}

// TestCascadeWithEmptyPool checks that a cascade with an endpoint in only one of its pools answers from
// that pool, and that no request queues for the empty one.
func TestCascadeWithEmptyPool(t *testing.T) {
	for _, test := range []struct {
		name         string
		pool, served string
		never        bool
	}{
		{"good pool empty, cheap answer not good enough", "small-engines", "small@v1", false},
		{"good pool empty, cheap step to be skipped", "small-engines", "small@v1", true},
		{"cheap pool empty", "large-engines", "large@v1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			queue := &scriptedPermits{}
			f := newTestInstance(c, "a", func(parts *entry.Parts) {
				parts.Judge = failingJudge{test.never}
				parts.Queue = queue
			})
			f.add(test.pool, test.served, engine("v1"))
			r := f.ask("careful", true)
			c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			c.Assert(queue.waits, qt.Equals, 0)
			record := f.explain(r)
			c.Assert(record.Bill.Lines[0].Version.String(), qt.Equals, test.served)
		})
	}
}
