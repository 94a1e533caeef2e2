package contract

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// block is the text of one entry, with the comment lines right above it.
type block struct {
	table Table
	index int // within the table
	text  []byte
}

// split cuts a document that parses into what stands before the first entry and one block an
// entry. ok is false if the document writes a table in another form than [[table]] or [sessions].
func split(data []byte) (preamble []byte, blocks []block, ok bool) {
	parser := unstable.Parser{}
	parser.Reset(data)
	counts := make(map[Table]int)
	var starts []int
	for parser.NextExpression() {
		node := parser.Expression()
		if node.Kind == unstable.KeyValue {
			if len(blocks) == 0 {
				return nil, nil, false
			}
			continue
		}
		key := node.Key()
		key.Next()
		table := Table(key.Node().Data)
		if !key.IsLast() {
			if len(blocks) == 0 || blocks[len(blocks)-1].table != table {
				return nil, nil, false // an entry continued behind another one
			}
			continue
		}
		starts = append(starts, blockStart(data, int(key.Node().Raw.Offset)))
		blocks = append(blocks, block{table: table, index: counts[table]})
		counts[table]++
	}
	for i := range blocks {
		end := len(data)
		if i+1 < len(starts) {
			end = starts[i+1]
		}
		blocks[i].text = data[starts[i]:end]
	}
	if len(starts) == 0 {
		return data, nil, true
	}
	return data[:starts[0]], blocks, true
}

// blockStart goes back from a header to the beginning of its line and of the comment lines above.
func blockStart(data []byte, offset int) int {
	start := bytes.LastIndexByte(data[:offset], '\n') + 1
	for start > 0 {
		line := bytes.LastIndexByte(data[:start-1], '\n') + 1
		if !bytes.HasPrefix(bytes.TrimSpace(data[line:start]), []byte("#")) {
			break
		}
		start = line
	}
	return start
}

// text is a document's TOML by entry.
type text struct {
	document *Document
	preamble []byte
	order    []Ref
	blocks   map[Ref][]byte
}

// newText splits a document; one that can't be split is written canonically first.
func newText(data []byte) (*text, error) {
	document, err := Parse("configuration", data)
	if err != nil {
		return nil, err
	}
	preamble, blocks, ok := split(data)
	if !ok {
		if data, err = Canonical(document); err != nil {
			return nil, err
		}
		preamble, blocks, _ = split(data)
	}
	t := &text{document: document, preamble: preamble, blocks: make(map[Ref][]byte, len(blocks))}
	for _, one := range blocks {
		ref := document.ref(one)
		t.order = append(t.order, ref)
		t.blocks[ref] = one.text
	}
	return t, nil
}

func (d *Document) ref(one block) Ref {
	switch one.table {
	case TableZones:
		return Ref{one.table, d.Zones[one.index].Name}
	case TableCustomers:
		return Ref{one.table, d.Customers[one.index].Name}
	case TableModels:
		return Ref{one.table, d.Models[one.index].Name}
	case TablePools:
		return Ref{one.table, d.Pools[one.index].Name}
	case TableRoutes:
		return Ref{one.table, d.Routes[one.index].Name}
	}
	return Ref{Table: one.table}
}

// set replaces, adds or, with nil, removes an entry's text.
func (t *text) set(ref Ref, block []byte) {
	if _, known := t.blocks[ref]; !known {
		t.order = append(t.order, ref)
	}
	t.blocks[ref] = block
}

func (t *text) bytes() []byte {
	out := bytes.Clone(t.preamble)
	for _, ref := range t.order {
		block := t.blocks[ref]
		if len(block) == 0 {
			continue
		}
		if len(out) > 0 && out[len(out)-1] != '\n' {
			out = append(out, '\n')
		}
		out = append(out, block...)
	}
	return out
}
