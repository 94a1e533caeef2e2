package ledger

import (
	"context"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// copiesFactor times MaxPendingBills bounds the bills held for other instances.
	copiesFactor = 4
	// originTimeout is how long an instance may be silent before members that hold copies of its
	// bills forward them to the zone writer.
	originTimeout = 10 * time.Second
	// writerTimeout is the age of its oldest pending bill at which an instance stops waiting for the
	// zone writer and writes to the store itself.
	writerTimeout = 10 * time.Second
	// stopTimeout bounds the last flush of a planned stop.
	stopTimeout = 5 * time.Second
)

// StoreBills records bills exactly once. Each instance numbers its bills and replicates them to a
// second process. One member of each zone, the zone writer, adds them to the zone's totals in the
// store once per flush interval. Two members that both act as zone writer cost conflicts but no
// correctness: totals and highest applied numbers are one value, written by compare-and-swap.
type StoreBills struct {
	parts    Parts
	self     machine.Member
	queue    *billQueue
	copies   *billCopies
	budgets  *budgets
	suspects *suspects

	mu             sync.Mutex
	senderRunning  bool
	replica        machine.Incarnation // member that holds copies of this instance's bills
	replicaHeld    uint64              // highest number that the replica holds
	replicaApplied uint64              // highest applied number that was sent to the replica

	flushSem chan struct{}         // held while writing to the store; guards zones
	zones    map[string]*zoneBills // by zone
}

var _ Bills = (*StoreBills)(nil)

// NewBills returns an empty StoreBills. Run writes its bills to the store.
func NewBills(parts Parts) *StoreBills {
	return &StoreBills{
		parts:    parts,
		self:     parts.Members.Self(),
		queue:    newBillQueue(parts.Settings.MaxPendingBills),
		copies:   newBillCopies(copiesFactor * parts.Settings.MaxPendingBills),
		budgets:  newBudgets(parts),
		suspects: newSuspects(),
		flushSem: make(chan struct{}, 1),
		zones:    make(map[string]*zoneBills),
	}
}

// Record implements Bills. A refusal has the verdict Ran: at the end of ctx only this process holds
// the bill, which stays queued and is still delivered.
func (b *StoreBills) Record(ctx context.Context, bill Bill) error {
	number, added := b.queue.add(bill)
	if added {
		b.budgets.spend(bill)
		b.count("recorded")
	}
	for {
		replicated, changed := b.queue.progress()
		if replicated >= number {
			return nil
		}
		b.startSender()
		select {
		case <-changed:
		case <-ctx.Done():
			b.count("unsafe")
			return &verdict.Refusal{
				Verdict: verdict.Ran,
				Reason:  verdict.LedgerUnavailable,
				Detail:  "the request ran, but its bill is not held by a second process yet",
			}
		}
	}
}

// Admit implements Bills.
func (b *StoreBills) Admit(ctx context.Context, customer *contract.Customer, reserve int64) (func(), error) {
	if !b.queue.admit() {
		refusal := verdict.Refuse(verdict.BillsBacklogged, "too many bills wait for the store")
		refusal.RetryAfter = retryAfter
		return nil, refusal
	}
	releaseReservation, err := b.budgets.reserve(ctx, customer, reserve)
	if err != nil {
		b.queue.release()
		return nil, err
	}
	return sync.OnceFunc(func() {
		releaseReservation()
		b.queue.release()
	}), nil
}

// Run delivers bills until ctx ends, then flushes the remaining ones within stopTimeout.
func (b *StoreBills) Run(ctx context.Context) error {
	ticker := time.NewTicker(b.parts.Settings.flushInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.tick(ctx)
		case <-ctx.Done():
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer cancel()
			return b.Flush(ctx)
		}
	}
}

