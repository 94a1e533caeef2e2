package contract

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Table names one of a document's tables.
type Table string

// Tables of a document, in the order in which they are written.
const (
	TableZones     Table = "zones"
	TableCustomers Table = "customers"
	TableModels    Table = "models"
	TablePools     Table = "pools"
	TableRoutes    Table = "routes"
	TableSessions  Table = "sessions"
	TableOrders    Table = "orders"
)

var tableOrder = []Table{TableZones, TableCustomers, TableModels, TablePools, TableRoutes, TableSessions, TableOrders}

// EntryRef identifies one entry of a document. The tables sessions and orders are one entry each, without
// a name.
type EntryRef struct {
	Table Table  `json:"table"`
	Name  string `json:"name,omitempty"`
}

var _ fmt.Stringer = EntryRef{}

// String returns the form: table "name".
func (r EntryRef) String() string {
	if r.Table == TableSessions || r.Table == TableOrders {
		return string(r.Table)
	}
	return fmt.Sprintf("%s %q", r.Table, r.Name)
}

func compareRefs(a, b EntryRef) int {
	return cmp.Or(
		cmp.Compare(slices.Index(tableOrder, a.Table), slices.Index(tableOrder, b.Table)),
		cmp.Compare(a.Name, b.Name),
	)
}

// entries returns, for each entry, a document that holds only this entry.
func (d *Document) entries() map[EntryRef]*Document {
	byRef := make(map[EntryRef]*Document)
	for _, entry := range d.Zones {
		byRef[EntryRef{TableZones, entry.Name}] = &Document{Zones: []Zone{entry}}
	}
	for _, entry := range d.Customers {
		byRef[EntryRef{TableCustomers, entry.Name}] = &Document{Customers: []Customer{entry}}
	}
	for _, entry := range d.Models {
		byRef[EntryRef{TableModels, entry.Name}] = &Document{Models: []Model{entry}}
	}
	for _, entry := range d.Pools {
		byRef[EntryRef{TablePools, entry.Name}] = &Document{Pools: []Pool{entry}}
	}
	for _, entry := range d.Routes {
		byRef[EntryRef{TableRoutes, entry.Name}] = &Document{Routes: []Route{entry}}
	}
	byRef[EntryRef{Table: TableSessions}] = &Document{Sessions: d.Sessions}
	byRef[EntryRef{Table: TableOrders}] = &Document{Orders: d.Orders}
	return byRef
}

// Canonical returns the document as TOML with every field written out and the tables and entries in a
// fixed order. Comments are lost.
func Canonical(document *Document) ([]byte, error) {
	var out bytes.Buffer
	byRef := document.entries()
	for _, ref := range sortedRefs(byRef) {
		text, err := entryText(byRef[ref])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", ref, err)
		}
		out.Write(text)
	}
	return out.Bytes(), nil
}

func entryText(entry *Document) ([]byte, error) {
	text, err := toml.Marshal(entry)
	if err != nil || len(text) == 0 {
		return nil, err
	}
	return append(bytes.TrimRight(text, "\n"), '\n', '\n'), nil
}

func sortedRefs(entries ...map[EntryRef]*Document) []EntryRef {
	seen := make(map[EntryRef]bool)
	var refs []EntryRef
	for _, set := range entries {
		for ref := range set {
			if !seen[ref] {
				seen[ref] = true
				refs = append(refs, ref)
			}
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// equalEntries reports whether two entries are equal. A nil list equals an empty one, as their TOML
// text is the same.
func equalEntries(a, b *Document) bool {
	if a == nil || b == nil {
		return a == b
	}
	if reflect.DeepEqual(a, b) {
		return true
	}
	textA, errA := entryText(a)
	textB, errB := entryText(b)
	return errA == nil && errB == nil && bytes.Equal(textA, textB)
}

// ChangeKind says how an entry differs between two documents.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one entry that differs between two documents. From and To are its TOML text, empty
// where the entry does not exist.
type Change struct {
	EntryRef
	Kind ChangeKind `json:"kind"`
	From string     `json:"from,omitempty"`
	To   string     `json:"to,omitempty"`
}

// Changes lists the entries that differ, sorted by table and name.
func Changes(from, to *Document) []Change {
	before, after := from.entries(), to.entries()
	var changes []Change
	for _, ref := range sortedRefs(before, after) {
		a, b := before[ref], after[ref]
		if equalEntries(a, b) {
			continue
		}
		change := Change{EntryRef: ref, Kind: Changed}
		switch {
		case a == nil:
			change.Kind = Added
		case b == nil:
			change.Kind = Removed
		}
		change.From = entryTextOrEmpty(a)
		change.To = entryTextOrEmpty(b)
		changes = append(changes, change)
	}
	return changes
}

func entryTextOrEmpty(entry *Document) string {
	if entry == nil {
		return ""
	}
	text, err := entryText(entry)
	if err != nil {
		return ""
	}
	return string(text)
}
