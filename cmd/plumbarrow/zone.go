package main

import (
	"context"
	"errors"
	"fmt"

	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
)

type zoneCommand struct {
	Out *zoneOrder `arg:"subcommand:out" help:"take a zone out of service; holds at once, also while the store is down"`
	In  *zoneOrder `arg:"subcommand:in" help:"bring a zone back; holds once the store has accepted it"`
}

type zoneOrder struct {
	remoteOptions
	orderOptions
	Zone string `arg:"positional,required" help:"name of the zone"`
}

// orderOptions are the options common to orders: taking a zone out or in, withdrawing a version.
type orderOptions struct {
	Author   string `arg:"--author" help:"name for the history [default: the user]"`
	ChangeID string `arg:"--change-id" help:"repeat an order whose outcome is unknown"`
}

// order returns the order to send. It sets a new change id if none was given.
func (o *orderOptions) order() api.Order {
	if o.ChangeID == "" {
		o.ChangeID = replica.NewChangeID()
	}
	return api.Order{ChangeID: o.ChangeID, Author: author(o.Author)}
}

func (c *zoneCommand) run() error {
	ctx := context.Background()
	switch {
	case c.Out != nil:
		client, err := c.Out.client()
		if err != nil {
			return err
		}
		ordered, err := client.ZoneOut(ctx, c.Out.Zone, c.Out.order())
		return reportOrder(c.Out.JSON, "zone "+c.Out.Zone+" out of service", c.Out.ChangeID, ordered, err)
	case c.In != nil:
		client, err := c.In.client()
		if err != nil {
			return err
		}
		ordered, err := client.ZoneIn(ctx, c.In.Zone, c.In.order())
		return reportOrder(c.In.JSON, "zone "+c.In.Zone+" in service", c.In.ChangeID, ordered, err)
	}
	return &exitError{exitUsage, errors.New("zone needs a subcommand: out or in")}
}

// reportOrder prints an accepted order and returns an error for any other state. An order that is in
// force but not yet accepted by the store has the exit code of an unknown outcome, since a script can't
// rely on it yet.
func reportOrder(asJSON bool, effect, changeID string, ordered api.Ordered, err error) error {
	if err != nil {
		if exitCode(err) == exitUnknown {
			return fmt.Errorf("%w; repeat with --change-id %s", err, changeID)
		}
		return err
	}
	if asJSON {
		err = printJSON(ordered)
	}
	switch ordered.OrderState {
	case api.Accepted:
		if !asJSON {
			fmt.Printf("%s: accepted as revision %d\n", effect, ordered.Revision)
		}
		return err
	case api.Restricted:
		return &exitError{exitUnknown, fmt.Errorf("%s: in force at every reachable instance, not accepted by the store yet; the instances go on trying (%s)", effect, ordered.Detail)}
	case api.Unknown:
		return &exitError{exitUnknown, fmt.Errorf("%s: unknown whether it was accepted (%s); repeat with --change-id %s", effect, ordered.Detail, changeID)}
	}
	return &exitError{exitRefused, fmt.Errorf("%s: refused: %s", effect, ordered.Detail)}
}
