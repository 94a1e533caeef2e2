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

// applyRandomEdit applies one random operator's edit to the document.
func applyRandomEdit(t *rapid.T, document *contract.Document, label string) {
	switch rapid.IntRange(0, 5).Draw(t, label) {
	case 0, 1:
		edited := &document.Models[0].Versions[rapid.IntRange(0, 2).Draw(t, "version")]
		edited.State = rapid.SampledFrom(states).Draw(t, "state")
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

// snapshotOf returns a snapshot that shares nothing with the document that later edits change.
func snapshotOf(document *contract.Document) *contract.Snapshot {
	clone := *document
	clone.Zones = slices.Clone(document.Zones)
	clone.Customers = slices.Clone(document.Customers)
	clone.Pools = slices.Clone(document.Pools)
	clone.Models = slices.Clone(document.Models)
	for i := range clone.Models {
		clone.Models[i].Versions = slices.Clone(clone.Models[i].Versions)
	}
	return buildSnapshot(&clone)
}

func drawFleet(t *rapid.T) fleet {
	endpoints := make(fleet, rapid.IntRange(0, 40).Draw(t, "endpoints"))
	for i := range endpoints {
		endpoint := healthyEndpoint(i)
		endpoint.Version = version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "loaded"))
		endpoint.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		endpoint.Healthy = rapid.IntRange(0, 3).Draw(t, "unhealthy") > 0
		endpoint.Limit = rapid.IntRange(0, 4).Draw(t, "limit")
		endpoint.InFlight = rapid.IntRange(0, 4).Draw(t, "in_flight")
		endpoints[i] = endpoint
	}
	return endpoints
}

// versionViolation returns why the version must not run under the document; empty if it may. It is
// an independent implementation of the rules, to compare the code under test with.
func versionViolation(document *contract.Document, pin, id contract.VersionID) string {
	customer := document.Customers[0]
	if !slices.Contains(customer.Models, id.Model) && !slices.Contains(customer.Models, id.String()) {
		return "not allowed"
	}
	served := document.Pools[0].Versions
	if served != nil && !slices.Contains(served, id.Name) {
		return "not served"
	}
	for _, modelVersion := range document.Models[0].Versions {
		if modelVersion.Name == id.Name && (modelVersion.State == contract.VersionWithdrawn || modelVersion.State == contract.VersionDraining && pin != id) {
			return string(modelVersion.State)
		}
	}
	return ""
}

