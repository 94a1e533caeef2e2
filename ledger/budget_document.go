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
	budgetsPrefix = "ledger/budgets/"
	recentDraws   = 64 // changes that a budget's document remembers
	drawAttempts  = 8
)

// change adds what amount returns for the drawn total to that total, once, and returns it. After
// an error nothing must be spent: the change may be in force.
func (b *budgets) change(ctx context.Context, key totalKey, amount func(drawn int64) int64) (int64, error) {
	name := fmt.Sprintf("%s%s/%d", budgetsPrefix, key.customer, key.month)
	own := b.nonces.next()
	var failed error
	var unsure infra.Version // a write that expected it had an unknown outcome
	for attempt := range drawAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryPause + 1))
		document, version, err := b.read(ctx, name)
		if err != nil {
			return 0, err
		}
		if done := drawOf(document, own); done != nil {
			return done.Micros, nil
		}
		if unsure != 0 && unsure != version && len(document.Recent) == recentDraws {
			return 0, infra.ErrOutcomeUnknown // it may have been pushed out of the recent ones
		}
		micros := amount(document.Drawn)
		if micros == 0 {
			return 0, nil
		}
		if failed = b.write(ctx, name, version, document, &ledgerpb.Draw{Nonce: own[:], Micros: micros}); failed == nil {
			return micros, nil
		}
		if errors.Is(failed, infra.ErrOutcomeUnknown) {
			unsure = version
		}
	}
	return 0, failed
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
	if extra := len(document.Recent) - recentDraws; extra > 0 {
		document.Recent = document.Recent[extra:]
	}
	value, err := proto.Marshal(document)
	if err != nil {
		return err
	}
	_, err = b.parts.Store.Swap(ctx, name, version, value)
	return err
}

func drawOf(document *ledgerpb.Budget, own nonce) *ledgerpb.Draw {
	i := slices.IndexFunc(document.Recent, func(draw *ledgerpb.Draw) bool { return nonceOf(draw.Nonce) == own })
	if i < 0 {
		return nil
	}
	return document.Recent[i]
}
