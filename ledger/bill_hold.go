package ledger

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	holdTimeout    = 500 * time.Millisecond // of a call to a holder
	holdCandidates = 2                      // in the own zone, and again in the others
	holdBatch      = 5000                   // bills in one call
	directPause    = 50 * time.Millisecond  // between two writes of an instance without a holder
	senderPause    = 100 * time.Millisecond // after neither a holder nor the store took the bills
	senderPatience = 30 * time.Second       // then Run alone goes on trying
)

var errNotHeld = errors.New("the member did not take the bills")

// wakeSender starts the goroutine that hands copies to a second process, if none runs.
func (b *StoreBills) wakeSender() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sending {
		return
	}
	b.sending = true
	go b.sendCopies()
}

// sendCopies runs until every bill is held by a second process or the store. Bills that come while
// a call is on its way go with the next one together.
func (b *StoreBills) sendCopies() {
	ctx, cancel := context.WithTimeout(context.Background(), senderPatience)
	defer cancel()
	for b.goOnSending(ctx) {
		if b.handOver(ctx) {
			continue
		}
		pause := directPause
		if b.flushZone(ctx, b.self.Zone) != nil {
			pause = senderPause
		}
		time.Sleep(pause)
	}
}

// goOnSending ends the sender atomically with the check that nothing is left for it.
func (b *StoreBills) goOnSending(ctx context.Context) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sending = b.queue.unsafe() && ctx.Err() == nil
	return b.sending
}

// handOver offers the bills to the zone's biller, then to other members; it says whether one has
// taken more than before.
func (b *StoreBills) handOver(ctx context.Context) bool {
	for _, member := range b.holders() {
		if b.suspects.has(member) {
			continue
		}
		if err := b.hold(ctx, member); err != nil {
			b.count("holder_failed")
			b.suspects.add(member)
			continue
		}
		return true
	}
	return false
}

// holders returns the members that may hold this instance's bills, best first: its own zone's
// before other zones', which a lost zone does not take along.
func (b *StoreBills) holders() []machine.Member {
	var local, remote []machine.Member
	for _, member := range b.parts.Members.Live() {
		switch {
		case member.ID == b.self.ID:
		case member.Zone == b.self.Zone:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	key := billsPrefix + b.self.Zone
	return append(ranked(local, key, holdCandidates), ranked(remote, key, holdCandidates)...)
}

// hold sends a member the bills that it does not hold yet; a member that holds none of them gets
// them all, in order.
func (b *StoreBills) hold(ctx context.Context, member machine.Member) error {
	b.mu.Lock()
	from := uint64(0)
	if b.holder == member.Incarnation {
		from = b.holderAt
	}
	b.mu.Unlock()
	bills, applied := b.queue.after(from)
	bills = bills[:min(len(bills), holdBatch)]
	response, err := b.call(ctx, member, b.request(bills, applied))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.holder = member.Incarnation
	b.holderAt = response.Held
	b.toldAt = applied
	b.mu.Unlock()
	b.queue.advance(response.Held, response.Applied)
	if len(bills) > 0 && response.Held < bills[0].Number && response.Held >= from {
		return errNotHeld
	}
	return nil
}

func (b *StoreBills) call(ctx context.Context, member machine.Member, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	conn, err := b.parts.Peers.Conn(ctx, member)
	if err != nil {
		return nil, err
	}
	return ledgerpb.NewDRPCLedgerClient(conn).HoldBills(ctx, request)
}

// answerHold serves call. Bills of this very incarnation come back when another member passes them
// on; they are in the queue already.
func (b *StoreBills) answerHold(request *ledgerpb.HoldBillsRequest) *ledgerpb.HoldBillsResponse {
	if machine.Incarnation(request.Incarnation) == b.self.Incarnation {
		_, applied := b.queue.after(request.Applied)
		return &ledgerpb.HoldBillsResponse{Held: applied, Applied: applied}
	}
	return b.copies.add(request)
}

// pollHolder learns what the store has applied, tells the holder the same, and finds a new holder
// when the old one is gone.
func (b *StoreBills) pollHolder(ctx context.Context) {
	b.mu.Lock()
	told := b.toldAt
	b.mu.Unlock()
	bills, applied := b.queue.after(0)
	if len(bills) == 0 && applied == told {
		return
	}
	if !b.handOver(ctx) && b.queue.unsafe() {
		b.wakeSender()
	}
}

// passOn sends the zone's biller the bills of origins that have fallen silent. If it does not take
// them, this instance writes them.
func (b *StoreBills) passOn(ctx context.Context, zone string) {
	for _, request := range b.copies.of(zone, orphanSilence) {
		b.count("passed_on")
		request.Bills = request.Bills[:min(len(request.Bills), holdBatch)]
		response, err := b.callBiller(ctx, zone, request)
		if err != nil {
			b.flushQuietly(ctx, zone)
			return
		}
		b.copies.settle(machine.Incarnation(request.Incarnation), response.Applied)
	}
}

func (b *StoreBills) callBiller(ctx context.Context, zone string, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	billers := ranked(b.membersFor(zone), billsPrefix+zone, 1)
	if len(billers) == 0 {
		return nil, errNotHeld
	}
	return b.call(ctx, billers[0], request)
}