// TestNeverForbidden edits the configuration at random before the choice and between the choice and the
// dispatch. No attempt may be dispatched to a version, zone or endpoint that is not allowed at that
// moment, and an endpoint that passes all filters must be found if there is one.
func TestNeverForbidden(t *testing.T) {
	picker := decide.NewPicker(decide.DefaultSettings())
	rapid.Check(t, func(t *rapid.T) {
		current := document()
		for range rapid.IntRange(0, 4).Draw(t, "edits before") {
			applyRandomEdit(t, current, "before")
		}
		before := snapshotOf(current)
		req := request(before)
		req.Pin = rapid.SampledFrom([]contract.VersionID{{}, version("v1"), version("v2")}).Draw(t, "pin")
		req.PrefixHash = rapid.Uint64Range(0, 3).Draw(t, "prefix")
		req.Hops = rapid.IntRange(0, 1).Draw(t, "hops")
		endpoints := drawFleet(t)
		excluded := []machine.EndpointID{"engine-1"}
		observation := observe(endpoints, decide.ZoneLoad{Zone: "nbo-b", Spare: map[string]int{"cheap": 1}, At: epoch})
		random := seededRand(rapid.Uint64().Draw(t, "seed"))
		id, refusal := decide.Version(before, req, before.Pools["cheap"], random)
		if refusal != nil {
			return
		}
		if violation := versionViolation(before.Document, req.Pin, id); violation != "" {
			t.Fatalf("chose version %s: %s", id, violation)
		}
		choice, refusal := picker.Pick(before, req, "cheap", id, observation, excluded, random)
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
		if choice.Zone != "" && req.Hops > 0 {
			t.Fatalf("forwarded to another zone a second time")
		}
		for range rapid.IntRange(0, 4).Draw(t, "edits after") {
			applyRandomEdit(t, current, "after")
		}
		after := snapshotOf(current)
		if decide.Dispatchable(after, req, &choice) != nil {
			return
		}
		if violation := versionViolation(current, req.Pin, choice.Version); violation != "" {
			t.Fatalf("dispatched %s: %s", choice.Version, violation)
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

// TestSessionKeepsVersion guards against weight changes that move a session to another version. The
// version is pinned in MorePins, as for the second model of a cascade.
func TestSessionKeepsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := document()
		random := seededRand(rapid.Uint64().Draw(t, "seed"))
		first := request(snapshotOf(current))
		id, refusal := decide.Version(snapshotOf(current), first, &current.Pools[0], random)
		if refusal != nil {
			t.Fatal(refusal)
		}
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			for i := range current.Models[0].Versions {
				weight := rapid.Float64Range(0, 10).Draw(t, "weight")
				current.Models[0].Versions[i].Weight = &weight
			}
			snapshot := snapshotOf(current)
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

// TestAffinityNeverOverloads sends half of the requests with one prefix. Its endpoint must stay within
// the load bound, and most requests must still be placed by prefix.
func TestAffinityNeverOverloads(t *testing.T) {
	c := qt.New(t)
	snapshot := buildSnapshot(document())
	picker := decide.NewPicker(decide.DefaultSettings())
	random := seededRand(7)
	endpoints := make(fleet, 100)
	for i := range endpoints {
		endpoints[i] = healthyEndpoint(i)
	}
	req := request(snapshot)
	req.PrefixHash = 42
	byPrefix := 0
	for i := range 1600 {
		req.PrefixHash = 42
		if i%2 == 1 {
			req.PrefixHash = random.Uint64()
		}
		choice, refusal := picker.Pick(snapshot, req, "cheap", version("v1"), observe(endpoints), nil, random)
		c.Assert(refusal == nil, qt.IsTrue)
		if choice.Notes[0].Reason == "prefix_affinity" {
			byPrefix++
		}
		index := slices.IndexFunc(endpoints, func(e machine.Endpoint) bool { return e.ID == choice.Endpoint.ID })
		endpoints[index].InFlight++
	}
	busiest := slices.MaxFunc(endpoints, func(a, b machine.Endpoint) int { return a.InFlight - b.InFlight })
	c.Assert(busiest.InFlight <= 24, qt.IsTrue, qt.Commentf("mean 16, busiest %d", busiest.InFlight))
	c.Assert(byPrefix > 600, qt.IsTrue, qt.Commentf("%d of 1600 placed by prefix", byPrefix))
}

func BenchmarkPick(b *testing.B) {
	snapshot := buildSnapshot(document())
	picker := decide.NewPicker(decide.DefaultSettings())
	for _, n := range []int{12, 300, 3000} {
		endpoints := make(fleet, n)
		for i := range endpoints {
			endpoints[i] = healthyEndpoint(i)
			endpoints[i].ReportedRunning = i % 20
			endpoints[i].ReportedAt = epoch.Add(-time.Second)
		}
		scarce := slices.Clone(endpoints)
		for i := range scarce {
			scarce[i].Healthy = i == n-1
		}
		for _, tc := range []struct {
			name   string
			fleet  fleet
			prefix uint64
		}{{"plain", endpoints, 0}, {"prefix", endpoints, 42}, {"one_fits", scarce, 0}} {
			b.Run(fmt.Sprintf("%s/%d", tc.name, n), func(b *testing.B) {
				req := request(snapshot)
				req.PrefixHash = tc.prefix
				observation := observe(tc.fleet)
				random := seededRand(1)
				b.ReportAllocs()
				for b.Loop() {
					if _, refusal := picker.Pick(snapshot, req, "cheap", version("v1"), observation, nil, random); refusal != nil {
						b.Fatal(refusal)
					}
				}
			})
		}
	}
}
