package replica

import (
	"context"
	"errors"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

// change is one attempt to get something accepted, over all its retries.
type change struct {
	proposer    *Proposer
	id          string
	author      string
	restrictive bool
	recover     bool
	base        *contract.Revision // of a proposal
	// derive returns the document to write above head, a refusal, or an error of the store.
	derive func(ctx context.Context, head *Head) ([]byte, *Result, error)

	// pending is the version that the last swap with an unknown outcome expected. While the head
	// still has it, that swap may yet take effect.
	pending *infra.Version
}

func (c *change) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, last := c.attempts(ctx)
	if result == nil {
		result = c.givenUp(last)
	}
	c.proposer.counters.Add("plumbarrow_configuration_proposals_total", "outcome", result.Outcome.String())
	return *result
}

// attempts tries until there is a result; without one it returns the last error.
func (c *change) attempts(ctx context.Context) (*Result, error) {
	last := ctx.Err()
	for attempt := 0; attempt < proposeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			backoff(ctx, attempt)
		}
		result, err := c.try(ctx)
		if result != nil {
			return result, nil
		}
		last = err
	}
	return nil, last
}

// givenUp is the result without an answer of the store. It is a refusal only if no swap is pending
// and the history could be read.
func (c *change) givenUp(last error) *Result {
	result := &Result{Outcome: Refused, Reason: ReasonUnavailable}
	if c.pending != nil || errors.Is(last, errHistoryUnread) {
		result.Outcome = Unknown
	} else if errors.Is(last, infra.ErrConflict) {
		result.Reason = ReasonBusy
	}
	if last != nil {
		result.Detail = last.Error()
	}
	return result
}

// try makes one attempt; a nil result means to try again.
func (c *change) try(ctx context.Context) (*Result, error) {
	head, version, err := readHead(ctx, c.proposer.store)
	if err != nil {
		return nil, err
	}
	if found := head.byChange(c.id); found != nil {
		return &Result{Outcome: Accepted, Revision: found.Revision}, nil
	}
	if c.pending != nil && *c.pending != version {
		if result, err := c.settle(ctx, head); result != nil || err != nil {
			return result, err
		}
	}
	next, document, result, err := c.next(ctx, head)
	if err != nil {
		return nil, err
	}
	if result != nil {
		return c.refuse(ctx, head, version, result)
	}
	if next == nil {
		return &Result{Outcome: Accepted, Revision: head.Revision(), Detail: "no change"}, nil
	}
	return c.swap(ctx, head, version, next, document)
}

// settle decides a pending swap once the head has moved on: it either is in the history or can no
// longer take effect.
func (c *change) settle(ctx context.Context, head *Head) (*Result, error) {
	result, err := c.accepted(ctx, head)
	if err != nil || result != nil {
		return result, err
	}
	c.pending = nil
	return nil, nil
}

// accepted looks for the change in the history, if the head no longer reaches back far enough.
func (c *change) accepted(ctx context.Context, head *Head) (*Result, error) {
	if len(head.Records) == 0 || head.Records[0].Revision == 1 {
		return nil, nil
	}
	records, err := readHistory(ctx, c.proposer.store)
	if err != nil {
		return nil, errHistoryUnread
	}
	for _, record := range records {
		if record.ChangeID == c.id {
			return &Result{Outcome: Accepted, Revision: record.Revision}, nil
		}
	}
	return nil, nil
}

// refuse makes sure that the change was not accepted earlier before it says so.
func (c *change) refuse(ctx context.Context, head *Head, version infra.Version, result *Result) (*Result, error) {
	if c.pending != nil && *c.pending == version {
		return nil, infra.ErrOutcomeUnknown
	}
	earlier, err := c.accepted(ctx, head)
	if err != nil || earlier != nil {
		return earlier, err
	}
	return result, nil
}

// next returns the record and the document that would follow head; nil without a result if nothing
// would change.
func (c *change) next(ctx context.Context, head *Head) (*Record, []byte, *Result, error) {
	floor, result := c.floor(head)
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
	present := &contract.Document{}
	if head.Revision() > 0 {
		if present, err = c.present(ctx, head); err != nil {
			return nil, nil, nil, err
		}
	}
	if result := c.validate(document, present); result != nil {
		return nil, nil, result, nil
	}
	changes := contract.Changes(present, document)
	if len(changes) == 0 && head.Revision() > 0 && floor == head.Revision() {
		return nil, nil, nil, nil
	}
	record := &Record{
		Revision: floor + 1,
		ChangeID: c.id,
		Author:   c.author[:min(len(c.author), maxAuthor)],
		At:       time.Now().UTC(),
		Digest:   digestOf(data),
		Size:     len(data),
		Changed:  len(changes),
	}
	for _, one := range changes[:min(len(changes), maxEntries)] {
		record.Entries = append(record.Entries, one.Ref.String())
	}
	return record, data, nil, nil
}

// floor is the revision that the change must exceed.
func (c *change) floor(head *Head) (contract.Revision, *Result) {
	if !c.proposer.lostHead(head) {
		return head.Revision(), nil
	}
	current := c.proposer.inForce.Current().Revision
	if !c.recover {
		return 0, refused(ReasonLowerHead, "the store's head is at revision %d, but revision %d is in force", head.Revision(), current)
	}
	return current, nil
}

func (c *change) present(ctx context.Context, head *Head) (*contract.Document, error) {
	data, err := c.proposer.document(ctx, head.newest())
	if err != nil {
		return nil, err
	}
	return contract.Parse("present", data)
}

// swap writes the parts, then the head.
func (c *change) swap(ctx context.Context, head *Head, version infra.Version, next *Record, document []byte) (*Result, error) {
	store := c.proposer.store
	next.Parts = head.parts(next.Digest)
	if next.Parts == nil {
		parts, err := writeParts(ctx, store, pack(document))
		if err != nil {
			return nil, err
		}
		next.Parts = parts
	}
	records, moved, err := c.rollOver(ctx, head)
	if err != nil {
		return nil, err
	}
	value, err := encodeHead(&Head{Records: append(records, *next), Delta: c.delta(ctx, head, document)})
	if err != nil {
		return refused(ReasonInvalid, "%v", err), nil
	}
	_, err = store.Swap(ctx, HeadKey, version, value)
	if errors.Is(err, infra.ErrOutcomeUnknown) {
		c.pending = &version
	}
	if err != nil {
		return nil, err
	}
	c.proposer.remember(next.Digest, document)
	dropParts(ctx, store, moved, append(records, *next))
	return &Result{Outcome: Accepted, Revision: next.Revision, Rebased: c.rebased(head)}, nil
}

// delta returns the document compressed against the present one; nil is right too, only dearer.
func (c *change) delta(ctx context.Context, head *Head, document []byte) []byte {
	if head.Revision() == 0 {
		return nil
	}
	present, err := c.proposer.document(ctx, head.newest())
	if err != nil {
		return nil
	}
	return packDelta(document, present)
}

// rebased says whether the change went above another revision than its base.
func (c *change) rebased(head *Head) bool { return c.base != nil && *c.base != head.Revision() }

// rollOver moves the older half of a full head to the history.
func (c *change) rollOver(ctx context.Context, head *Head) (kept, moved []Record, err error) {
	if len(head.Records) < maxRecords {
		return append([]Record(nil), head.Records...), nil, nil
	}
	moved = head.Records[:maxRecords/2]
	if err := writeHistory(ctx, c.proposer.store, moved); err != nil {
		return nil, nil, err
	}
	return append([]Record(nil), head.Records[maxRecords/2:]...), moved, nil
}
