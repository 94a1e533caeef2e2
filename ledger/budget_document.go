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
	maxRecentDraws  = 64 // changes that a budget's document remembers
	maxDrawAttempts = 8
)

// changeDrawn adds what amount returns for the drawn total to that total, once, and returns it. After
// an error nothing must be spent: the change may be in force.
func (b *budgets) changeDrawn(ctx context.Context, key totalKey, amount func(drawn int64) int64) (int64, error) {
	name := fmt.Sprintf("%s%s/%d", budgetsPrefix, key.customer, key.month)
	id := b.nonces.next()
	var lastErr error
	var uncertain infra.Version // a write that expected it had an unknown outcome
	for attempt := range maxDrawAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryBackoff + 1))
		document, version, err := b.read(ctx, name)
		if err != nil {
			return 0, err
		}
		if previous := findDraw(document, id); previous != nil {
			return previous.Micros, nil
		}
		if uncertain != 0 && uncertain != version && len(document.Recent) == maxRecentDraws {
			return 0, infra.ErrOutcomeUnknown // it may have been pushed out of the recent ones
		}
		micros := amount(document.Drawn)
		if micros == 0 {
			return 0, nil
		}
		if lastErr = b.write(ctx, name, version, document, &ledgerpb.Draw{Nonce: id[:], Micros: micros}); lastErr == nil {
			return micros, nil
		}
		if errors.Is(lastErr, infra.ErrOutcomeUnknown) {
			uncertain = version
		}
	}
	return 0, lastErr
}

func (b *budgets) read(ctx context.Context, name string) (*ledgerpb.Budget, infra.Version, error) {
	entry, err := b.parts.Store.Get(ctx, name)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return nil, 0, err
	}
	document := &ledgerpb.Budget{}
	if err := proto.Unmarshal(entry.Value, document); err != nil {
		return nil, 0, fmt.Errorf("decode %s: %w", name, err)
	}
	return document, entry.Version, nil
}

func (b *budgets) write(ctx context.Context, name string, version infra.Version, document *ledgerpb.Budget, draw *ledgerpb.Draw) error {
	document.Drawn += draw.Micros
	document.Recent = append(document.Recent, draw)
	if extra := len(document.Recent) - maxRecentDraws; extra > 0 {
		document.Recent = document.Recent[extra:]
	}
	value, err := proto.Marshal(document)
	if err != nil {
		return err
	}
	_, err = b.parts.Store.Swap(ctx, name, version, value)
	return err
}

func findDraw(document *ledgerpb.Budget, id nonce) *ledgerpb.Draw {
	i := slices.IndexFunc(document.Recent, func(draw *ledgerpb.Draw) bool { return nonceOf(draw.Nonce) == id })
	if i < 0 {
		return nil
	}
	return document.Recent[i]
}
