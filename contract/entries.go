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

// Ref names one entry of a document. The tables sessions and orders are one entry each, without a
// name.
type Ref struct {
	Table Table  `json:"table"`
	Name  string `json:"name,omitempty"`
}

var _ fmt.Stringer = Ref{}

// String returns table "name".
func (r Ref) String() string {
	if r.Table == TableSessions || r.Table == TableOrders {
		return string(r.Table)
	}
	return fmt.Sprintf("%s %q", r.Table, r.Name)
}

func compareRefs(a, b Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(tableOrder, a.Table), slices.Index(tableOrder, b.Table)),
		cmp.Compare(a.Name, b.Name),
	)
}

// entries returns each entry of the document as a document of its own.
func (d *Document) entries() map[Ref]*Document {
	all := make(map[Ref]*Document)
	for _, one := range d.Zones {
		all[Ref{TableZones, one.Name}] = &Document{Zones: []Zone{one}}
	}
	for _, one := range d.Customers {
		all[Ref{TableCustomers, one.Name}] = &Document{Customers: []Customer{one}}
	}
	for _, one := range d.Models {
		all[Ref{TableModels, one.Name}] = &Document{Models: []Model{one}}
	}
	for _, one := range d.Pools {
		all[Ref{TablePools, one.Name}] = &Document{Pools: []Pool{one}}
	}
	for _, one := range d.Routes {
		all[Ref{TableRoutes, one.Name}] = &Document{Routes: []Route{one}}
	}
	all[Ref{Table: TableSessions}] = &Document{Sessions: d.Sessions}
	all[Ref{Table: TableOrders}] = &Document{Orders: d.Orders}
	return all
}

// Canonical writes the document as TOML with every field, tables and entries in a fixed order.
func Canonical(document *Document) ([]byte, error) {
	var out bytes.Buffer
	all := document.entries()
	for _, ref := range sortedRefs(all) {
		text, err := entryText(all[ref])
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

func sortedRefs(entries ...map[Ref]*Document) []Ref {
	seen := make(map[Ref]bool)
	var refs []Ref
	for _, some := range entries {
		for ref := range some {
			if !seen[ref] {
				seen[ref] = true
				refs = append(refs, ref)
			}
		}
	}
	slices.SortFunc(refs, compareRefs)
	return refs
}

// same compares two entries; a missing list equals an empty one.
func same(a, b *Document) bool {
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
	Ref
	Kind ChangeKind `json:"kind"`
	From string     `json:"from,omitempty"`
	To   string     `json:"to,omitempty"`
}

// Changes lists the entries that differ, in the order of tables and names.
func Changes(from, to *Document) []Change {
	before, after := from.entries(), to.entries()
	var changes []Change
	for _, ref := range sortedRefs(before, after) {
		a, b := before[ref], after[ref]
		if same(a, b) {
			continue
		}
		change := Change{Ref: ref, Kind: Changed}
		switch {
		case a == nil:
			change.Kind = Added
		case b == nil:
			change.Kind = Removed
		}
		change.From = textOf(a)
		change.To = textOf(b)
		changes = append(changes, change)
	}
	return changes
}

func textOf(entry *Document) string {
	if entry == nil {
		return ""
	}
	text, err := entryText(entry)
	if err != nil {
		return ""
	}
	return string(text)
}
