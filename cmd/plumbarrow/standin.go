package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/standin/rater"
	"plumbarrow.example/plumbarrow/standin/relay"
	"plumbarrow.example/plumbarrow/standin/service"
	"plumbarrow.example/plumbarrow/standin/weights"
)

type standinCommand struct {
	Store     *addressed      `arg:"subcommand:store" help:"key-value service"`
	Instances *listStandin    `arg:"subcommand:instances" help:"instance list"`
	Engine    *engineStandin  `arg:"subcommand:engine" help:"model engine"`
	Service   *addressed      `arg:"subcommand:service" help:"plain service that counts its runs"`
	Rater     *addressed      `arg:"subcommand:rater" help:"service that rates answers"`
	Weights   *weightsStandin `arg:"subcommand:weights" help:"rate-limited weight store"`
	Relay     *relayStandin   `arg:"subcommand:relay" help:"TCP relay that can cut connections or let them go silent"`
}

type addressed struct {
	Address string `arg:"--address,required" help:"IP:port to listen on"`
}

type listStandin struct {
	addressed
	Lag time.Duration `arg:"--lag" default:"500ms" help:"delay before readers see a change"`
}

type engineStandin struct {
	addressed
	Model   string        `arg:"--model,required"`
	Version string        `arg:"--version,required"`
	Quality float64       `arg:"--quality" default:"0.9" help:"quality of its answers, 0 to 1"`
	Tokens  int           `arg:"--tokens" default:"20" help:"tokens per answer"`
	Step    time.Duration `arg:"--per-token" default:"10ms" help:"time between tokens"`
	Prefill time.Duration `arg:"--prefill" default:"50ms" help:"time to the first token without a cached prefix"`
	Cold    int           `arg:"--cold-limit" default:"2" help:"requests at once that it bears while cold; 0 for any"`
	Warm    int           `arg:"--warm-after" default:"16" help:"completed requests until it is warm"`
	Fenced  bool          `arg:"--checks-fence" help:"refuse orders with an old fencing number"`
}

type weightsStandin struct {
	addressed
	Rate float64 `arg:"--rate" default:"1" help:"loads per second"`
	Size int     `arg:"--size" default:"65536" help:"bytes per file"`
}

type relayStandin struct {
	addressed
	Target  string `arg:"--target,required" help:"IP:port to forward to"`
	Control string `arg:"--control,required" help:"IP:port that takes orders: PUT /mode/forward, /mode/cut, /mode/silent, /silence-open"`
}

const (
	engineRecovery = 2 * time.Second
	engineLoadLag  = 500 * time.Millisecond
	weightsBurst   = 2
)

func (c *standinCommand) run() error {
	switch {
	case c.Store != nil:
		return listenAndServe(c.Store.Address, kv.New().Handler())
	case c.Instances != nil:
		return listenAndServe(c.Instances.Address, instances.New(c.Instances.Lag).Handler())
	case c.Engine != nil:
		return listenAndServe(c.Engine.Address, engine.New(c.Engine.settings()).Handler())
	case c.Service != nil:
		return listenAndServe(c.Service.Address, service.New(service.NewLedger()).Handler())
	case c.Rater != nil:
		return listenAndServe(c.Rater.Address, rater.New().Handler())
	case c.Weights != nil:
		return listenAndServe(c.Weights.Address, weights.New(c.Weights.Rate, weightsBurst, c.Weights.Size).Handler())
	case c.Relay != nil:
		return c.Relay.run()
	}
	return errors.New("standin needs a subcommand: store, instances, engine, service, rater, weights or relay")
}

// run relays, and serves the control address until that fails.
func (r *relayStandin) run() error {
	stand, err := relay.New(r.Address, r.Target)
	if err != nil {
		return err
	}
	defer stand.Close()
	fmt.Println("relaying on", stand.Address(), "to", r.Target)
	return listenAndServe(r.Control, stand.Handler())
}

// listenAndServe prints the address, which differs from the given one if its port is 0.
func listenAndServe(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	return http.Serve(listener, handler)
}

func (e *engineStandin) settings() engine.Settings {
	return engine.Settings{
		Model:        e.Model,
		Version:      e.Version,
		Quality:      e.Quality,
		Tokens:       e.Tokens,
		Step:         e.Step,
		Prefill:      e.Prefill,
		ColdLimit:    e.Cold,
		WarmAfter:    e.Warm,
		RecoverAfter: engineRecovery,
		LoadLag:      engineLoadLag,
		ChecksFence:  e.Fenced,
	}
}
