package ledger

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
)

const (
	peerCallTimeout     = 500 * time.Millisecond // of HoldBills and MoveAllowance calls
	replicaCandidates   = 2                      // from this zone, then the same number from other zones
	maxBillsPerCall     = 5000
	directWriteInterval = 50 * time.Millisecond  // between store writes while no member holds copies
	senderRetryInterval = 100 * time.Millisecond // after neither a member nor the store accepted the bills
	senderTimeout       = 30 * time.Second       // afterwards Run retries once per flush interval
)

var errNotHeld = errors.New("bills not accepted")

// startSender starts the goroutine that replicates bills to a second process, if none runs.
func (b *StoreBills) startSender() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.senderRunning {
		return
	}
	b.senderRunning = true
	go b.runSender()
}

// runSender runs until a second process or the store holds every bill, or senderTimeout has passed.
// Bills recorded during a call are batched into the next one.
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

// continueSending reports whether the sender has bills left to replicate. It clears senderRunning
// under the lock that startSender takes, so a bill recorded meanwhile starts a new sender.
func (b *StoreBills) continueSending(ctx context.Context) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senderRunning = b.queue.hasUnreplicated() && ctx.Err() == nil
	return b.senderRunning
}

// replicate sends the bills to the first candidate that accepts them and reports whether one did.
// The zone writer is the first candidate, unless it is this instance.
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

// replicaMembers returns the members that may hold copies of this instance's bills, in order of
// preference. Members of other zones come last; they keep copies available when this zone is lost.
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

// replicateTo sends a member the pending bills that it does not hold yet, in order. A member other
// than the current replica gets them from the first one.
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

// call makes one HoldBills call.
func (b *StoreBills) call(ctx context.Context, member machine.Member, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := b.parts.Peers.Conn(ctx, member)
	if err != nil {
		return nil, err
	}
	return ledgerpb.NewDRPCLedgerClient(conn).HoldBills(ctx, request)
}

// handleHold serves HoldBills. Another member may forward bills of this incarnation back to it;
// those are in the queue already.
func (b *StoreBills) handleHold(request *ledgerpb.HoldBillsRequest) *ledgerpb.HoldBillsResponse {
	if machine.Incarnation(request.Incarnation) == b.self.Incarnation {
		_, applied := b.queue.after(request.Applied)
		return &ledgerpb.HoldBillsResponse{Held: applied, Applied: applied}
	}
	return b.copies.add(request)
}

// pollReplica exchanges the highest applied numbers with the replica. If the replica fails, it
// replicates the bills to another member.
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

// forwardOrphans sends the zone writer the copies whose origins have not sent for originTimeout. If
// the call fails, this instance writes them to the store itself.
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

// callZoneWriter makes one HoldBills call to the zone writer.
func (b *StoreBills) callZoneWriter(ctx context.Context, zone string, request *ledgerpb.HoldBillsRequest) (*ledgerpb.HoldBillsResponse, error) {
	writers := ranked(b.membersFor(zone), billsPrefix+zone, 1)
	if len(writers) == 0 {
		return nil, errNotHeld
	}
	return b.call(ctx, writers[0], request)
}
