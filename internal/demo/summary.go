package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"plumbarrow.example/plumbarrow/load"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

// summarize prints what was served, by kind, and what the endpoints saw. It returns broken
// invariants.
func summarize(ctx context.Context, out io.Writer, f *fleet.Fleet, report *load.Report) []string {
	report.WriteText(out)
	served := make(map[string]int)
	for i := range report.Samples {
		if report.Samples[i].Whole {
			served[report.Samples[i].Request.Kind]++
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(served)) {
		fmt.Fprintf(out, "  served %-12s %d\n", kind, served[kind])
	}
	var broken []string
	for _, id := range slices.Sorted(maps.Keys(f.Engines)) {
		e := f.Engines[id]
		fmt.Fprintf(out, "  engine %-14s %4d requests, fell over %d times\n", id, len(e.Runs()), e.FellOver())
		if e.FellOver() > 0 {
			broken = append(broken, fmt.Sprintf("engine %s got more load than it could bear while cold", id))
		}
	}
	return broken
}
