package contract_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestMerge(t *testing.T) {
	base := goodDocument(t)
	weight := strings.Replace(base, "weight = 0.5", "weight = 0.9", 1)
	rate := strings.Replace(base, "requests_per_second = 50.0", "requests_per_second = 7.0", 1)
	merged, conflicts, err := contract.Merge([]byte(base), []byte(weight), []byte(rate))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conflicts, qt.HasLen, 0)
	qt.Assert(t, string(merged), qt.Equals, strings.Replace(rate, "weight = 0.5", "weight = 0.9", 1))

	other := strings.Replace(base, "weight = 0.5", "weight = 0.1", 1)
	_, conflicts, err = contract.Merge([]byte(base), []byte(weight), []byte(other))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(conflicts), qt.Equals, `[models "small"]`)

	inline := `zones = [{name = "a", region = "r"}]`
	merged, _, err = contract.Merge([]byte(inline), []byte(inline+"\n[sessions]\nlifetime_minutes = 5"), []byte(inline))
	qt.Assert(t, err, qt.IsNil)
	_, err = load(string(merged))
	qt.Assert(t, err, qt.IsNil)
}

// TestEditDocument checks that an edit changes only its own entries and keeps the text of all
// others, and that KeepOrders restores settled orders that an operator's file lacks.
func TestEditDocument(t *testing.T) {
	base := []byte(goodDocument(t))
	id := contract.VersionID{Model: "small", Name: "v1"}
	out, err := contract.EditDocument(base, func(document *contract.Document) error {
		document.Zones[1].OutOfService = true
		document.Models[0].Versions[0].State = contract.VersionWithdrawn
		document.Orders.Cleared = []string{"1.x"}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(out), qt.Contains, "# Cheap engines.\n[[pools]]")
	snapshot, err := load(string(out))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshot.ZoneInService("nbo-b"), qt.IsFalse)
	qt.Assert(t, snapshot.Versions[id].State, qt.Equals, contract.VersionWithdrawn)
	kept, err := contract.KeepOrders(base, out)
	qt.Assert(t, err, qt.IsNil)
	snapshot, err = load(string(kept))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshot.Document.Orders.Cleared, qt.DeepEquals, []string{"1.x"})
	qt.Assert(t, strings.HasPrefix(string(kept), string(base)), qt.IsTrue)
	same, err := contract.EditDocument(base, func(*contract.Document) error { return nil })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(same), qt.Equals, string(base))
}

// TestMergeProperty merges random edits of two sides and checks each entry: if only one side changed
// it, this side's entry is kept; two different changes conflict.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		side := rapid.Custom(func(t *rapid.T) map[string]int {
			zones := make(map[string]int)
			for _, name := range names {
				if region := rapid.IntRange(0, 3).Draw(t, name); region > 0 {
					zones[name] = region
				}
			}
			return zones
		})
		base, ours, theirs := side.Draw(t, "base"), side.Draw(t, "ours"), side.Draw(t, "theirs")
		merged, conflicts, err := contract.Merge(zonesText(base), zonesText(ours), zonesText(theirs))
		if err != nil {
			t.Fatal(err)
		}
		want := make(map[string]int)
		var wantConflicts []contract.EntryRef
		for _, name := range names {
			switch {
			case ours[name] == base[name] || ours[name] == theirs[name]:
				want[name] = theirs[name]
			case theirs[name] == base[name]:
				want[name] = ours[name]
			default:
				wantConflicts = append(wantConflicts, contract.EntryRef{Table: contract.TableZones, Name: name})
			}
		}
		if !slices.Equal(conflicts, wantConflicts) {
			t.Fatalf("conflicts %v, want %v", conflicts, wantConflicts)
		}
		if got := regions(t, merged); len(wantConflicts) == 0 && fmt.Sprint(got) != fmt.Sprint(regions(t, zonesText(want))) {
			t.Fatalf("merged %v, want %v", got, want)
		}
	})
}

func regions(t *rapid.T, data []byte) map[string]string {
	document, err := contract.Parse("merged", data)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, zone := range document.Zones {
		got[zone.Name] = zone.Region
	}
	return got
}

func zonesText(zones map[string]int) []byte {
	var out strings.Builder
	for name, region := range zones {
		if region == 0 {
			continue
		}
		fmt.Fprintf(&out, "# zone %s\n[[zones]]\nname = %q\nregion = \"r%d\"\n", name, name, region)
	}
	return []byte(out.String())
}

// largeDocument returns a valid document of about one megabyte.
func largeDocument(customers int) []byte {
	var out strings.Builder
	out.WriteString("[[zones]]\nname = \"z\"\nregion = \"r\"\n[[models]]\nname = \"m\"\n[[models.versions]]\nname = \"v1\"\n")
	for i := range customers {
		fmt.Fprintf(&out, "[[customers]]\nname = \"c%d\"\nkey_hashes = [%q]\nmodels = [\"m\"]\n", i, contract.HashKey(fmt.Sprint(i)))
		fmt.Fprintf(&out, "[[pools]]\nname = \"p%d\"\nmodel = \"m\"\nroutes = [\"r%d\"]\n", i, i)
		fmt.Fprintf(&out, "[[routes]]\nname = \"r%d\"\nmodel = \"m%d\"\ncustomers = [\"c%d\"]\npools = [\"p%d\"]\n", i, i, i, i)
	}
	return []byte(out.String())
}

func BenchmarkLoad1MB(b *testing.B) {
	data := largeDocument(4_000)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		_, err := load(string(data))
		qt.Assert(b, err, qt.IsNil)
	}
}

func BenchmarkMerge1MB(b *testing.B) {
	data := largeDocument(4_000)
	ours := []byte(strings.Replace(string(data), `region = "r"`, `region = "s"`, 1))
	for b.Loop() {
		_, _, err := contract.Merge(data, ours, data)
		qt.Assert(b, err, qt.IsNil)
	}
}

func BenchmarkRestrict1MB(b *testing.B) {
	snapshot, err := load(string(largeDocument(4_000)))
	qt.Assert(b, err, qt.IsNil)
	out := contract.Restrictions{ZonesOut: map[string]bool{"z": true}}
	for b.Loop() {
		snapshot.Restrict(out)
	}
}
