// Command plumbarrowd is the daemon of one entry instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"plumbarrow.example/plumbarrow/daemon"
)

type arguments struct {
	Gateway  bool   `arg:"--gateway" help:"serve as a gateway on a hosting platform that brings its own store and discovery"`
	Settings string `arg:"positional,required" help:"settings file (TOML)"`
}

// Description heads the help text.
func (arguments) Description() string {
	return "plumbarrowd routes requests to model versions and services."
}

func main() {
	caught := catchSignals()
	var args arguments
	arg.MustParse(&args)
	if args.Gateway {
		if err := serveGateway(args.Settings, caught); err != nil {
			fmt.Fprintln(os.Stderr, "plumbarrowd:", err)
			os.Exit(1)
		}
		return
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := serve(args, caught, log); err != nil {
		log.Error("stopped", "error", eris.ToString(err, false), "trace", eris.ToJSON(err, true))
		os.Exit(1)
	}
}

func serve(args arguments, caught *signals, log *slog.Logger) error {
	settings, err := daemon.LoadSettings(args.Settings)
	if err != nil {
		return err
	}
	listeners, err := daemon.Listen(&settings)
	if err != nil {
		return err
	}
	log.Info("listening", "instance", settings.Instance, "callers", settings.CallersAddress,
		"operators", settings.OperatorsAddress, "peers", settings.PeersAddress)
	instance, err := daemon.New(settings, listeners, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { return instance.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return caught.awaitStop(ctx) }, func(error) { cancel() })
	if err := group.Run(); !errors.Is(err, errStopSignal) {
		return err
	}
	return nil
}
