package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/replay"
)

// TestGoldenTraces replays each trace of testdata. The expected decisions were written before the
// first run, not recorded from it.
func TestGoldenTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 6, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.Open(file)
			qt.Assert(t, err, qt.IsNil)
			defer data.Close()
			_, lines, err := replay.Read(data)
			qt.Assert(t, err, qt.IsNil)
			differences, decisions, err := replay.Run(lines, decide.NewPicker(decide.DefaultSettings()))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decisions > 0, qt.IsTrue)
			for _, difference := range differences {
				t.Error(difference)
			}
		})
	}
}

// TestDifferencesAndBadTraces guards against a replay that misses a wrong decision or that accepts an
// invalid file; the error names the line.
func TestDifferencesAndBadTraces(t *testing.T) {
	data, err := os.ReadFile("testdata/withdrawal.jsonl")
	qt.Assert(t, err, qt.IsNil)
	good := string(data)
	_, lines, err := replay.Read(strings.NewReader(strings.Replace(good, `"endpoint": "s2"`, `"endpoint": "s1"`, 1)))
	qt.Assert(t, err, qt.IsNil)
	differences, _, err := replay.Run(lines, decide.NewPicker(decide.DefaultSettings()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, differences, qt.HasLen, 1)
	for _, test := range []struct{ text, want string }{
		{"", "line 1: no header"},
		{"{}", "line 1: not a plumbarrow-trace"},
		{strings.Replace(good, `"version": 1`, `"version": 2`, 1), "line 1: version 2"},
		{strings.SplitAfter(good, "\n")[0] + "{\n", "line 2: "},
	} {
		_, _, err := replay.Read(strings.NewReader(test.text))
		qt.Assert(t, err, qt.ErrorMatches, test.want+".*")
	}
}
