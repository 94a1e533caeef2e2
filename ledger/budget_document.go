package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

const (
	budgetsPrefix   = "ledger/budgets/"
	maxRecentDraws  = 64 // changes that a budget's document lists
	maxDrawAttempts = 8
)

// changeDrawn adds amount(drawn) to the drawn total of the budget exactly once and returns the added
// micros. The nonce of the change tells after a write of unknown outcome whether it took effect.
// After an error the change may have taken effect, so the caller must not spend it.
func (b *budgets) changeDrawn(ctx context.Context, key totalKey, amount func(drawn int64) int64) (int64, error) {
	storeKey := fmt.Sprintf("%s%s/%d", budgetsPrefix, key.customer, key.month)
	id := b.nonces.next()
	var lastErr error
	var uncertain infra.StoreVersion // version that a write of unknown outcome expected; 0 for none
	for attempt := range maxDrawAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryBackoff + 1))
		document, version, err := b.read(ctx, storeKey)
		if err != nil {
			return 0, err
		}
		if previous := findDraw(document, id); previous != nil {
			return previous.Micros, nil
		}
		if uncertain != 0 && uncertain != version && len(document.Recent) == maxRecentDraws {
			return 0, infra.ErrOutcomeUnknown // newer changes may have displaced this one from the list
		}
		micros := amount(document.Drawn)
		if micros == 0 {
			return 0, nil
		}
		if lastErr = b.write(ctx, storeKey, version, document, &ledgerpb.Draw{Nonce: id[:], Micros: micros}); lastErr == nil {
			return micros, nil
		}
		if errors.Is(lastErr, infra.ErrOutcomeUnknown) {
			uncertain = version
		}
	}
	return 0, lastErr
}

// read returns the document, an empty one if the store has none, and its version.
func (b *budgets) read(ctx context.Context, storeKey string) (*ledgerpb.Budget, infra.StoreVersion, error) {
	entry, err := b.parts.Store.Get(ctx, storeKey)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return nil, 0, err
	}
	document := &ledgerpb.Budget{}
	if err := proto.Unmarshal(entry.Value, document); err != nil {
		return nil, 0, fmt.Errorf("decode %s: %w", storeKey, err)
	}
	return document, entry.Version, nil
}

// write swaps the document with the draw added to it.
func (b *budgets) write(ctx context.Context, storeKey string, version infra.StoreVersion, document *ledgerpb.Budget, draw *ledgerpb.Draw) error {
	document.Drawn += draw.Micros
	document.Recent = append(document.Recent, draw)
	if extra := len(document.Recent) - maxRecentDraws; extra > 0 {
		document.Recent = document.Recent[extra:]
	}
	value, err := proto.Marshal(document)
	if err != nil {
		return err
	}
	_, err = b.parts.Store.CompareAndSwap(ctx, storeKey, version, value)
	return err
}

// findDraw returns the listed change with the nonce, or nil.
func findDraw(document *ledgerpb.Budget, id nonce) *ledgerpb.Draw {
	i := slices.IndexFunc(document.Recent, func(draw *ledgerpb.Draw) bool { return nonceOf(draw.Nonce) == id })
	if i < 0 {
		return nil
	}
	return document.Recent[i]
}
