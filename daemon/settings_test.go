package daemon_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/daemon"
)

// TestSettings checks that each invalid settings file is refused with a one-line error that has file, line and
// field.
func TestSettings(t *testing.T) {
	const good = "instance = \"entry-1\"\nzone = \"nbo-a\"\n"
	tests := []struct{ name, text, want string }{
		{"good", good, ""},
		{"no instance", "zone = \"nbo-a\"\n", `FILE: instance: is required`},
		{"no zone", "instance = \"entry-1\"\n", `FILE: zone: is required`},
		{"unknown field", good + "zonee = 1\n", `FILE:3: zonee: unknown field`},
		{"unknown section", good + "[ledgers]\nx = 1\n", `FILE:3: ledgers: unknown field`},
		{"not TOML", good + "= 3\n", `FILE:3: invalid character at start of key: U+003D '='`},
		{"wrong type", good + "max_body_bytes = \"4\"\n", `FILE:3: max_body_bytes: cannot decode TOML string into struct field daemon.Settings.MaxBodyBytes of type int64`},
		{"host name", good + "store_address = \"store:8500\"\n", `FILE:3: store_address: "store:8500" is not IP:port`},
		{"same address twice", good + "\npeers_address = \"127.0.0.1:8080\"\n", `FILE:4: peers_address: 127.0.0.1:8080 is callers_address too`},
		{"negative grace", good + "stop_grace_ms = -1\n", `FILE:3: stop_grace_ms: must not be negative`},
		{"negative memory", good + "memory_mb = -1\n", `FILE:3: memory_mb: must not be negative`},
		{"callers memory", good + "memory_mb = 10\ncallers_memory_mb = 20\n", `FILE:4: callers_memory_mb: must be below memory_mb`},
		{"zero body", good + "max_body_bytes = 0\n", `FILE:3: max_body_bytes: must be positive`},
		{"section field", good + "[exchange]\nfanout = 0\n", `FILE:4: exchange.fanout: 0, must be positive`},
		{"contradiction", good + "[exchange]\nsuspect_after_ms = 100\n", `FILE:4: exchange.suspect_after_ms: must be longer than peer_timeout_ms`},
		{"section field without a colon", good + "[rollout]\nslow_ms = 0\n", `FILE:4: rollout.slow_ms must be at least 1`},
		{"bad rater", good + "rater_address = \"x\"\n", `FILE:3: rater_address: "x" is not IP:port`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.toml")
			qt.Assert(t, os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
			_, err := daemon.LoadSettings(file)
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err.Error(), qt.Equals, file+test.want[len("FILE"):])
		})
	}
}

// TestEverySettingDocumented checks that docs/SETTINGS.md has a row for each field of each section.
func TestEverySettingDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	top, sections, _ := strings.Cut(string(page), "## `[")
	settings := reflect.TypeFor[daemon.Settings]()
	for i := range settings.NumField() {
		field := settings.Field(i)
		name := field.Tag.Get("toml")
		if field.Type.Kind() != reflect.Struct {
			qt.Check(t, strings.Contains(top, "\n| `"+name+"`"), qt.IsTrue, qt.Commentf("%s", name))
			continue
		}
		_, section, _ := strings.Cut("## `["+sections, "## `["+name+"]`")
		section, _, _ = strings.Cut(section, "\n## ")
		for j := range field.Type.NumField() {
			inner := field.Type.Field(j).Tag.Get("toml")
			qt.Check(t, strings.Contains(section, "\n| `"+inner+"`"), qt.IsTrue, qt.Commentf("[%s] %s", name, inner))
		}
	}
}
