package contract

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps paths such as routes[2].pools to byte offsets in a valid TOML document.
type positions map[string]int

func findPositions(data []byte) positions {
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

// header records the position of a table's header and returns the table's path. Parent
// arrays in the path carry the index of their latest element.
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

// value records the position of a key and of the keys nested in its value.
func (p positions) value(prefix string, node *unstable.Node) {
	path := prefix
	offset := 0
	for key := node.Key(); key.Next(); {
		path = join(path, string(key.Node().Data))
		offset = int(key.Node().Raw.Offset)
	}
	p[path] = offset
	p.nested(path, offset, node.Value())
}

// nested records the keys of inline tables within a value. An array's elements get the offset of the
// array's key.
func (p positions) nested(path string, offset int, value *unstable.Node) {
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
				p.nested(element, offset, child.Node())
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
