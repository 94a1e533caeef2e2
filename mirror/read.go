package mirror

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// omittedChanges are changes that a reply to a poll left out because of their size.
type omittedChanges struct {
	revisions   map[string]uint64 // by key, at least
	position    Position          // up to which the copy is complete with them
	confirmedAt time.Time         // see Mirror.confirmedAt; of the reply
	full        bool              // the reply was a full state: documents that it lacks were deleted
	documents   []Document        // of the reply, if full
}

// readOmittedSoon makes Follow read omitted changes from the store.
func (m *Mirror) readOmittedSoon(omitted *omittedChanges) {
	m.mu.Lock()
	m.omitted = omitted
	m.mu.Unlock()
	m.callStore()
}

// takeOmitted returns the omitted changes that the copy still lacks, nil for none, and forgets them.
func (m *Mirror) takeOmitted() *omittedChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	omitted := m.omitted
	m.omitted = nil
	if omitted == nil || omitted.position.Era != m.position.Era || !omitted.position.After(m.position) {
		return nil
	}
	return omitted
}

// readOmitted reads the documents whose changes were omitted. Unlike a watch, it transfers each in one version.
func (m *Mirror) readOmitted(ctx context.Context, store Store, omitted *omittedChanges) error {
	state := omitted.documents
	for key, revision := range omitted.revisions {
		call := m.beginTransfer(ctx, readTimeout, 0)
		document, err := store.Get(call.ctx, key, call.progress)
		call.end()
		if errors.Is(err, ErrNotFound) {
			m.recordContact()
			return nil // the next poll tells of the deletion
		}
		if err != nil {
			return err
		}
		if document.Era != omitted.position.Era || document.Revision < revision {
			return fmt.Errorf("%s: revision %d of era %d: %w", key, document.Revision, document.Era, ErrOlderEra)
		}
		m.recordContact()
		documents := []Document{document}
		m.setKnownAt(documents, call.began)
		m.mergePart(documents, omitted.position)
		state = append(state, document)
	}
	if omitted.full {
		m.replace(state, omitted.position)
	} else {
		m.apply(nil, omitted.position)
	}
	m.confirm(omitted.confirmedAt)
	return nil
}

// readAll takes over the whole state. It begins behind the largest document, so that the others do not wait for it.
func (m *Mirror) readAll(ctx context.Context, store Store) error {
	started := time.Now()
	largest := m.largestKey()
	documents, from, err := m.readPages(ctx, store, largest, "")
	if err != nil {
		return err
	}
	m.recordContact()
	if largest != "" {
		if m.Position() != (Position{}) {
			m.mergePart(documents, from)
		}
		before, second, err := m.readPages(ctx, store, "", largest)
		if err != nil {
			return err
		}
		if second.Era != from.Era {
			return fmt.Errorf("era %d after %d: %w", second.Era, from.Era, ErrCompacted)
		}
		documents = append(documents, before...)
	}
	m.replace(documents, from)
	m.confirm(started)
	return nil
}

// readPages reads the documents whose keys come after a key, up to the page that reaches upTo; to the end if that is empty. from is the
// position of the first page: a watch from there repeats later changes.
func (m *Mirror) readPages(ctx context.Context, store Store, after, upTo string) (documents []Document, from Position, err error) {
	for first := true; ; first = false {
		page, err := m.readPage(ctx, store, after)
		if err != nil {
			return nil, Position{}, err
		}
		if first {
			from = Position{Era: page.Era, Revision: page.Revision}
		}
		if page.Era != from.Era {
			return nil, Position{}, fmt.Errorf("era %d after %d: %w", page.Era, from.Era, ErrCompacted)
		}
		documents = append(documents, page.Documents...)
		if !page.More || len(page.Documents) == 0 {
			return documents, from, nil
		}
		after = page.Documents[len(page.Documents)-1].Key
		if upTo != "" && after >= upTo {
			return documents, from, nil
		}
	}
}

func (m *Mirror) readPage(ctx context.Context, store Store, after string) (Page, error) {
	call := m.beginTransfer(ctx, readTimeout, 0)
	defer call.end()
	return store.Range(call.ctx, after, call.progress)
}

// largestKey returns the key of the largest document of the copy; empty if none is large.
func (m *Mirror) largestKey() string {
	largest, size := "", largeBytes
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, document := range m.documents {
		if !document.Deleted && len(document.Value) >= size {
			largest, size = key, len(document.Value)
		}
	}
	return largest
}

// setKnownAt sets KnownAt of documents that the store has sent, whose answer began at some time, to when another instance was known to be
// ahead, if that is earlier.
func (m *Mirror) setKnownAt(documents []Document, began time.Time) {
	m.mu.Lock()
	if !m.behindSince.IsZero() && m.behindSince.Before(began) {
		began = m.behindSince
	}
	m.mu.Unlock()
	for i := range documents {
		documents[i].KnownAt = began
	}
}