// Flush writes all bills that this instance recorded or holds to the store and returns unused
// allowances. It retries until ctx ends, and then returns the last error.
func (b *StoreBills) Flush(ctx context.Context) error {
	for {
		err := b.flushAll(ctx)
		if err == nil && b.queue.len() == 0 && b.copies.len() == 0 {
			b.budgets.returnUnused(ctx, 0)
			return nil
		}
		select {
		case <-time.After(senderRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// flushAll writes the bills of each zone once and returns the last error.
func (b *StoreBills) flushAll(ctx context.Context) error {
	zones := b.copies.zones()
	zones[b.self.Zone] = struct{}{}
	var lastErr error
	for zone := range zones {
		if err := b.flushZone(ctx, zone); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// tick does the periodic work of one flush interval.
func (b *StoreBills) tick(ctx context.Context) {
	b.pollReplica(ctx)
	if b.isZoneWriter(b.self.Zone) || b.writerOverdue() {
		b.flushQuietly(ctx, b.self.Zone)
	}
	for zone := range b.copies.zones() {
		switch {
		case b.isZoneWriter(zone):
			b.flushQuietly(ctx, zone)
		default:
			b.forwardOrphans(ctx, zone)
		}
	}
	b.copies.evictSilentOrigins(originTimeout)
	b.budgets.returnUnused(ctx, b.parts.Settings.idleAllowance())
}

// flushQuietly counts and logs an error of flushZone.
func (b *StoreBills) flushQuietly(ctx context.Context, zone string) {
	if err := b.flushZone(ctx, zone); err != nil {
		b.count("flush_failed")
		b.parts.Log.Warn("bills not written", "zone", zone, "waiting", b.queue.len(), "held", b.copies.len(), "error", err)
	}
}

// flushZone adds the zone's bills that this instance recorded or holds to the zone's totals.
func (b *StoreBills) flushZone(ctx context.Context, zone string) error {
	select {
	case b.flushSem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-b.flushSem }()
	requests := b.copies.requestsOf(zone, 0)
	if zone == b.self.Zone {
		if bills, applied := b.queue.after(0); len(bills) > 0 {
			requests = append(requests, b.holdRequest(bills, applied))
		}
	}
	if len(requests) == 0 {
		return nil
	}
	document := b.zones[zone]
	if document == nil {
		document = newZoneBills(b.parts, zone)
		b.zones[zone] = document
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	applied, err := document.flush(ctx, requests)
	if err != nil {
		return err
	}
	b.markApplied(requests, applied)
	return nil
}

// markApplied drops the bills that the store's totals include from the queue and the copies.
func (b *StoreBills) markApplied(requests []*ledgerpb.HoldBillsRequest, applied map[string]uint64) {
	for _, request := range requests {
		incarnation := machine.Incarnation(request.Incarnation)
		if incarnation == b.self.Incarnation {
			b.queue.advance(0, applied[request.Incarnation])
			continue
		}
		b.copies.markApplied(incarnation, applied[request.Incarnation])
	}
}

func (b *StoreBills) holdRequest(bills []*ledgerpb.HeldBill, applied uint64) *ledgerpb.HoldBillsRequest {
	return &ledgerpb.HoldBillsRequest{
		Zone:        b.self.Zone,
		Incarnation: string(b.self.Incarnation),
		Applied:     applied,
		Bills:       bills,
	}
}

// isZoneWriter reports whether this instance is the zone writer by its own view of the members.
func (b *StoreBills) isZoneWriter(zone string) bool {
	candidates := ranked(b.membersFor(zone), billsPrefix+zone, 1)
	return len(candidates) > 0 && candidates[0].ID == b.self.ID
}

// membersFor returns the live members of a zone, or all of them if it has none.
func (b *StoreBills) membersFor(zone string) []machine.Member {
	live := b.parts.Members.Live()
	var local []machine.Member
	for _, member := range live {
		if member.Zone == zone {
			local = append(local, member)
		}
	}
	if len(local) == 0 {
		return live
	}
	return local
}

// writerOverdue reports whether a bill of this instance has waited longer than writerTimeout.
func (b *StoreBills) writerOverdue() bool {
	oldest, ok := b.queue.oldest()
	return ok && time.Since(oldest) > writerTimeout
}

func (b *StoreBills) count(event string) {
	b.parts.Counters.Add("plumbarrow_bills_total", "event", event)
}
