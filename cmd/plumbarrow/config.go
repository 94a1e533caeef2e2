package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/platform"
	"plumbarrow.example/plumbarrow/replica"
)

type configCommand struct {
	Check *checkCommand `arg:"subcommand:check" help:"validate a file without a platform"`
	Apply *applyCommand `arg:"subcommand:apply" help:"put a file into force"`
}

type checkCommand struct {
	File string `arg:"positional,required"`
}

type applyCommand struct {
	File  string `arg:"positional,required"`
	Store string `arg:"--store" default:"127.0.0.1:8500" help:"IP:port of the key-value service"`
}

func (c *configCommand) run() error {
	switch {
	case c.Check != nil:
		return c.Check.run()
	case c.Apply != nil:
		return c.Apply.run()
	}
	return errors.New("config needs a subcommand: check or apply")
}

func (c *checkCommand) run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	document, err := contract.Parse(c.File, data)
	if err != nil {
		return err
	}
	if _, err := contract.Build(document, 0); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Println(c.File + ": ok")
	return nil
}

func (c *applyCommand) run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	store := platform.NewConsul(c.Store, nil)
	revision, err := replica.Propose(context.Background(), store, uuid.NewString(), data)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d\n", revision)
	return nil
}
