package main

import (
	"errors"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/standin/engine"
	"plumbarrow.example/plumbarrow/standin/instances"
	"plumbarrow.example/plumbarrow/standin/kv"
)

type standinCommand struct {
	Store     *addressed     `arg:"subcommand:store" help:"key-value service"`
	Instances *listStandin   `arg:"subcommand:instances" help:"instance list"`
	Engine    *engineStandin `arg:"subcommand:engine" help:"model engine"`
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
	Tokens  int           `arg:"--tokens" default:"20" help:"tokens per answer"`
	PerStep time.Duration `arg:"--per-token" default:"10ms" help:"time between tokens"`
}

func (c *standinCommand) run() error {
	switch {
	case c.Store != nil:
		return http.ListenAndServe(c.Store.Address, kv.New().Handler())
	case c.Instances != nil:
		return http.ListenAndServe(c.Instances.Address, instances.New(c.Instances.Lag).Handler())
	case c.Engine != nil:
		settings := engine.Settings{Model: c.Engine.Model, Version: c.Engine.Version, Tokens: c.Engine.Tokens, PerStep: c.Engine.PerStep}
		return http.ListenAndServe(c.Engine.Address, engine.New(settings).Handler())
	}
	return errors.New("standin needs a subcommand: store, instances or engine")
}
