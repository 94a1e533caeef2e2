package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	claimFamily = "claims"
	// claimShards also bounds the store writes for claims: all instances together make at most one
	// per shard and commit interval while they agree on the shards' homes. It must be the same at all
	// instances.
	claimShards = 32
	// maxClaimAttempts bounds the attempts of one claim. A further attempt follows if the key was taken
	// but has become free or replaceable.
	maxClaimAttempts = 4
	// maxUnfinished bounds the claims of one instance whose outcome is not in the store yet.
	maxUnfinished = 16384
	retryAfter    = time.Second // Retry-After of the ledger's refusals
)

// StoreClaims grants claims over all entry instances. The store is the authority: a claim is
// granted if and only if a swap of its shard's head that carries the claim's nonce, the unique id
// of one claim attempt, took effect. A later record replaces a nonce only after its claimer confirmed
// that it never dispatched.
type StoreClaims struct {
	parts          Parts
	journal        *journal
	nonces         *nonceSource
	local          *localClaims    // by the nonces that this incarnation issued
	deliveryCtx    context.Context // of the deliveries that Finish starts
	stopDeliveries context.CancelFunc
}

var _ Claims = (*StoreClaims)(nil)

// NewClaims returns a StoreClaims without cached state. Close ends its background deliveries.
func NewClaims(parts Parts) *StoreClaims {
	deliveryCtx, stopDeliveries := context.WithCancel(context.Background())
	settings := parts.Settings
	return &StoreClaims{
		parts:          parts,
		journal:        newJournal(parts, claimFamily, claimShards, settings.retryWindow(), settings.commitInterval()),
		nonces:         newNonceSource(parts.Members.Self().Incarnation),
		local:          newLocalClaims(),
		deliveryCtx:    deliveryCtx,
		stopDeliveries: stopDeliveries,
	}
}

// Claim implements Claims.
func (c *StoreClaims) Claim(ctx context.Context, claim Claim) (ClaimResult, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.parts.Settings.grantTimeout())
	defer cancel()
	if c.local.count() >= maxUnfinished {
		c.count("backlogged")
		return ClaimResult{}, refuseClaim("too many claims wait for the store")
	}
	result, err := c.acquire(ctx, claim)
	if err != nil {
		c.count("unavailable")
		return ClaimResult{}, err
	}
	if result.Standing == Granted {
		result.Expires = started.Add(c.parts.Settings.retryWindow() / 2)
	}
	c.count(result.Standing.String())
	return result, nil
}

// acquire tries to take the key until it is granted or the state of its holder is known.
func (c *StoreClaims) acquire(ctx context.Context, claim Claim) (ClaimResult, error) {
	record := &ledgerpb.Record{
		Kind:   ledgerpb.RecordKind_RECORD_CREATE,
		Key:    keyBytes(claim.Key),
		Digest: claim.Digest[:hashBytes],
	}
	for range maxClaimAttempts {
		found, granted, err := c.tryAcquire(ctx, claim, record)
		if err != nil {
			return ClaimResult{}, err
		}
		if granted {
			return ClaimResult{Standing: Granted, Claimer: claim.Claimer}, nil
		}
		resolved, err := c.resolveConflict(ctx, claim, found)
		if err != nil || !resolved.free {
			return resolved.result, err
		}
		c.count("replaced")
		record.Replaces = resolved.replaces
	}
	return ClaimResult{Standing: InProgress}, nil
}

// tryAcquire makes one attempt to take the key, with a new nonce. It returns the key's holder and
// whether that is this attempt. An attempt that is not granted in time is abandoned: its record may
// still take effect, but this instance never dispatches under its nonce.
func (c *StoreClaims) tryAcquire(ctx context.Context, claim Claim, record *ledgerpb.Record) (*holder, bool, error) {
	id := c.nonces.next()
	record.Nonce = id[:]
	c.local.register(id, claim)
	found, err := c.journal.submit(ctx, record)
	switch {
	case errors.Is(err, errNotWritten):
		c.local.remove(id)
		return nil, false, refuseClaim("the store could not be reached")
	case err != nil:
		c.abandon(id, claim)
		return nil, false, refuseClaim("the claim's outcome was not known in time")
	case found == nil || found.nonce != id:
		c.local.remove(id)
		return found, false, nil
	case ctx.Err() != nil:
		c.count("late_grant")
		c.abandon(id, claim)
		return nil, false, refuseClaim("the claim was granted too late")
	}
	c.local.grant(id)
	return found, true, nil
}

// abandon marks the nonce as never dispatched and frees the key in the background if the nonce holds
// it.
func (c *StoreClaims) abandon(id nonce, claim Claim) {
	c.count("abandoned")
	c.local.abandon(id)
	go c.deliver(id, &ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_REMOVE, Key: keyBytes(claim.Key), Nonce: id[:]})
}

