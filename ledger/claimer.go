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

// ownClaims are the claims of this incarnation that the store does not hold to their end. What is
// in none of the states below was never dispatched, or its outcome is in the store.
type ownClaims struct {
	mu      sync.Mutex
	byNonce map[nonce]*ownClaim
	granted map[grantKey]nonce
}

// grantKey tells the requests apart that held one key after each other.
type grantKey struct {
	key     ClaimKey
	request string // its id
}

type ownClaim struct {
	grant   grantKey
	state   ownState
	outcome Outcome
}

type ownState uint8

const (
	stateAsked     ownState = iota // may be granted yet
	stateGranted                   // dispatched or about to be
	stateFinished                  // has an outcome that is on its way to the store
	stateAbandoned                 // never dispatched; its removal is on its way to the store
)

func grantOf(claim Claim) grantKey { return grantKey{key: claim.Key, request: claim.RequestID} }

func newOwnClaims() *ownClaims {
	return &ownClaims{byNonce: make(map[nonce]*ownClaim), granted: make(map[grantKey]nonce)}
}

func (o *ownClaims) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byNonce)
}

// delivering returns how many claims wait for the store to take their end.
func (o *ownClaims) delivering() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := 0
	for _, own := range o.byNonce {
		if own.state == stateFinished || own.state == stateAbandoned {
			waiting++
		}
	}
	return waiting
}

func (o *ownClaims) ask(n nonce, claim Claim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byNonce[n] = &ownClaim{grant: grantOf(claim)}
}

func (o *ownClaims) grant(n nonce) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.byNonce[n]
	own.state = stateGranted
	o.granted[own.grant] = n
}

func (o *ownClaims) abandon(n nonce) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byNonce[n].state = stateAbandoned
}

func (o *ownClaims) forget(n nonce) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byNonce, n)
}

// finish records the outcome of a granted claim; ok is false if the request holds none.
func (o *ownClaims) finish(claim Claim, outcome Outcome) (n nonce, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok = o.granted[grantOf(claim)]
	if !ok {
		return nonce{}, false
	}
	delete(o.granted, grantOf(claim))
	o.byNonce[n].state = stateFinished
	o.byNonce[n].outcome = outcome
	return n, true
}

// status answers what another instance asks about a nonce of this incarnation.
func (o *ownClaims) status(n nonce) (ledgerpb.ClaimStatusResponse_State, Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.byNonce[n]
	switch {
	case own == nil || own.state == stateAbandoned:
		return ledgerpb.ClaimStatusResponse_NOT_HELD, Outcome{}
	case own.state == stateFinished && own.outcome.Verdict == verdict.NotRun:
		return ledgerpb.ClaimStatusResponse_NOT_HELD, Outcome{}
	case own.state == stateFinished:
		return ledgerpb.ClaimStatusResponse_FINISHED, own.outcome
	default:
		return ledgerpb.ClaimStatusResponse_IN_PROGRESS, Outcome{}
	}
}

// claimStatus is a claimer's word on one nonce; the zero value means that it could not be asked.
type claimStatus struct {
	state   ledgerpb.ClaimStatusResponse_State
	outcome Outcome
	claimer machine.Member
}

// statusTimeout bounds the question to a claimer.
const statusTimeout = 500 * time.Millisecond

// ask asks the incarnation that issued the nonce. An incarnation that is not in the list, or does
// not answer, may have dispatched.
func (c *StoreClaims) ask(ctx context.Context, n nonce) claimStatus {
	self := c.parts.Members.Self()
	if n.issuedBy(self.Incarnation) {
		state, outcome := c.own.status(n)
		return claimStatus{state: state, outcome: outcome, claimer: self}
	}
	for _, member := range c.parts.Members.Live() {
		if n.issuedBy(member.Incarnation) {
			return c.askMember(ctx, member, n)
		}
	}
	return claimStatus{}
}

func (c *StoreClaims) askMember(ctx context.Context, member machine.Member, n nonce) claimStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	conn, err := c.parts.Peers.Conn(ctx, member)
	if err != nil {
		c.count("claimer_unreachable")
		return claimStatus{}
	}
	answer, err := ledgerpb.NewDRPCLedgerClient(conn).ClaimStatus(ctx, &ledgerpb.ClaimStatusRequest{Nonce: n[:]})
	if err != nil {
		c.count("claimer_unreachable")
		return claimStatus{}
	}
	return claimStatus{state: answer.State, outcome: outcomeOf(answer.Outcome), claimer: member}
}

// answerStatus serves ask at the claimer.
func (c *StoreClaims) answerStatus(request *ledgerpb.ClaimStatusRequest) *ledgerpb.ClaimStatusResponse {
	n := nonceOf(request.Nonce)
	if !n.issuedBy(c.parts.Members.Self().Incarnation) {
		return &ledgerpb.ClaimStatusResponse{}
	}
	state, outcome := c.own.status(n)
	response := &ledgerpb.ClaimStatusResponse{State: state}
	if state == ledgerpb.ClaimStatusResponse_FINISHED {
		response.Outcome = outcomeMessage(outcome)
	}
	return response
}

// outcomeMessage cuts a body that is too long to be kept.
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
		return nil // decodes as MayHaveRun
	}
	return data
}

// decodeOutcome returns MayHaveRun for a value that cannot be read.
func decodeOutcome(data []byte) Outcome {
	message := &ledgerpb.Outcome{}
	if err := proto.Unmarshal(data, message); err != nil {
		return Outcome{}
	}
	return outcomeOf(message)
}
