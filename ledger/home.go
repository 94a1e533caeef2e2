package ledger

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// homeTimeout bounds a call to a shard's home; beyond it the caller goes to the store itself.
const homeTimeout = 2500 * time.Millisecond

// homeCandidates is how many members are asked to write a batch before the store itself is.
const homeCandidates = 2

// sendToHome has the shard's home, or its deputy, write the batch and returns the operations that
// neither settled; all of them if this instance is the first that could. They go to the store with
// the same nonces, so a record that the home writes all the same is found there, not doubled.
// Members that disagree about the home lose swaps and read again.
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

// sendToMember returns the operations that the member did not settle.
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

func completeFrom(response *ledgerpb.CommitResponse, batch []*operation) []*operation {
	var unsettled []*operation
	for i, op := range batch {
		switch response.Results[i].Status {
		case ledgerpb.CommitResult_SETTLED:
			op.complete(holderOf(response.Results[i]))
			continue
		case ledgerpb.CommitResult_UNKNOWN:
			op.maybeWritten = true
		}
		unsettled = append(unsettled, op)
	}
	return unsettled
}