// resolution is the result of a claim attempt that found its key taken.
type resolution struct {
	result ClaimResult
	// free means that a new attempt may replace the holder with the nonce replaces, which never
	// dispatched and never will. If replaces is empty, the key has no holder.
	free     bool
	replaces []byte
}

// resolveConflict determines the state of the key's holder. found comes from the index and may be
// stale, so the key is read from the store unless found is a finished claim with the same digest. It
// queries the claimer before the store: a claimer forgets a claim once its outcome is in the store,
// and in this order one of the two reads finds the outcome.
func (c *StoreClaims) resolveConflict(ctx context.Context, claim Claim, found *holder) (resolution, error) {
	if found != nil && found.finished && sameDigest(found, claim) {
		return resolution{result: finishedResult(found)}, nil
	}
	var status claimStatus
	if found != nil {
		status = c.queryClaimer(ctx, found.nonce)
	}
	current, err := c.lookup(ctx, claim)
	switch {
	case err != nil:
		return resolution{}, err
	case current == nil:
		return resolution{free: true}, nil
	case !sameDigest(current, claim):
		return resolution{result: ClaimResult{Standing: Mismatch}}, nil
	case current.finished:
		return resolution{result: finishedResult(current)}, nil
	case found == nil || current.nonce != found.nonce:
		return resolution{result: ClaimResult{Standing: InProgress}}, nil
	default:
		return resolveUnfinished(status, current), nil
	}
}

// resolveUnfinished resolves a conflict with a holder that was unfinished in the store after its
// claimer returned status.
func resolveUnfinished(status claimStatus, held *holder) resolution {
	switch status.state {
	case ledgerpb.ClaimStatusResponse_IN_PROGRESS:
		return resolution{result: ClaimResult{Standing: InProgress, Claimer: status.claimer}}
	case ledgerpb.ClaimStatusResponse_FINISHED:
		return resolution{result: ClaimResult{Standing: Finished, Outcome: status.outcome, Claimer: status.claimer}}
	case ledgerpb.ClaimStatusResponse_NOT_HELD:
		return resolution{free: true, replaces: held.nonce[:]}
	default:
		return resolution{result: ClaimResult{Standing: OutcomeUnknown}}
	}
}

// lookup reads the key's holder from the store; nil if the key is free.
func (c *StoreClaims) lookup(ctx context.Context, claim Claim) (*holder, error) {
	record := &ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_LOOKUP, Key: keyBytes(claim.Key)}
	found, err := c.journal.submit(ctx, record)
	if err != nil {
		return nil, refuseClaim("the key's state could not be read")
	}
	return found, nil
}

// Finish implements Claims. It writes the outcome to the store in the background. Until it is
// there, this instance reports the outcome in ClaimStatus calls.
func (c *StoreClaims) Finish(_ context.Context, claim Claim, outcome Outcome) error {
	id, ok := c.local.finish(claim, outcome)
	if !ok {
		return fmt.Errorf("request %s holds no claim", claim.RequestID)
	}
	record := &ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_REMOVE, Key: keyBytes(claim.Key), Nonce: id[:]}
	if outcome.Verdict != verdict.NotRun {
		record.Kind = ledgerpb.RecordKind_RECORD_UPDATE
		record.Value = encodeOutcome(outcome)
	}
	go c.deliver(id, record)
	return nil
}

// deliver submits a record with exponential back-off until the store holds it or Close is called.
func (c *StoreClaims) deliver(id nonce, record *ledgerpb.Record) {
	backoff := c.parts.Settings.commitInterval()
	for c.deliveryCtx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.deliveryCtx, c.parts.Settings.grantTimeout())
		_, err := c.journal.submit(ctx, record)
		cancel()
		if err == nil {
			c.local.remove(id)
			return
		}
		c.count("delivery_retry")
		select {
		case <-time.After(backoff):
		case <-c.deliveryCtx.Done():
		}
		backoff = min(2*backoff, maxDeliveryBackoff)
	}
}

const maxDeliveryBackoff = 2 * time.Second

// Flush waits until the store holds every finished claim, or ctx ends.
func (c *StoreClaims) Flush(ctx context.Context) error {
	for c.local.countUndelivered() > 0 {
		select {
		case <-time.After(c.parts.Settings.commitInterval()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close ends the background deliveries.
func (c *StoreClaims) Close() { c.stopDeliveries() }

func (c *StoreClaims) count(event string) {
	c.parts.Counters.Add("plumbarrow_claims_total", "event", event)
}

func refuseClaim(detail string) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.LedgerUnavailable, "%s", detail)
	refusal.RetryAfter = retryAfter
	return refusal
}

func sameDigest(found *holder, claim Claim) bool {
	return bytes.Equal(found.digest, claim.Digest[:hashBytes])
}

func finishedResult(found *holder) ClaimResult {
	return ClaimResult{Standing: Finished, Outcome: decodeOutcome(found.value)}
}

func keyBytes(key ClaimKey) []byte {
	hash := hashKey(key.Customer, key.Route, key.Key)
	return hash[:]
}
