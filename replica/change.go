package replica

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// change is one submitted change, over all attempts to get it accepted.
type change struct {
	proposer    *Proposer
	id          string
	author      string
	restrictive bool
	recover     bool
	base        *contract.Revision // of a Proposal; nil for other changes
	// derive returns the document to write as the successor of head, a refusal, or an error of the
	// store.
	derive func(ctx context.Context, head *Head) ([]byte, *Result, error)

	// pendingVersion is the head's version that the last compare-and-swap with an unknown outcome
	// expected. While the head still has this version, that write may yet take effect.
	pendingVersion *infra.StoreVersion
}

func (c *change) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, lastErr := c.attempts(ctx)
	if result == nil {
		result = c.unresolvedResult(lastErr)
	}
	c.proposer.counters.Add("plumbarrow_configuration_proposals_total", "outcome", result.Outcome.String())
	return *result
}

// attempts retries until there is a result; without one it returns the last error.
func (c *change) attempts(ctx context.Context) (*Result, error) {
	lastErr := ctx.Err()
	for attempt := 0; attempt < proposeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			backoff(ctx, attempt)
		}
		result, err := c.try(ctx)
		if result != nil {
			return result, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// unresolvedResult is the result if no attempt had one. It is a refusal only if no swap is pending
// and the history could be read.
func (c *change) unresolvedResult(lastErr error) *Result {
	result := &Result{Outcome: OutcomeRefused, Reason: ReasonUnavailable}
	if c.pendingVersion != nil || errors.Is(lastErr, errHistoryUnavailable) {
		result.Outcome = OutcomeUnknown
	} else if errors.Is(lastErr, infra.ErrConflict) {
		result.Reason = ReasonBusy
	}
	if lastErr != nil {
		result.Detail = lastErr.Error()
	}
	return result
}

// try makes one attempt; a nil result means that another attempt is needed.
func (c *change) try(ctx context.Context) (*Result, error) {
	head, version, err := readHead(ctx, c.proposer.store)
	if err != nil {
		return nil, err
	}
	if found := head.byChange(c.id); found != nil {
		return &Result{Outcome: OutcomeAccepted, Revision: found.Revision}, nil
	}
	if c.pendingVersion != nil && *c.pendingVersion != version {
		if result, err := c.resolvePending(ctx, head); result != nil || err != nil {
			return result, err
		}
	}
	nextRecord, document, result, err := c.nextRecord(ctx, head)
	if err != nil {
		return nil, err
	}
	if result != nil {
		return c.confirmRefusal(ctx, head, version, result)
	}
	if nextRecord == nil {
		return &Result{Outcome: OutcomeAccepted, Revision: head.Revision(), Detail: "no change"}, nil
	}
	return c.commit(ctx, head, version, nextRecord, document)
}

// resolvePending decides a pending swap after the head's version has changed: the change is in the
// history, or the swap can no longer take effect.
func (c *change) resolvePending(ctx context.Context, head *Head) (*Result, error) {
	result, err := c.findInHistory(ctx, head)
	if err != nil || result != nil {
		return result, err
	}
	c.pendingVersion = nil
	return nil, nil
}

// findInHistory looks for the change in the history unless the head still has all changes. The
// result is nil if the change is not there.
func (c *change) findInHistory(ctx context.Context, head *Head) (*Result, error) {
	if len(head.Records) == 0 || head.Records[0].Revision == 1 {
		return nil, nil
	}
	records, err := readHistory(ctx, c.proposer.store)
	if err != nil {
		return nil, errHistoryUnavailable
	}
	for _, record := range records {
		if record.ChangeID == c.id {
			return &Result{Outcome: OutcomeAccepted, Revision: record.Revision}, nil
		}
	}
	return nil, nil
}

// confirmRefusal returns result, a refusal, unless the change was or may yet be accepted by an
// earlier attempt.
func (c *change) confirmRefusal(ctx context.Context, head *Head, version infra.StoreVersion, result *Result) (*Result, error) {
	if c.pendingVersion != nil && *c.pendingVersion == version {
		return nil, infra.ErrOutcomeUnknown
	}
	earlier, err := c.findInHistory(ctx, head)
	if err != nil || earlier != nil {
		return earlier, err
	}
	return result, nil
}

// nextRecord returns the record and the document that would follow head; nil without a result if
// nothing would change.
func (c *change) nextRecord(ctx context.Context, head *Head) (*Record, []byte, *Result, error) {
	precedingRevision, result := c.precedingRevision(head)
	if result != nil {
		return nil, nil, result, nil
	}
	data, result, err := c.derive(ctx, head)
	if result != nil || err != nil {
		return nil, nil, result, err
	}
	document, err := contract.Parse("document", data)
	if err != nil {
		return nil, nil, invalidResult(err), nil
	}
	currentDocument := &contract.Document{}
	if head.Revision() > 0 {
		if currentDocument, err = c.currentDocument(ctx, head); err != nil {
			return nil, nil, nil, err
		}
	}
	if result := c.validate(document, currentDocument); result != nil {
		return nil, nil, result, nil
	}
	changes := contract.Changes(currentDocument, document)
	if len(changes) == 0 && head.Revision() > 0 && precedingRevision == head.Revision() {
		return nil, nil, nil, nil
	}
	record := &Record{
		Revision: precedingRevision + 1,
		ChangeID: c.id,
		Author:   c.author[:min(len(c.author), maxAuthorBytes)],
		At:       time.Now().UTC(),
		Digest:   digestOf(data),
		Size:     len(data),
		Changed:  len(changes),
	}
	for _, changed := range changes[:min(len(changes), maxEntryNames)] {
		record.Entries = append(record.Entries, changed.EntryRef.String())
	}
	return record, data, nil, nil
}

// precedingRevision returns the revision that the change follows: the head's or, to recover from a
// store that lost its head, the one in force.
func (c *change) precedingRevision(head *Head) (contract.Revision, *Result) {
	if !c.proposer.storeHeadBehind(head) {
		return head.Revision(), nil
	}
	current := c.proposer.inForce.Current().Revision
	if !c.recover {
		return 0, refused(ReasonLowerHead, "the store's head is at revision %d, but revision %d is in force", head.Revision(), current)
	}
	return current, nil
}

func (c *change) currentDocument(ctx context.Context, head *Head) (*contract.Document, error) {
	data, err := c.proposer.document(ctx, head.newest())
	if err != nil {
		return nil, err
	}
	return contract.Parse("present", data)
}

// commit writes the parts and then swaps the head, which accepts the change.
func (c *change) commit(ctx context.Context, head *Head, version infra.StoreVersion, next *Record, document []byte) (*Result, error) {
	store := c.proposer.store
	next.Parts = head.parts(next.Digest)
	if next.Parts == nil {
		parts, err := writeParts(ctx, store, pack(document))
		if err != nil {
			return nil, err
		}
		next.Parts = parts
	}
	records, archived, err := c.archiveOlder(ctx, head)
	if err != nil {
		return nil, err
	}
	value, err := encodeHead(&Head{Records: append(records, *next), Delta: c.delta(ctx, head, document)})
	if err != nil {
		return refused(ReasonInvalid, "%v", err), nil
	}
	_, err = store.CompareAndSwap(ctx, HeadKey, version, value)
	if errors.Is(err, infra.ErrOutcomeUnknown) {
		c.pendingVersion = &version
	}
	if err != nil {
		return nil, err
	}
	c.proposer.cacheDocument(next.Digest, document)
	dropParts(ctx, store, archived, append(records, *next))
	return &Result{Outcome: OutcomeAccepted, Revision: next.Revision, Rebased: c.rebased(head)}, nil
}

// delta returns the document compressed against the current one. Without it (nil) the instances
// read the whole document.
func (c *change) delta(ctx context.Context, head *Head, document []byte) []byte {
	if head.Revision() == 0 {
		return nil
	}
	current, err := c.proposer.document(ctx, head.newest())
	if err != nil {
		return nil
	}
	return packDelta(document, current)
}

// rebased reports whether the change was applied to another revision than its base.
func (c *change) rebased(head *Head) bool { return c.base != nil && *c.base != head.Revision() }

// archiveOlder writes the older half of a full head to the history.
func (c *change) archiveOlder(ctx context.Context, head *Head) (kept, archived []Record, err error) {
	if len(head.Records) < maxRecords {
		return append([]Record(nil), head.Records...), nil, nil
	}
	archived = head.Records[:maxRecords/2]
	if err := writeHistory(ctx, c.proposer.store, archived); err != nil {
		return nil, nil, err
	}
	return append([]Record(nil), head.Records[maxRecords/2:]...), archived, nil
}
