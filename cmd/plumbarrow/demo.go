package main

import (
	"context"
	"log/slog"
	"os"

	"plumbarrow.example/plumbarrow/internal/demo"
)

type demoCommand struct {
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of arrivals and requests"`
	Verbose bool   `arg:"-v,--verbose" help:"print the daemons' logs"`
}

func (c *demoCommand) run() error {
	log := slog.New(slog.DiscardHandler)
	if c.Verbose {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return demo.Run(context.Background(), demo.Options{Out: os.Stdout, Log: log, Seed: c.Seed})
}
