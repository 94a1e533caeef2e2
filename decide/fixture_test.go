package decide_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/machine"
)

var epoch = time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fleet implements decide.Candidates with a slice.
type fleet []machine.Endpoint

func (f fleet) Len() int                             { return len(f) }
func (f fleet) At(i int, endpoint *machine.Endpoint) { *endpoint = f[i] }

func version(name string) contract.VersionID { return contract.VersionID{Model: "small", Name: name} }

// document returns a configuration with two zones and one route, which cascades from a cheap pool
// (three model versions) to a good one.
func document() *contract.Document {
	weight := func(w float64) *float64 { return &w }
	versions := make([]contract.ModelVersion, 3)
	for i := range versions {
		versions[i] = contract.ModelVersion{Name: "v" + strconv.Itoa(i+1), State: contract.VersionActive, Weight: weight(1), PromptPrice: 100, OutputPrice: 100}
	}
	best := contract.ModelVersion{Name: "v1", State: contract.VersionActive, Weight: weight(1), PromptPrice: 1000, OutputPrice: 1000}
	return &contract.Document{
		Zones:     []contract.Zone{{Name: "nbo-a", Region: "nairobi"}, {Name: "nbo-b", Region: "nairobi"}},
		Customers: []contract.Customer{{Name: "acme", KeyHashes: []string{contract.HashKey("sk-acme")}, Models: []string{"small", "large"}}},
		Models:    []contract.Model{{Name: "small", Versions: versions}, {Name: "large", Versions: []contract.ModelVersion{best}}},
		Pools: []contract.Pool{
			{Name: "cheap", Kind: contract.PoolEngine, Model: "small", Routes: []string{"assistant"}},
			{Name: "good", Kind: contract.PoolEngine, Model: "large", Routes: []string{"assistant"}},
		},
		Routes: []contract.Route{{Name: "assistant", Customers: []string{"acme"}, Model: "assistant", Pools: []string{"cheap", "good"},
			QualityTarget: 0.8, DeadlineMS: 10_000, OnWithdrawn: contract.WithdrawnRefuse}},
	}
}

// buildSnapshot also accepts documents in which nothing can serve a route: operators' orders that only
// withdraw or take out of service may leave them so.
func buildSnapshot(document *contract.Document) *contract.Snapshot {
	snapshot, err := contract.BuildAccepted(document, 1)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func request(snapshot *contract.Snapshot) *decide.Request {
	return &decide.Request{
		ID:           "r1",
		Customer:     snapshot.Customers["acme"],
		Route:        snapshot.Routes["assistant"],
		Idempotent:   true,
		PromptTokens: 200,
		Arrived:      epoch,
		Deadline:     epoch.Add(10 * time.Second),
	}
}

func observe(endpoints fleet, zones ...decide.ZoneLoad) *decide.Observation {
	return &decide.Observation{Now: epoch, Zone: "nbo-a", Pool: func(string) decide.Candidates { return endpoints }, Zones: zones}
}

func healthyEndpoint(i int) machine.Endpoint {
	return machine.Endpoint{ID: machine.EndpointID("engine-" + strconv.Itoa(i)), Zone: "nbo-a", Pool: "cheap", Version: version("v1"), Healthy: true, Limit: 32}
}

func seededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
