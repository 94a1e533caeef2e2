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

// SetZone returns the document with one zone taken out of service or brought back. The rest of the
// text stays as it is.
func SetZone(data []byte, name string, outOfService bool) ([]byte, error) {
	t, err := newText(data)
	if err != nil {
		return nil, err
	}
	entry := t.document.entries()[Ref{TableZones, name}]
	if entry == nil {
		return nil, fmt.Errorf("unknown zone %q", name)
	}
	if entry.Zones[0].OutOfService == outOfService {
		return data, nil
	}
	entry.Zones[0].OutOfService = outOfService
	return t.replaced(Ref{TableZones, name}, entry)
}

// SetVersionState returns the document with one version in another state.
func SetVersionState(data []byte, id VersionID, state VersionState) ([]byte, error) {
	return editVersion(data, id, func(version *ModelVersion) bool {
		changed := version.State != state
		version.State = state
		return changed
	})
}

// SetVersionWeight returns the document with another weight for one version.
func SetVersionWeight(data []byte, id VersionID, weight float64) ([]byte, error) {
	return editVersion(data, id, func(version *ModelVersion) bool {
		changed := *version.Weight != weight
		version.Weight = &weight
		return changed
	})
}

func editVersion(data []byte, id VersionID, edit func(*ModelVersion) bool) ([]byte, error) {
	t, err := newText(data)
	if err != nil {
		return nil, err
	}
	ref := Ref{TableModels, id.Model}
	entry := t.document.entries()[ref]
	if entry == nil {
		return nil, fmt.Errorf("unknown model %q", id.Model)
	}
	for i := range entry.Models[0].Versions {
		if version := &entry.Models[0].Versions[i]; version.Name == id.Name {
			if !edit(version) {
				return data, nil
			}
			return t.replaced(ref, entry)
		}
	}
	return nil, fmt.Errorf("unknown version %q of model %q", id.Name, id.Model)
}

func (t *text) replaced(ref Ref, entry *Document) ([]byte, error) {
	block, err := entryText(entry)
	if err != nil {
		return nil, err
	}
	t.set(ref, block)
	return t.bytes(), nil
}
