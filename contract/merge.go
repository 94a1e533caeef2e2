package contract

import "fmt"

// Merge rebases an edit: it applies what changed from base to ours onto theirs, entry by entry. An
// entry that both sides changed in different ways is a conflict; with any conflict merged is nil.
// Comments and order of theirs are kept. The result parses but is not yet validated.
func Merge(base, ours, theirs []byte) (merged []byte, conflicts []Ref, err error) {
	baseText, err := newText(base)
	if err != nil {
		return nil, nil, fmt.Errorf("base: %w", err)
	}
	ourText, err := newText(ours)
	if err != nil {
		return nil, nil, err
	}
	result, err := newText(theirs)
	if err != nil {
		return nil, nil, fmt.Errorf("present: %w", err)
	}
	before, our, their := baseText.document.entries(), ourText.document.entries(), result.document.entries()
	for _, ref := range sortedRefs(before, our, their) {
		switch b, o, t := before[ref], our[ref], their[ref]; {
		case same(o, b) || same(o, t):
		case same(t, b):
			result.set(ref, ourText.blocks[ref])
		default:
			conflicts = append(conflicts, ref)
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts, nil
	}
	return result.bytes(), nil, nil
}

// EditDocument applies edit to a document. Entries that it leaves alone keep their text.
func EditDocument(data []byte, edit func(*Document) error) ([]byte, error) {
	t, err := newText(data)
	if err != nil {
		return nil, err
	}
	edited, err := Parse("configuration", data)
	if err != nil {
		return nil, err
	}
	if err := edit(edited); err != nil {
		return nil, err
	}
	before, after := t.document.entries(), edited.entries()
	changed := false
	for _, ref := range sortedRefs(before, after) {
		if same(before[ref], after[ref]) {
			continue
		}
		changed = true
		t.set(ref, []byte(textOf(after[ref])))
	}
	if !changed {
		return data, nil
	}
	return t.bytes(), nil
}

// KeepOrders returns ours with the settled orders of theirs. Operators don't write them, so an
// operator's file must not drop them.
func KeepOrders(ours, theirs []byte) ([]byte, error) {
	present, err := Parse("present", theirs)
	if err != nil {
		return nil, err
	}
	return EditDocument(ours, func(document *Document) error {
		document.Orders = present.Orders
		return nil
	})
}
