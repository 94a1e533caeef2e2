package ledger

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// homeTimeout bounds a call to a shard's home. Afterwards the caller tries the next candidate or
// writes to the store itself.
const homeTimeout = 2500 * time.Millisecond

// homeCandidates is the number of members that may act as home of a shard, or of a customer's budget
// within a zone. The home is the first live member in rendezvous order; it writes to the store for
// the other members, so that their writes are batched. A second candidate is called if it fails.
const homeCandidates = 2

// sendToHome sends the batch to the shard's home, or to the next candidate if that fails, and returns
// the operations that neither completed: all of them if this instance ranks first. The caller writes
// these to the store with the same nonces, so a record that the home wrote after all is found there
// and not written twice. Members that disagree about the home lose swaps and read the head again.
func (s *shard) sendToHome(batch []*operation) []*operation {
	members := s.journal.parts.Members
	for _, home := range ranked(members.Live(), s.key, homeCandidates) {
		if home.ID == members.Self().ID {
			break
		}
		if s.journal.suspects.has(home) {
			continue
		}
		if batch = s.sendToMember(home, batch); len(batch) == 0 {
			break
		}
	}
	return batch
}

// sendToMember makes one Commit call and returns the operations that the member did not complete.
func (s *shard) sendToMember(home machine.Member, batch []*operation) []*operation {
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	conn, err := s.journal.parts.Peers.Conn(ctx, home)
	if err != nil {
		s.journal.count("home_unreachable")
		s.journal.suspects.add(home)
		return batch
	}
	request := &ledgerpb.CommitRequest{Family: s.journal.family, Shard: uint32(s.number)}
	for _, op := range batch {
		request.Records = append(request.Records, op.record)
	}
	response, err := ledgerpb.NewDRPCLedgerClient(conn).Commit(ctx, request)
	if err != nil || len(response.Results) != len(batch) {
		s.journal.count("home_failed")
		s.journal.suspects.add(home)
		for _, op := range batch {
			op.maybeWritten = op.maybeWritten || !link.NotSent(err)
		}
		return batch
	}
	return completeFrom(response, batch)
}

// completeFrom completes the operations whose result the response holds and returns the others.
func completeFrom(response *ledgerpb.CommitResponse, batch []*operation) []*operation {
	var remaining []*operation
	for i, op := range batch {
		switch response.Results[i].Status {
		case ledgerpb.CommitResult_SETTLED:
			op.complete(holderOf(response.Results[i]))
			continue
		case ledgerpb.CommitResult_UNKNOWN:
			op.maybeWritten = true
		}
		remaining = append(remaining, op)
	}
	return remaining
}
