// Package demo runs a small deployment in one process on loopback addresses, sends it a mix of requests
// while a zone is taken out and brought back, and checks invariants.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"plumbarrow.example/plumbarrow/load"
	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

//go:embed configuration.toml
var configuration []byte

var zones = []string{"east", "west"}

const (
	daemonsPerZone = 3
	smallPerZone   = 2
	largePerZone   = 1
	readyTimeout   = 10 * time.Second

	requestRate  = 40.0            // requests per second
	zoneOutAt    = 2 * time.Second // from the start of the load, as zoneInAt
	zoneInAt     = 5 * time.Second
	loadDuration = 8 * time.Second
)

// ErrInvariantViolated means that at least one invariant was violated.
var ErrInvariantViolated = errors.New("an invariant broke")

// Options configures the demo.
type Options struct {
	Out  io.Writer    // for the summary
	Log  *slog.Logger // for the daemons
	Seed uint64       // of arrivals and requests
}

// Run runs the demo and prints a summary. It returns ErrInvariantViolated if an invariant was violated.
func Run(ctx context.Context, options Options) error {
	token, err := writeToken()
	if err != nil {
		return err
	}
	defer os.RemoveAll(filepath.Dir(token))
	f, err := fleet.New(fleet.Options{Log: options.Log, OperatorsTokenFile: token})
	if err != nil {
		return err
	}
	if err := start(ctx, f, options.Out); err != nil {
		return errors.Join(err, f.Close())
	}
	fmt.Fprintf(options.Out, "plumbarrow demo: %d entry instances in %d zones, %d engines, %d booking instances, all on loopback\n",
		len(f.Daemons), len(zones), len(f.Engines), len(f.Services))
	zoneOutViolations := make(chan []string, 1)
	go func() { zoneOutViolations <- takeZoneOutAndBack(ctx, f, options.Out) }()
	report := load.Run(ctx, load.Plan{
		Addresses: callerAddresses(f),
		Mix:       load.Mixes()["tidy"],
		Rate:      requestRate,
		Duration:  loadDuration,
		Seed:      options.Seed,
	})
	violations := <-zoneOutViolations
	violations = append(violations, report.Audit(f.Runs.RunsByRequest(), f.Runs.RunsByKey())...)
	violations = append(violations, summarize(ctx, options.Out, f, report)...)
	if err := f.Close(); err != nil {
		violations = append(violations, "planned stop: "+err.Error())
	}
	return reportViolations(options.Out, violations)
}

func reportViolations(out io.Writer, violations []string) error {
	if len(violations) == 0 {
		fmt.Fprintln(out, "everything that must always hold held")
		return nil
	}
	for _, line := range violations {
		fmt.Fprintln(out, "BROKEN:", line)
	}
	return ErrInvariantViolated
}

func start(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	for _, zone := range zones {
		if err := startZone(f, zone); err != nil {
			return err
		}
	}
	if err := applyConfiguration(ctx, f, out); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.WaitReady(ctx)
}

func startZone(f *fleet.Fleet, zone string) error {
	for i := range smallPerZone {
		if _, err := f.StartEngine(fmt.Sprintf("small-%s-%d", zone, i), zone, "small-engines", smallEngine()); err != nil {
			return err
		}
	}
	for i := range largePerZone {
		if _, err := f.StartEngine(fmt.Sprintf("large-%s-%d", zone, i), zone, "large-engines", largeEngine()); err != nil {
			return err
		}
	}
	if _, err := f.StartService("booking-"+zone, zone, "booking-engines"); err != nil {
		return err
	}
	for i := range daemonsPerZone {
		if _, err := f.StartDaemon(fmt.Sprintf("entry-%s-%d", zone, i), zone); err != nil {
			return err
		}
	}
	return nil
}

func smallEngine() engine.Settings {
	return engine.Settings{Model: "chat-small", Version: "1", Quality: 0.78, QualitySpread: 0.2, Tokens: 20,
		Step: 2 * time.Millisecond, Prefill: 10 * time.Millisecond, MaxBatch: 16,
		ColdLimit: 6, WarmAfter: 8, RecoverAfter: time.Second, LoadLag: 300 * time.Millisecond}
}

func largeEngine() engine.Settings {
	settings := smallEngine()
	settings.Model = "chat-large"
	settings.Quality = 0.95
	settings.QualitySpread = 0.04
	settings.Step = 4 * time.Millisecond
	settings.Prefill = 25 * time.Millisecond
	return settings
}

func callerAddresses(f *fleet.Fleet) []string {
	var addresses []string
	for _, d := range f.Daemons {
		addresses = append(addresses, d.Settings.CallersAddress)
	}
	return addresses
}
