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
	Store     *listenOptions    `arg:"subcommand:store" help:"key-value service"`
	Instances *instancesStandin `arg:"subcommand:instances" help:"instance list"`
	Engine    *engineStandin    `arg:"subcommand:engine" help:"model engine"`
	Service   *listenOptions    `arg:"subcommand:service" help:"plain service that counts its runs"`
	Rater     *listenOptions    `arg:"subcommand:rater" help:"service that rates answers"`
	Weights   *weightsStandin   `arg:"subcommand:weights" help:"rate-limited weight store"`
	Relay     *relayStandin     `arg:"subcommand:relay" help:"TCP relay that can cut connections or let them go silent"`
}

// listenOptions are the options common to all stand-ins.
type listenOptions struct {
	Address string `arg:"--address,required" help:"IP:port to listen on"`
}

type instancesStandin struct {
	listenOptions
	Lag time.Duration `arg:"--lag" default:"500ms" help:"delay before readers see a change"`
}

type engineStandin struct {
	listenOptions
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
	listenOptions
	Rate float64 `arg:"--rate" default:"1" help:"loads per second"`
	Size int     `arg:"--size" default:"65536" help:"bytes per file"`
}

type relayStandin struct {
	listenOptions
	Target  string `arg:"--target,required" help:"IP:port to forward to"`
	Control string `arg:"--control,required" help:"IP:port that takes orders: PUT /mode/forward, /mode/cut, /mode/silent, /silence-open"`
}

const (
	engineRecovery = 2 * time.Second        // how long an overloaded engine refuses work
	engineLoadLag  = 500 * time.Millisecond // delay of its load report
	weightsBurst   = 2                      // loads
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
		return listenAndServe(c.Service.Address, service.New(service.NewRunCounter()).Handler())
	case c.Rater != nil:
		return listenAndServe(c.Rater.Address, rater.New().Handler())
	case c.Weights != nil:
		return listenAndServe(c.Weights.Address, weights.New(c.Weights.Rate, weightsBurst, c.Weights.Size).Handler())
	case c.Relay != nil:
		return c.Relay.run()
	}
	return errors.New("standin needs a subcommand: store, instances, engine, service, rater, weights or relay")
}

// run starts the relay, and serves its control address until that fails.
func (r *relayStandin) run() error {
	tcpRelay, err := relay.New(r.Address, r.Target)
	if err != nil {
		return err
	}
	defer tcpRelay.Close()
	fmt.Println("relaying on", tcpRelay.Address(), "to", r.Target)
	return listenAndServe(r.Control, tcpRelay.Handler())
}

// listenAndServe listens at the address, prints the actual one, which differs if the given port is 0, and
// serves until that fails.
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
