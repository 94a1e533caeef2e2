package decide_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

var states = []contract.VersionState{contract.VersionActive, contract.VersionDraining, contract.VersionWithdrawn}

// change applies one random operator's edit.
func change(t *rapid.T, document *contract.Document, label string) {
	switch rapid.IntRange(0, 5).Draw(t, label) {
	case 0, 1:
		one := &document.Models[0].Versions[rapid.IntRange(0, 2).Draw(t, "version")]
		one.State = rapid.SampledFrom(states).Draw(t, "state")
	case 2:
		weight := rapid.Float64Range(0, 10).Draw(t, "weight")
		document.Models[0].Versions[rapid.IntRange(0, 2).Draw(t, "version")].Weight = &weight
	case 3:
		zone := &document.Zones[rapid.IntRange(0, 1).Draw(t, "zone")]
		zone.OutOfService = !zone.OutOfService
	case 4:
		document.Customers[0].Models = rapid.SampledFrom([][]string{{"small", "large"}, {"small@v1"}, {"small@v2", "large"}}).Draw(t, "allowed")
	case 5:
		document.Pools[0].Versions = rapid.SampledFrom([][]string{nil, {"v1", "v2"}, {"v3"}}).Draw(t, "served")
	}
}

// copyOf returns a snapshot of the document that later edits leave alone.
func copyOf(document *contract.Document) *contract.Snapshot {
	clone := *document
	clone.Zones = slices.Clone(document.Zones)
	clone.Customers = slices.Clone(document.Customers)
	clone.Pools = slices.Clone(document.Pools)
	clone.Models = slices.Clone(document.Models)
	for i := range clone.Models {
		clone.Models[i].Versions = slices.Clone(clone.Models[i].Versions)
	}
	return build(&clone)
}

func drawFleet(t *rapid.T) fleet {
	endpoints := make(fleet, rapid.IntRange(0, 40).Draw(t, "endpoints"))
	for i := range endpoints {
		one := warm(i)
		one.Version = version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "loaded"))
		one.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		one.Healthy = rapid.IntRange(0, 3).Draw(t, "unhealthy") > 0
		one.Limit = rapid.IntRange(0, 4).Draw(t, "limit")
		one.InFlight = rapid.IntRange(0, 4).Draw(t, "in_flight")
		endpoints[i] = one
	}
	return endpoints
}

// forbidden says why a version must not run now; empty if it may. It is written apart from the code
// under test.
func forbidden(document *contract.Document, pin, id contract.VersionID) string {
	customer := document.Customers[0]
	if !slices.Contains(customer.Models, id.Model) && !slices.Contains(customer.Models, id.String()) {
		return "not allowed"
	}
	served := document.Pools[0].Versions
	if served != nil && !slices.Contains(served, id.Name) {
		return "not served"
	}
	for _, one := range document.Models[0].Versions {
		if one.Name == id.Name && (one.State == contract.VersionWithdrawn || one.State == contract.VersionDraining && pin != id) {
			return string(one.State)
		}
	}
	return ""
}

