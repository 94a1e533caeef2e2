package main

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"github.com/oklog/run"

	"plumbarrow.example/plumbarrow/daemon"
	"plumbarrow.example/plumbarrow/internal/boundedlog"
)

// serveGateway runs a gateway instance until a signal stops it or it fails. It stops the log writer last,
// so that the log lines of the shutdown are written too.
func serveGateway(file string, caught *signals) error {
	settings, err := daemon.LoadGatewaySettings(file)
	if err != nil {
		return err
	}
	logWriter := boundedlog.New()
	log := settings.Logger(logWriter)
	logCtx, stopLogging := context.WithCancel(context.Background())
	writerDone := make(chan error, 1)
	go func() { writerDone <- logWriter.Run(logCtx, os.Stdout) }()
	err = runGateway(settings, file, caught, log)
	if err != nil {
		log.Error("stopped", "error", err)
	}
	stopLogging()
	return errors.Join(err, <-writerDone)
}

func runGateway(settings daemon.GatewaySettings, file string, caught *signals, log *slog.Logger) error {
	instance, err := daemon.NewGateway(settings, log)
	if err != nil {
		return err
	}
	log.Info("start", "zone", settings.Zone, "region", settings.Region, "callers", settings.CallersAddress,
		"peers", settings.PeersAddress, "store", settings.StoreAddress, "memory_mb", settings.MemoryMB)
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { return instance.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return caught.awaitStop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return reload(ctx, instance, file, caught, log) }, func(error) { cancel() })
	if err := group.Run(); !errors.Is(err, errStopSignal) {
		return err
	}
	return nil
}

// reload reads the settings file again at each SIGHUP until ctx ends. If that fails, the instance keeps
// its settings. Later signals are not acted upon.
func reload(ctx context.Context, instance *daemon.Gateway, file string, caught *signals, log *slog.Logger) error {
	for {
		select {
		case <-caught.reload:
			settings, err := daemon.LoadGatewaySettings(file)
			if err != nil {
				log.Error("reloading settings failed; keeping the previous settings", "error", err)
				continue
			}
			instance.Reload(settings)
		case <-ctx.Done():
			return nil
		}
	}
}
