package contract

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps paths such as routes[2].pools to byte offsets of a TOML document that parses.
type positions map[string]int

func locate(data []byte) positions {
	found := make(positions)
	counts := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = found.header(node, counts, false)
		case unstable.ArrayTable:
			prefix = found.header(node, counts, true)
		case unstable.KeyValue:
			found.value(prefix, node)
		}
	}
	return found
}

// header records a table's header and returns its path; earlier arrays on the way give their last
// element.
func (p positions) header(node *unstable.Node, counts map[string]int, array bool) string {
	path := ""
	offset := 0
	for key := node.Key(); key.Next(); {
		path = join(path, string(key.Node().Data))
		offset = int(key.Node().Raw.Offset)
		if array && key.IsLast() {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	p[path] = offset
	return path
}

// value records a key and, for inline tables and arrays, what lies within.
func (p positions) value(prefix string, node *unstable.Node) {
	path := prefix
	offset := 0
	for key := node.Key(); key.Next(); {
		path = join(path, string(key.Node().Data))
		offset = int(key.Node().Raw.Offset)
	}
	p[path] = offset
	p.within(path, offset, node.Value())
}

func (p positions) within(path string, offset int, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for child := value.Children(); child.Next(); {
			p.value(path, child.Node())
		}
	case unstable.Array:
		i := 0
		for child := value.Children(); child.Next(); i++ {
			if child.Node().Kind == unstable.InlineTable {
				element := fmt.Sprintf("%s[%d]", path, i)
				p[element] = offset
				p.within(element, offset, child.Node())
			}
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
