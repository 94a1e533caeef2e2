package contract_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
)

// TestEveryFieldDocumented checks that docs/CONFIGURATION.md has a table row for every field.
func TestEveryFieldDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	qt.Assert(t, err, qt.IsNil)
	var visit func(kind reflect.Type, table string)
	visit = func(kind reflect.Type, table string) {
		for i := range kind.NumField() {
			field := kind.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			inner := field.Type
			if inner.Kind() == reflect.Slice {
				inner = inner.Elem()
			}
			if inner.Kind() == reflect.Struct && table == "" {
				_, section, found := strings.Cut(string(page), "["+name+"]")
				qt.Assert(t, found, qt.IsTrue, qt.Commentf("table %s", name))
				section, _, _ = strings.Cut(section, "\n## ")
				visit(inner, section)
			} else if name != "" {
				qt.Assert(t, strings.Contains(table, "\n| `"+name+"`"), qt.IsTrue, qt.Commentf("%s of %s", name, kind))
			}
		}
	}
	visit(reflect.TypeFor[contract.Document](), "")
	_, section, _ := strings.Cut(string(page), "[[models.versions]]")
	visit(reflect.TypeFor[contract.ModelVersion](), section)
}
