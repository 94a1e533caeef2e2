package contract

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"
)

// block is the TOML text of one entry, including the comment lines directly above it.
type block struct {
	table Table
	index int // within the table
	text  []byte
}

// split divides a parseable document into the text before the first entry and one block per entry.
// ok is false if the document uses top-level keys (such as inline tables), or if an entry's
// sub-tables do not directly follow it.
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
				return nil, nil, false // a sub-table that does not follow its own entry
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

// blockStart returns the offset of the line with the header at offset, or of the first of the
// comment lines directly above it.
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

// splitText is a document's TOML text, split by entry so that entries can be replaced separately.
type splitText struct {
	document *Document
	preamble []byte
	order    []EntryRef
	blocks   map[EntryRef][]byte
}

// newSplitText parses and splits a document. A document that can't be split is rewritten in
// canonical form first, which loses its comments.
func newSplitText(data []byte) (*splitText, error) {
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
	t := &splitText{document: document, preamble: preamble, blocks: make(map[EntryRef][]byte, len(blocks))}
	for _, b := range blocks {
		ref := document.ref(b)
		t.order = append(t.order, ref)
		t.blocks[ref] = b.text
	}
	return t, nil
}

func (d *Document) ref(b block) EntryRef {
	switch b.table {
	case TableZones:
		return EntryRef{b.table, d.Zones[b.index].Name}
	case TableCustomers:
		return EntryRef{b.table, d.Customers[b.index].Name}
	case TableModels:
		return EntryRef{b.table, d.Models[b.index].Name}
	case TablePools:
		return EntryRef{b.table, d.Pools[b.index].Name}
	case TableRoutes:
		return EntryRef{b.table, d.Routes[b.index].Name}
	}
	return EntryRef{Table: b.table}
}

// set replaces, adds or, with nil, removes an entry's text.
func (t *splitText) set(ref EntryRef, block []byte) {
	if _, known := t.blocks[ref]; !known {
		t.order = append(t.order, ref)
	}
	t.blocks[ref] = block
}

func (t *splitText) bytes() []byte {
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