// TestNeverForbidden: whatever the configuration was at the choice and became until the dispatch, no
// attempt goes to a version, zone or endpoint that it must not go to, and an endpoint that fits is
// found.
func TestNeverForbidden(t *testing.T) {
	picker := decide.NewPicker(decide.DefaultSettings())
	rapid.Check(t, func(t *rapid.T) {
		current := document()
		for range rapid.IntRange(0, 4).Draw(t, "edits before") {
			change(t, current, "before")
		}
		before := copyOf(current)
		ask := request(before)
		ask.Pin = rapid.SampledFrom([]contract.VersionID{{}, version("v1"), version("v2")}).Draw(t, "pin")
		ask.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
		ask.Hops = rapid.IntRange(0, 1).Draw(t, "hops")
		endpoints := drawFleet(t)
		excluded := []machine.EndpointID{"engine-1"}
		seen := observe(endpoints, decide.ZoneLoad{Zone: "nbo-b", Spare: map[string]int{"cheap": 1}, At: epoch})
		random := seeded(rapid.Uint64().Draw(t, "seed"))
		id, refusal := decide.Version(before, ask, before.Pools["cheap"], random)
		if refusal != nil {
			return
		}
		if why := forbidden(before.Document, ask.Pin, id); why != "" {
			t.Fatalf("chose version %s: %s", id, why)
		}
		choice, refusal := picker.Pick(before, ask, "cheap", id, seen, excluded, random)
		fits := func(e machine.Endpoint) bool {
			return !e.Leaving && e.Healthy && e.InFlight < e.Limit && e.Version == id && e.ID != "engine-1"
		}
		if refusal != nil {
			if before.ZoneInService("nbo-a") && slices.ContainsFunc(endpoints, fits) {
				t.Fatalf("refused though an endpoint fits: %v", refusal)
			}
			return
		}
		if choice.Zone == "" && !fits(choice.Endpoint) {
			t.Fatalf("chose %+v", choice.Endpoint)
		}
		if choice.Zone != "" && ask.Hops > 0 {
			t.Fatalf("passed on a second time")
		}
		for range rapid.IntRange(0, 4).Draw(t, "edits after") {
			change(t, current, "after")
		}
		after := copyOf(current)
		if decide.Dispatchable(after, ask, &choice) != nil {
			return
		}
		if why := forbidden(current, ask.Pin, choice.Version); why != "" {
			t.Fatalf("dispatched %s: %s", choice.Version, why)
		}
		if zone := cmpOr(choice.Zone, choice.Endpoint.Zone); !after.ZoneInService(zone) {
			t.Fatalf("dispatched to zone %s, which is out", zone)
		}
	})
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// TestSessionKeepsVersion: no sequence of weight changes moves a session, in the cascade's second
// model either.
func TestSessionKeepsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := document()
		random := seeded(rapid.Uint64().Draw(t, "seed"))
		first := request(copyOf(current))
		id, refusal := decide.Version(copyOf(current), first, &current.Pools[0], random)
		if refusal != nil {
			t.Fatal(refusal)
		}
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			for i := range current.Models[0].Versions {
				weight := rapid.Float64Range(0, 10).Draw(t, "weight")
				current.Models[0].Versions[i].Weight = &weight
			}
			snapshot := copyOf(current)
			next := request(snapshot)
			next.Pin = version("other-model-first")
			next.Pin.Model = "large"
			next.MorePins = []contract.VersionID{id}
			again, refusal := decide.Version(snapshot, next, snapshot.Pools["cheap"], random)
			if refusal != nil || again != id {
				t.Fatalf("session moved from %s to %s (%v)", id, again, refusal)
			}
		}
	})
}

// TestAffinityNeverOverloads sends one popular prefix to a pool and checks that its endpoint stays
// within the bound while the prefix otherwise stays in place.
func TestAffinityNeverOverloads(t *testing.T) {
	c := qt.New(t)
	snapshot := build(document())
	picker := decide.NewPicker(decide.DefaultSettings())
	random := seeded(7)
	endpoints := make(fleet, 100)
	for i := range endpoints {
		endpoints[i] = warm(i)
	}
	ask := request(snapshot)
	ask.PrefixHash = 42
	near := 0
	for i := range 1600 {
		ask.PrefixHash = 42
		if i%2 == 1 {
			ask.PrefixHash = random.Uint64()
		}
		choice, refusal := picker.Pick(snapshot, ask, "cheap", version("v1"), observe(endpoints), nil, random)
		c.Assert(refusal == nil, qt.IsTrue)
		if choice.Notes[0].Reason == "prefix_affinity" {
			near++
		}
		at := slices.IndexFunc(endpoints, func(e machine.Endpoint) bool { return e.ID == choice.Endpoint.ID })
		endpoints[at].InFlight++
	}
	busiest := slices.MaxFunc(endpoints, func(a, b machine.Endpoint) int { return a.InFlight - b.InFlight })
	c.Assert(busiest.InFlight <= 24, qt.IsTrue, qt.Commentf("mean 16, busiest %d", busiest.InFlight))
	c.Assert(near > 600, qt.IsTrue, qt.Commentf("%d of 1600 near", near))
}

func BenchmarkPick(b *testing.B) {
	snapshot := build(document())
	picker := decide.NewPicker(decide.DefaultSettings())
	for _, n := range []int{12, 300, 3000} {
		endpoints := make(fleet, n)
		for i := range endpoints {
			endpoints[i] = warm(i)
			endpoints[i].ReportedRunning = i % 20
			endpoints[i].ReportedAt = epoch.Add(-time.Second)
		}
		scarce := slices.Clone(endpoints)
		for i := range scarce {
			scarce[i].Healthy = i == n-1
		}
		for _, one := range []struct {
			name   string
			fleet  fleet
			prefix uint64
		}{{"plain", endpoints, 0}, {"prefix", endpoints, 42}, {"one_fits", scarce, 0}} {
			b.Run(fmt.Sprintf("%s/%d", one.name, n), func(b *testing.B) {
				ask := request(snapshot)
				ask.PrefixHash = one.prefix
				seen := observe(one.fleet)
				random := seeded(1)
				b.ReportAllocs()
				for b.Loop() {
					if _, refusal := picker.Pick(snapshot, ask, "cheap", version("v1"), seen, nil, random); refusal != nil {
						b.Fatal(refusal)
					}
				}
			})
		}
	}
}
