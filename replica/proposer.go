package replica

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
)

const (
	proposeTimeout  = 30 * time.Second
	proposeAttempts = 24
	proposeBackoff  = 50 * time.Millisecond // doubled at each attempt, with jitter
	maxBackoff      = 2 * time.Second
)

// Proposal is a whole document that an operator wants accepted.
type Proposal struct {
	// ChangeID identifies the change when it is submitted again.
	ChangeID string
	// Base is the revision that the operator edited; 0 for the first document.
	Base     contract.Revision
	Author   string
	Document []byte // TOML
	// Recover is for a store that has lost its head: if the head is below the revision in force at
	// the proposing instance, the document replaces the store's without a merge and gets the revision
	// after the one in force. Otherwise Recover has no effect.
	Recover bool
}

// Edit is a change described by a function, which is applied to the newest accepted document.
type Edit struct {
	ChangeID string
	Author   string
	// Restrictive edits only remove; they may leave routes that nothing can serve.
	Restrictive bool
	// Apply changes the document; it may be called several times. If it returns an error, the change
	// is refused with ReasonInvalid.
	Apply func(document *contract.Document) error
}

// Proposer writes the configuration. Safe for concurrent use, by any number of processes.
type Proposer struct {
	store    infra.Store
	inForce  contract.Source
	counters *telemetry.Counters
	log      *slog.Logger

	mu     sync.Mutex
	cached map[string][]byte // documents used last, by digest
}

// maxCached is the number of documents that a proposer caches: a change needs its base and the
// current document.
const maxCached = 2

// NewProposer returns a proposer. It compares the store's head with inForce, which may be nil, to
// detect a store that has lost its head.
func NewProposer(store infra.Store, inForce contract.Source, counters *telemetry.Counters, log *slog.Logger) *Proposer {
	return &Proposer{store: store, inForce: inForce, counters: counters, log: log, cached: make(map[string][]byte)}
}

// ReplaceDocument replaces the newest accepted document, whatever its revision. The error for an
// invalid document is a *contract.ValidationError; any other names the outcome and its detail.
func ReplaceDocument(ctx context.Context, store infra.Store, changeID string, document []byte) (contract.Revision, error) {
	proposer := NewProposer(store, nil, telemetry.New(), slog.New(slog.DiscardHandler))
	result := proposer.Replace(ctx, changeID, "direct", document)
	if result.Outcome == OutcomeAccepted {
		return result.Revision, nil
	}
	if len(result.Findings) > 0 {
		return 0, &contract.ValidationError{Findings: result.Findings}
	}
	return 0, errors.New(result.Outcome.String() + ": " + result.Detail)
}

// Propose tries to have a document accepted. Others' changes of other entries since its base are
// merged (the change is rebased); changes of the same entries are a conflict.
func (p *Proposer) Propose(ctx context.Context, proposal Proposal) Result {
	if _, err := contract.Parse("document", proposal.Document); err != nil {
		return *invalidResult(err)
	}
	change := &change{proposer: p, id: proposal.ChangeID, author: proposal.Author, recover: proposal.Recover, base: &proposal.Base}
	change.derive = func(ctx context.Context, head *Head) ([]byte, *Result, error) {
		return p.rebase(ctx, head, proposal)
	}
	return change.run(ctx)
}

// Replace tries to have a document accepted in place of the newest one, without a merge.
func (p *Proposer) Replace(ctx context.Context, changeID, author string, document []byte) Result {
	change := &change{proposer: p, id: changeID, author: author}
	change.derive = func(context.Context, *Head) ([]byte, *Result, error) { return document, nil, nil }
	return change.run(ctx)
}

