package ledger

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	peerCallTimeout     = 500 * time.Millisecond // of a call to a holder
	replicaCandidates   = 2                      // in the own zone, and again in the others
	maxBillsPerCall     = 5000                   // bills in one call
	directWriteInterval = 50 * time.Millisecond  // between two writes of an instance without a holder
	senderRetryInterval = 100 * time.Millisecond // after neither a holder nor the store took the bills
	senderTimeout       = 30 * time.Second       // then Run alone goes on trying
)

var errNotHeld = errors.New("the member did not take the bills")

// startSender starts the goroutine that hands copies to a second process, if none runs.
func (b *StoreBills) startSender() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.senderRunning {
		return
	}
	b.senderRunning = true
	go b.runSender()
}

// runSender runs until every bill is held by a second process or the store. Bills that come while
// a call is on its way go with the next one together.
func (b *StoreBills) runSender() {
	ctx, cancel := context.WithTimeout(context.Background(), senderTimeout)
	defer cancel()
	for b.continueSending(ctx) {
		if b.replicate(ctx) {
			continue
		}
		pause := directWriteInterval
		if b.flushZone(ctx, b.self.Zone) != nil {
			pause = senderRetryInterval
		}
		time.Sleep(pause)
	}
}

// continueSending ends the sender atomically with the check that nothing is left for it.
func (b *StoreBills) continueSending(ctx context.Context) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senderRunning = b.queue.hasUnreplicated() && ctx.Err() == nil
	return b.senderRunning
}

// replicate offers the bills to the zone's biller, then to other members; it says whether one has
// taken more than before.
func (b *StoreBills) replicate(ctx context.Context) bool {
	for _, member := range b.replicaMembers() {
		if b.suspects.has(member) {
			continue
		}
		if err := b.replicateTo(ctx, member); err != nil {
			b.count("holder_failed")
			b.suspects.add(member)
			continue
		}
		return true
	}
	return false
}

// replicaMembers returns the members that may hold this instance's bills, best first: its own zone's
// before other zones', which a lost zone does not take along.
func (b *StoreBills) replicaMembers() []machine.Member {
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
	return append(ranked(local, key, replicaCandidates), ranked(remote, key, replicaCandidates)...)
}

// replicateTo sends a member the bills that it does not hold yet; a member that holds none of them gets
// them all, in order.
func (b *StoreBills) replicateTo(ctx context.Context, member machine.Member) error {
	b.mu.Lock()
	from := uint64(0)
	if b.replica == member.Incarnation {
		from = b.replicaHeld
	}
	b.mu.Unlock()
	bills, applied := b.queue.after(from)
	bills = bills[:min(len(bills), maxBillsPerCall)]
	response, err := b.call(ctx, member, b.holdRequest(bills, applied))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.replica = member.Incarnation
	b.replicaHeld = response.Held
	b.replicaApplied = applied
	b.mu.Unlock()
	b.queue.advance(response.Held, response.Applied)
	if len(bills) > 0 && response.Held < bills[0].Number && response.Held >= from {
		return errNotHeld
	}
	return nil
}

func (b *StoreBills) call(ctx context.Context, member machine.Member, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := b.parts.Peers.Conn(ctx, member)
	if err != nil {
		return nil, err
	}
	return ledgerpb.NewDRPCLedgerClient(conn).HoldBills(ctx, request)
}

// handleHold serves call. Bills of this very incarnation come back when another member passes them
// on; they are in the queue already.
func (b *StoreBills) handleHold(request *ledgerpb.HoldBillsRequest) *ledgerpb.HoldBillsResponse {
	if machine.Incarnation(request.Incarnation) == b.self.Incarnation {
		_, applied := b.queue.after(request.Applied)
		return &ledgerpb.HoldBillsResponse{Held: applied, Applied: applied}
	}
	return b.copies.add(request)
}

// pollReplica learns what the store has applied, tells the holder the same, and finds a new holder
// when the old one is gone.
func (b *StoreBills) pollReplica(ctx context.Context) {
	b.mu.Lock()
	reported := b.replicaApplied
	b.mu.Unlock()
	bills, applied := b.queue.after(0)
	if len(bills) == 0 && applied == reported {
		return
	}
	if !b.replicate(ctx) && b.queue.hasUnreplicated() {
		b.startSender()
	}
}

// forwardOrphans sends the zone's biller the bills of origins that have fallen silent. If it does not take
// them, this instance writes them.
func (b *StoreBills) forwardOrphans(ctx context.Context, zone string) {
	for _, request := range b.copies.requestsOf(zone, originTimeout) {
		b.count("passed_on")
		request.Bills = request.Bills[:min(len(request.Bills), maxBillsPerCall)]
		response, err := b.callZoneWriter(ctx, zone, request)
		if err != nil {
			b.flushQuietly(ctx, zone)
			return
		}
		b.copies.markApplied(machine.Incarnation(request.Incarnation), response.Applied)
	}
}

func (b *StoreBills) callZoneWriter(ctx context.Context, zone string, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	writers := ranked(b.membersFor(zone), billsPrefix+zone, 1)
	if len(writers) == 0 {
		return nil, errNotHeld
	}
	return b.call(ctx, writers[0], request)
}
