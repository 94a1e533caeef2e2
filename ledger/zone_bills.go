package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
)

const billsPrefix = "ledger/bills/"

// zoneBills writes bills into the document of one zone. The document holds the totals and, for each
// incarnation, a mark: the highest bill number in the totals. Both are in one value, so a bill and
// its number take effect together and applying a bill is idempotent. Not safe for concurrent use.
type zoneBills struct {
	store   infra.Store
	key     string
	markTTL time.Duration // age after which an incarnation's mark is removed
	count   func(event string)

	loaded  bool
	version infra.StoreVersion
	totals  map[totalKey]*ledgerpb.Total
	marks   map[string]*ledgerpb.Mark
}

type totalKey struct {
	customer string
	month    uint32
}

func newZoneBills(parts Parts, zone string) *zoneBills {
	return &zoneBills{
		store:   parts.Store,
		key:     billsPrefix + zone,
		markTTL: parts.Settings.markRetention(),
		count:   func(event string) { parts.Counters.Add("plumbarrow_bills_total", "event", event) },
	}
}

const flushAttempts = 4

var errBillGap = errors.New("bills with lower numbers are missing")

// flush adds the bills that the totals do not include yet. It returns the highest applied number by
// incarnation, as the store holds it.
func (z *zoneBills) flush(ctx context.Context, requests []*ledgerpb.HoldBillsRequest) (map[string]uint64, error) {
	err := errBillGap
	for attempt := range flushAttempts {
		time.Sleep(rand.N(time.Duration(attempt)*retryBackoff + 1))
		cached := z.loaded
		if err = z.load(ctx); err != nil {
			continue
		}
		added, complete := z.apply(requests)
		if !complete && cached {
			z.loaded = false // another instance may have applied the bills before these
			err = errBillGap
			continue
		}
		if added > 0 {
			err = z.write(ctx)
		}
		if err == nil {
			return z.applied(), nil
		}
		z.loaded = false
	}
	return nil, err
}

// load reads the document unless the cached one is valid.
func (z *zoneBills) load(ctx context.Context) error {
	if z.loaded {
		return nil
	}
	entry, err := z.store.Get(ctx, z.key)
	if errors.Is(err, infra.ErrNotFound) && z.version == 0 {
		entry = infra.Entry{}
		err = nil
	}
	if err != nil {
		return err
	}
	document := &ledgerpb.ZoneBills{}
	if err := proto.Unmarshal(entry.Value, document); err != nil {
		return fmt.Errorf("decode %s: %w", z.key, err)
	}
	z.totals = make(map[totalKey]*ledgerpb.Total, len(document.Totals))
	for _, total := range document.Totals {
		z.totals[totalKey{total.Customer, total.Month}] = total
	}
	z.marks = make(map[string]*ledgerpb.Mark, len(document.Marks))
	for _, mark := range document.Marks {
		z.marks[mark.Incarnation] = mark
	}
	z.version = entry.Version
	z.loaded = true
	return nil
}

// apply adds the bills to the cached totals and returns how many it added. complete is false if it
// skipped some because bills with lower numbers are missing.
func (z *zoneBills) apply(requests []*ledgerpb.HoldBillsRequest) (added int, complete bool) {
	complete = true
	for _, request := range requests {
		for _, bill := range request.Bills {
			mark := z.mark(request, bill)
			if mark == nil || bill.Number <= mark.Applied {
				continue
			}
			if bill.Number != mark.Applied+1 {
				z.count("gap")
				complete = false
				break
			}
			z.add(bill)
			mark.Applied = bill.Number
			mark.At = time.Now().Unix()
			added++
		}
	}
	return added, complete
}

// mark returns the incarnation's mark. Without one it creates a mark at the request's applied
// number, unless the bill is older than half of markTTL: then its mark may have been removed after
// the bill was applied, and mark returns nil to rule out a second application.
func (z *zoneBills) mark(request *ledgerpb.HoldBillsRequest, bill *ledgerpb.HeldBill) *ledgerpb.Mark {
	mark := z.marks[request.Incarnation]
	if mark != nil {
		return mark
	}
	if time.Since(time.Unix(bill.At, 0)) > z.markTTL/2 {
		z.count("too_old")
		return nil
	}
	mark = &ledgerpb.Mark{Incarnation: request.Incarnation, Applied: request.Applied}
	z.marks[request.Incarnation] = mark
	return mark
}

func (z *zoneBills) add(bill *ledgerpb.HeldBill) {
	key := totalKey{bill.Customer, bill.Month}
	total := z.totals[key]
	if total == nil {
		total = &ledgerpb.Total{Customer: bill.Customer, Month: bill.Month}
		z.totals[key] = total
	}
	total.Micros += bill.Micros
	total.Bills++
	total.PromptTokens += bill.PromptTokens
	total.OutputTokens += bill.OutputTokens
}

// write swaps the document, without the marks older than markTTL.
func (z *zoneBills) write(ctx context.Context) error {
	document := &ledgerpb.ZoneBills{}
	for _, total := range z.totals {
		document.Totals = append(document.Totals, total)
	}
	for incarnation, mark := range z.marks {
		if time.Since(time.Unix(mark.At, 0)) > z.markTTL {
			delete(z.marks, incarnation)
			continue
		}
		document.Marks = append(document.Marks, mark)
	}
	value, err := proto.Marshal(document)
	if err != nil {
		return err
	}
	version, err := z.store.CompareAndSwap(ctx, z.key, z.version, value)
	switch {
	case err == nil:
		z.version = version
		z.count("written")
	case errors.Is(err, infra.ErrConflict):
		z.count("conflict")
	case !errors.Is(err, infra.ErrUnavailable):
		z.count("read_back")
	}
	return err
}

// applied returns the highest applied number by incarnation.
func (z *zoneBills) applied() map[string]uint64 {
	applied := make(map[string]uint64, len(z.marks))
	for incarnation, mark := range z.marks {
		applied[incarnation] = mark.Applied
	}
	return applied
}
