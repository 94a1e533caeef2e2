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
	tokensPerPrice = 1000 // prices are per 1,000 tokens
	// bytesPerToken estimates prompt tokens before an engine has counted them.
	bytesPerToken = 4
)

// recordTimeout bounds the recording of a bill whose caller has left.
const recordTimeout = 10 * time.Second

// chatLine is the cost of one whole answer of an engine.
func chatLine(snapshot *contract.Snapshot, choice *decide.Choice, usage openai.Usage) ledger.Line {
	line := ledger.Line{
		Version:      choice.Version,
		Pool:         choice.Pool,
		PromptTokens: usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}
	if version := snapshot.Versions[choice.Version]; version != nil {
		line.Micros = price(version, usage.PromptTokens, usage.CompletionTokens)
	}
	return line
}

func price(version *contract.ModelVersion, prompt, output int64) int64 {
	return (prompt*version.PromptPrice + output*version.OutputPrice) / tokensPerPrice
}

// reserve is the most that a request of these tokens may cost: the dearest version of each pool of
// its route.
func reserve(snapshot *contract.Snapshot, route *contract.Route, prompt, output int) int64 {
	var total int64
	for _, name := range route.Pools {
		pool := snapshot.Pools[name]
		if pool == nil {
			continue
		}
		dearest := pool.RequestPrice
		if model := snapshot.Models[pool.Model]; model != nil {
			for i := range model.Versions {
				dearest = max(dearest, price(&model.Versions[i], int64(prompt), int64(output)))
			}
		}
		total += dearest
	}
	return total
}

// bill hands the request's bill to the ledger. It goes on if the caller has left: work that was
// done is billed. A request without lines costs nothing and has no bill.
func (w *work) bill(ctx context.Context) error {
	if len(w.lines) == 0 {
		return nil
	}
	bill := ledger.Bill{
		RequestID: w.request.ID,
		Customer:  w.request.Customer.Name,
		Route:     w.request.Route.Name,
		Lines:     w.lines,
		At:        w.request.Arrived,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := w.server.Bills.Record(ctx, bill); err != nil {
		return err
	}
	w.record.Bill = &bill
	return nil
}
