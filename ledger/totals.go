package ledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

// Total is the sum of a customer's bills of one month over all zones.
type Total struct {
	Customer     string `json:"customer"`
	Month        uint32 `json:"month"` // year times 100 plus month, UTC
	Bills        int64  `json:"bills"`
	Micros       int64  `json:"micros"` // micro-units of currency
	PromptTokens int64  `json:"prompt_tokens"`
	OutputTokens int64  `json:"output_tokens"`
}

// Totals reads the totals that the store holds, ordered by customer and month. Bills recorded
// within the last flush interval or during a store outage may still be pending at the instances.
func Totals(ctx context.Context, store infra.Store) ([]Total, error) {
	entries, err := store.List(ctx, billsPrefix)
	if err != nil {
		return nil, err
	}
	sums := make(map[totalKey]Total)
	for _, entry := range entries {
		document := &ledgerpb.ZoneBills{}
		if err := proto.Unmarshal(entry.Value, document); err != nil {
			return nil, fmt.Errorf("decode %s: %w", entry.Key, err)
		}
		for _, total := range document.Totals {
			key := totalKey{total.Customer, total.Month}
			sums[key] = sums[key].plus(total)
		}
	}
	totals := make([]Total, 0, len(sums))
	for _, total := range sums {
		totals = append(totals, total)
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Month, b.Month))
	})
	return totals, nil
}

// Totals returns the totals of all zones that the store holds.
func (b *StoreBills) Totals(ctx context.Context) ([]Total, error) {
	return Totals(ctx, b.parts.Store)
}

func (t Total) plus(total *ledgerpb.Total) Total {
	t.Customer = total.Customer
	t.Month = total.Month
	t.Bills += total.Bills
	t.Micros += total.Micros
	t.PromptTokens += total.PromptTokens
	t.OutputTokens += total.OutputTokens
	return t
}