// Edit tries to change the newest accepted document. Without one, it is refused.
func (p *Proposer) Edit(ctx context.Context, edit Edit) Result {
	change := &change{proposer: p, id: edit.ChangeID, author: edit.Author, restrictive: edit.Restrictive}
	change.derive = func(ctx context.Context, head *Head) ([]byte, *Result, error) {
		if head.Revision() == 0 {
			return nil, refused(ReasonInvalid, "there is no configuration to edit"), nil
		}
		current, err := p.document(ctx, head.newest())
		if err != nil {
			return nil, nil, err
		}
		document, err := contract.EditDocument(current, edit.Apply)
		if err != nil {
			return nil, invalidResult(err), nil
		}
		return document, nil, nil
	}
	return change.run(ctx)
}

// rebase returns the document to write as the successor of head: the proposal merged with the
// changes since its base.
func (p *Proposer) rebase(ctx context.Context, head *Head, proposal Proposal) ([]byte, *Result, error) {
	if head.Revision() == 0 && proposal.Base == 0 || proposal.Recover && p.storeHeadBehind(head) {
		return proposal.Document, nil, nil
	}
	if head.Revision() == proposal.Base {
		return p.keepOrders(ctx, head, proposal.Document)
	}
	base := head.byRevision(proposal.Base)
	if base == nil {
		return nil, refused(ReasonBase, "revision %d is not among the last %d changes up to revision %d",
			proposal.Base, len(head.Records), head.Revision()), nil
	}
	baseDocument, err := p.document(ctx, base)
	if err != nil {
		return nil, nil, err
	}
	current, err := p.document(ctx, head.newest())
	if err != nil {
		return nil, nil, err
	}
	ours, err := contract.KeepOrders(proposal.Document, baseDocument)
	if err != nil {
		return nil, invalidResult(err), nil
	}
	merged, conflicts, err := contract.Merge(baseDocument, ours, current)
	if err != nil {
		return nil, invalidResult(err), nil
	}
	if len(conflicts) > 0 {
		result := refused(ReasonConflict, "changed since revision %d by others, last by %s at revision %d",
			proposal.Base, head.newest().Author, head.Revision())
		result.Conflicts = conflicts
		return nil, result, nil
	}
	return merged, nil, nil
}

// storeHeadBehind reports whether the store's head is below the revision in force.
func (p *Proposer) storeHeadBehind(head *Head) bool {
	if p.inForce == nil {
		return false
	}
	current := p.inForce.Current()
	return current != nil && current.Revision > head.Revision()
}

// keepOrders returns the document with the settled orders of the newest accepted one.
func (p *Proposer) keepOrders(ctx context.Context, head *Head, document []byte) ([]byte, *Result, error) {
	current, err := p.document(ctx, head.newest())
	if err != nil {
		return nil, nil, err
	}
	kept, err := contract.KeepOrders(document, current)
	if err != nil {
		return nil, invalidResult(err), nil
	}
	return kept, nil, nil
}

// document returns the document of a change, from the cache or the store. Documents are immutable.
func (p *Proposer) document(ctx context.Context, record *Record) ([]byte, error) {
	p.mu.Lock()
	document, ok := p.cached[record.Digest]
	p.mu.Unlock()
	if ok {
		return document, nil
	}
	document, err := readDocument(ctx, p.store, record)
	if err != nil {
		return nil, err
	}
	p.cacheDocument(record.Digest, document)
	return document, nil
}

func (p *Proposer) cacheDocument(digest string, document []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.cached {
		if len(p.cached) < maxCached {
			break
		}
		delete(p.cached, other)
	}
	p.cached[digest] = document
}

func invalidResult(err error) *Result {
	result := refused(ReasonInvalid, "the document is invalid")
	var invalid *contract.ValidationError
	if errors.As(err, &invalid) {
		result.Findings = invalid.Findings
	} else {
		result.Detail = err.Error()
	}
	return result
}

// NewChangeID returns an id for a change.
func NewChangeID() string { return uuid.NewString() }

func backoff(ctx context.Context, attempt int) {
	wait := min(proposeBackoff<<min(attempt, 10), maxBackoff)
	sleep(ctx, wait/2+rand.N(wait))
}

func encodeHead(head *Head) ([]byte, error) { return json.Marshal(head) }
