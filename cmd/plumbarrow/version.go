package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"plumbarrow.example/plumbarrow/contract"
)

type versionCommand struct {
	Withdraw *withdrawCommand `arg:"subcommand:withdraw" help:"give a version nothing new, ever; holds at once, also while the store is down"`
}

type withdrawCommand struct {
	remoteOptions
	orderOptions
	Version string `arg:"positional,required" help:"MODEL@VERSION"`
}

func (c *versionCommand) run() error {
	if c.Withdraw == nil {
		return &exitError{exitUsage, errors.New("version needs a subcommand: withdraw")}
	}
	model, name, ok := strings.Cut(c.Withdraw.Version, "@")
	if !ok || model == "" || name == "" {
		return &exitError{exitUsage, fmt.Errorf("%q is not MODEL@VERSION", c.Withdraw.Version)}
	}
	client, err := c.Withdraw.client()
	if err != nil {
		return err
	}
	order := c.Withdraw.order()
	ordered, err := client.Withdraw(context.Background(), contract.VersionID{Model: model, Name: name}, order)
	return reportOrder(c.Withdraw.JSON, "version "+c.Withdraw.Version+" withdrawn", order.ChangeID, ordered, err)
}
