package ledger

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// localClaims holds the claims of this incarnation whose final record (outcome or removal) the store
// does not hold yet, by nonce, the unique id of one claim attempt. A nonce that is missing here was
// never dispatched, or its outcome is in the store. Safe for concurrent use.
type localClaims struct {
	mu      sync.Mutex
	byNonce map[nonce]*localClaim
	granted map[grantKey]nonce
}

// grantKey distinguishes successive requests that were granted the same key.
type grantKey struct {
	key     ClaimKey
	request string // request id
}

type localClaim struct {
	grant   grantKey
	state   localState
	outcome Outcome
}

type localState uint8

const (
	statePending   localState = iota // submitted; may still be granted
	stateGranted                     // dispatched or about to be
	stateFinished                    // has an outcome that is being written to the store
	stateAbandoned                   // never dispatched; its removal is being written to the store
)

func grantOf(claim Claim) grantKey { return grantKey{key: claim.Key, request: claim.RequestID} }

func newLocalClaims() *localClaims {
	return &localClaims{byNonce: make(map[nonce]*localClaim), granted: make(map[grantKey]nonce)}
}

// count returns the number of claims, whatever their state.
func (l *localClaims) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byNonce)
}

// countUndelivered returns the number of claims whose outcome or removal is not in the store yet.
func (l *localClaims) countUndelivered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	undelivered := 0
	for _, entry := range l.byNonce {
		if entry.state == stateFinished || entry.state == stateAbandoned {
			undelivered++
		}
	}
	return undelivered
}

func (l *localClaims) register(id nonce, claim Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byNonce[id] = &localClaim{grant: grantOf(claim)}
}

func (l *localClaims) grant(id nonce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.byNonce[id]
	entry.state = stateGranted
	l.granted[entry.grant] = id
}

func (l *localClaims) abandon(id nonce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byNonce[id].state = stateAbandoned
}

func (l *localClaims) remove(id nonce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byNonce, id)
}

// finish records the outcome of a granted claim; ok is false if the request holds no claim.
func (l *localClaims) finish(claim Claim, outcome Outcome) (id nonce, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, ok = l.granted[grantOf(claim)]
	if !ok {
		return nonce{}, false
	}
	delete(l.granted, grantOf(claim))
	l.byNonce[id].state = stateFinished
	l.byNonce[id].outcome = outcome
	return id, true
}

// status returns the state of a nonce of this incarnation, with the outcome if it is finished.
func (l *localClaims) status(id nonce) (ledgerpb.ClaimStatusResponse_State, Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.byNonce[id]
	switch {
	case entry == nil || entry.state == stateAbandoned:
		return ledgerpb.ClaimStatusResponse_NOT_HELD, Outcome{}
	case entry.state == stateFinished && entry.outcome.Verdict == verdict.NotRun:
		return ledgerpb.ClaimStatusResponse_NOT_HELD, Outcome{}
	case entry.state == stateFinished:
		return ledgerpb.ClaimStatusResponse_FINISHED, entry.outcome
	default:
		return ledgerpb.ClaimStatusResponse_IN_PROGRESS, Outcome{}
	}
}

// claimStatus is the state of one nonce as its claimer reports it. The zero value means that the
// claimer could not be reached, or that the member is another incarnation.
type claimStatus struct {
	state   ledgerpb.ClaimStatusResponse_State
	outcome Outcome
	claimer machine.Member
}

// statusTimeout bounds a ClaimStatus call.
const statusTimeout = 500 * time.Millisecond

// queryClaimer returns the status of the nonce from the incarnation that issued it. It returns the
// zero value if that incarnation is not a live member or does not answer; it may have dispatched.
func (c *StoreClaims) queryClaimer(ctx context.Context, id nonce) claimStatus {
	self := c.parts.Members.Self()
	if id.issuedBy(self.Incarnation) {
		state, outcome := c.local.status(id)
		return claimStatus{state: state, outcome: outcome, claimer: self}
	}
	for _, member := range c.parts.Members.Live() {
		if id.issuedBy(member.Incarnation) {
			return c.queryMember(ctx, member, id)
		}
	}
	return claimStatus{}
}

// queryMember makes one ClaimStatus call.
func (c *StoreClaims) queryMember(ctx context.Context, member machine.Member, id nonce) claimStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	conn, err := c.parts.Peers.Conn(ctx, member)
	if err != nil {
		c.count("claimer_unreachable")
		return claimStatus{}
	}
	response, err := ledgerpb.NewDRPCLedgerClient(conn).ClaimStatus(ctx, &ledgerpb.ClaimStatusRequest{Nonce: id[:]})
	if err != nil {
		c.count("claimer_unreachable")
		return claimStatus{}
	}
	return claimStatus{state: response.State, outcome: outcomeOf(response.Outcome), claimer: member}
}

// handleStatus serves ClaimStatus.
func (c *StoreClaims) handleStatus(request *ledgerpb.ClaimStatusRequest) *ledgerpb.ClaimStatusResponse {
	id := nonceOf(request.Nonce)
	if !id.issuedBy(c.parts.Members.Self().Incarnation) {
		return &ledgerpb.ClaimStatusResponse{}
	}
	state, outcome := c.local.status(id)
	response := &ledgerpb.ClaimStatusResponse{State: state}
	if state == ledgerpb.ClaimStatusResponse_FINISHED {
		response.Outcome = outcomeMessage(outcome)
	}
	return response
}

// outcomeMessage encodes an outcome. It leaves out a body longer than MaxOutcomeBytes and sets
// Truncated.
func outcomeMessage(outcome Outcome) *ledgerpb.Outcome {
	message := &ledgerpb.Outcome{
		Verdict:     uint32(outcome.Verdict),
		Status:      int32(outcome.Status),
		ContentType: outcome.ContentType,
		Body:        outcome.Body,
		Truncated:   outcome.Truncated,
	}
	if len(outcome.Body) > MaxOutcomeBytes {
		message.Body = nil
		message.Truncated = true
	}
	return message
}

func outcomeOf(message *ledgerpb.Outcome) Outcome {
	return Outcome{
		Verdict:     verdict.Verdict(message.GetVerdict()),
		Status:      int(message.GetStatus()),
		ContentType: message.GetContentType(),
		Body:        message.GetBody(),
		Truncated:   message.GetTruncated(),
	}
}

func encodeOutcome(outcome Outcome) []byte {
	data, err := proto.Marshal(outcomeMessage(outcome))
	if err != nil {
		return nil // decodes to the verdict MayHaveRun
	}
	return data
}

// decodeOutcome returns an outcome with the verdict MayHaveRun for data that can't be decoded.
func decodeOutcome(data []byte) Outcome {
	message := &ledgerpb.Outcome{}
	if err := proto.Unmarshal(data, message); err != nil {
		return Outcome{}
	}
	return outcomeOf(message)
}
