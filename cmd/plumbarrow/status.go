package main

import (
	"context"
	"fmt"
	"strings"

	"plumbarrow.example/plumbarrow/operate/api"
)

type statusCommand struct {
	remote
}

func (c *statusCommand) run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	statuses, failures := client.Status(context.Background())
	if c.JSON {
		err = printJSON(statuses)
	}
	reached := false
	for i := range statuses {
		if failures[i] != nil {
			fmt.Printf("%s: %v\n", c.address(i), failures[i])
			continue
		}
		reached = true
		if !c.JSON {
			printStatus(statuses[i])
		}
	}
	if !reached {
		return failures[0]
	}
	return err
}

func (r *remote) address(i int) string {
	if len(r.Operators) == 0 {
		return defaultOperators
	}
	return r.Operators[i]
}

func printStatus(status api.Status) {
	state := "ready"
	if !status.Ready {
		state = "not ready: " + status.NotReady
	}
	confirmed := "confirmed"
	if !status.Confirmed {
		confirmed = "not confirmed: store and confirming peers are out of reach"
	}
	fmt.Printf("%s in zone %s: %s, revision %d (%s)\n", status.Instance, status.Zone, state, status.Revision, confirmed)
	if len(status.ZonesOut) > 0 {
		fmt.Printf("  out of service: %s\n", strings.Join(status.ZonesOut, ", "))
	}
	for _, order := range status.Orders {
		what := "zone " + order.Zone + " out of service"
		if order.Zone == "" {
			what = "version " + order.Version + " withdrawn"
		}
		fmt.Printf("  in force, not accepted yet: %s %s\n", what, order.Detail)
	}
	for _, zone := range status.Spread {
		fmt.Printf("  zone %-16s %d instances, lowest revision in force %d %v\n", zone.Zone, zone.Instances, zone.Lowest, zone.Lagging)
	}
}
