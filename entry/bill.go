package entry

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/ledger"
)

const (
	tokensPerPriceUnit = 1000 // prices are in micro-units per 1,000 tokens
	// bytesPerToken estimates the prompt tokens from the body size, before an engine reports usage.
	bytesPerToken = 4
)

// recordTimeout bounds the recording of a bill or a claim's outcome, which goes on after the caller
// has disconnected.
const recordTimeout = 10 * time.Second

// chatBillLine returns the bill line of one engine answer.
func chatBillLine(snapshot *contract.Snapshot, choice *decide.Choice, usage openai.Usage) ledger.BillLine {
	line := ledger.BillLine{
		Version:      choice.Version,
		Pool:         choice.Pool,
		PromptTokens: usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}
	if version := snapshot.Versions[choice.Version]; version != nil {
		line.Micros = tokenPrice(version, usage.PromptTokens, usage.CompletionTokens)
	}
	return line
}

// tokenPrice returns the price of the tokens at the version, in micro-units.
func tokenPrice(version *contract.ModelVersion, prompt, output int64) int64 {
	return (prompt*version.PromptPrice + output*version.OutputPrice) / tokensPerPriceUnit
}

// maxCost returns the most, in micro-units, that a request with these prompt and output tokens may
// cost: the sum of the highest price in each pool of its route, since a cascade may use all of them.
func maxCost(snapshot *contract.Snapshot, route *contract.Route, prompt, output int) int64 {
	var total int64
	for _, name := range route.Pools {
		pool := snapshot.Pools[name]
		if pool == nil {
			continue
		}
		highest := pool.RequestPrice
		if model := snapshot.Models[pool.Model]; model != nil {
			for i := range model.Versions {
				highest = max(highest, tokenPrice(&model.Versions[i], int64(prompt), int64(output)))
			}
		}
		total += highest
	}
	return total
}

// bill records the request's bill in the ledger, also after the caller has disconnected: completed
// work is billed. A request without lines costs nothing and has no bill.
func (r *requestState) bill(ctx context.Context) error {
	if len(r.lines) == 0 {
		return nil
	}
	bill := ledger.Bill{
		RequestID: r.request.ID,
		Customer:  r.request.Customer.Name,
		Route:     r.request.Route.Name,
		Lines:     r.lines,
		At:        r.request.Arrived,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := r.server.Bills.Record(ctx, bill); err != nil {
		return err
	}
	r.record.Bill = &bill
	return nil
}
