package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/load"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

// summarize prints the complete answers by kind of request, the requests of each engine and the bills.
// It returns violated invariants.
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
	var violations []string
	for _, id := range slices.Sorted(maps.Keys(f.Engines)) {
		e := f.Engines[id]
		fmt.Fprintf(out, "  engine %-14s %4d requests, fell over %d times\n", id, len(e.Runs()), e.ColdOverloads())
		if e.ColdOverloads() > 0 {
			violations = append(violations, fmt.Sprintf("engine %s got more load than it could bear while cold", id))
		}
	}
	return append(violations, summarizeBills(ctx, out, f, report)...)
}

const billsTimeout = 10 * time.Second

// summarizeBills waits until the store has a bill for each complete answer, at most billsTimeout, and
// prints the bills. It returns a violation if the numbers differ.
func summarizeBills(ctx context.Context, out io.Writer, f *fleet.Fleet, report *load.Report) []string {
	ctx, cancel := context.WithTimeout(ctx, billsTimeout)
	defer cancel()
	var bills []api.Bill
	var err error
	for {
		bills, err = operatorsClient(f).Bills(ctx)
		if err != nil {
			return []string{"bills: " + err.Error()}
		}
		if totalBills(bills) >= int64(report.Whole) || ctx.Err() != nil {
			break
		}
		sleep(ctx, 100*time.Millisecond)
	}
	for _, bill := range bills {
		fmt.Fprintf(out, "  billed %-14s %4d requests, %7d tokens, %8d micro-units\n",
			bill.Customer, bill.Bills, bill.PromptTokens+bill.OutputTokens, bill.Micros)
	}
	if billed := totalBills(bills); billed != int64(report.Whole) {
		return []string{fmt.Sprintf("%d whole answers and %d bills", report.Whole, billed)}
	}
	return nil
}

func totalBills(bills []api.Bill) int64 {
	var total int64
	for _, bill := range bills {
		total += bill.Bills
	}
	return total
}
