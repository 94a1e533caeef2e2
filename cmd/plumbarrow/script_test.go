package main

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/operate"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/zone"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"plumbarrow": main}) }

// soleMember is a fleet of one entry instance.
type soleMember struct{}

func (soleMember) Self() machine.Member { return machine.Member{ID: "e1", Zone: "a"} }
func (m soleMember) Live() []machine.Member {
	return []machine.Member{m.Self()}
}

// TestScripts runs the commands of testdata/script against an operators' API server, with a new store
// for each script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(env *testscript.Env) error {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		store, counters := kv.New(), telemetry.New()
		configuration := replica.New(store, log, replica.WithPeers(soleMember{}, nil))
		server := operate.New(operate.Parts{
			Members: soleMember{}, Configuration: configuration, Counters: counters, Log: log, Token: "secret",
			Proposer: replica.NewProposer(store, configuration, counters, log),
			Orders:   zone.NewOrders(configuration, func() {}, counters, log),
			Bills: func(context.Context) ([]api.Bill, error) {
				return []api.Bill{{Customer: "acme", Month: 202612, Bills: 3, Micros: 1_500_000}}, nil
			},
		})
		apiServer := httptest.NewServer(server.Handler())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = configuration.Run(ctx) }()
		env.Defer(func() { cancel(); apiServer.Close() })
		env.Setenv("AT", apiServer.Listener.Addr().String())
		env.Setenv("PLUMBARROW_TOKEN_FILE", env.Cd+"/token")
		return nil
	}})
}
