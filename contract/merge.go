package contract

import "fmt"

// Merge is a three-way merge: it applies the changes from base to ours onto theirs, entry by entry.
// An entry that both sides changed in different ways is a conflict; with any conflict merged is nil.
// The result keeps the comments and the order of theirs and is not yet validated.
func Merge(base, ours, theirs []byte) (merged []byte, conflicts []EntryRef, err error) {
	baseText, err := newSplitText(base)
	if err != nil {
		return nil, nil, fmt.Errorf("base: %w", err)
	}
	ourText, err := newSplitText(ours)
	if err != nil {
		return nil, nil, err
	}
	result, err := newSplitText(theirs)
	if err != nil {
		return nil, nil, fmt.Errorf("present: %w", err)
	}
	baseEntries, ourEntries, theirEntries := baseText.document.entries(), ourText.document.entries(), result.document.entries()
	for _, ref := range sortedRefs(baseEntries, ourEntries, theirEntries) {
		switch b, o, t := baseEntries[ref], ourEntries[ref], theirEntries[ref]; {
		case equalEntries(o, b) || equalEntries(o, t):
		case equalEntries(t, b):
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

// EditDocument applies edit to the parsed document and returns the new TOML text, or data itself if
// nothing changed. Entries that edit does not change keep their text. An error of edit is returned as
// it is; a document that does not parse is a *ValidationError.
func EditDocument(data []byte, edit func(*Document) error) ([]byte, error) {
	t, err := newSplitText(data)
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
		if equalEntries(before[ref], after[ref]) {
			continue
		}
		changed = true
		t.set(ref, []byte(entryTextOrEmpty(after[ref])))
	}
	if !changed {
		return data, nil
	}
	return t.bytes(), nil
}

// KeepOrders returns ours with the settled orders of theirs. Operators' files don't list settled
// orders, so applying such a file must not remove them.
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
