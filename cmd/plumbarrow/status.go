package main

import (
	"context"
	"fmt"
	"strings"

	"plumbarrow.example/plumbarrow/operate/api"
)

type statusCommand struct {
	remoteOptions
}

// run prints the status of each instance, or why it could not be read. It returns an error if all
// instances failed.
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

// address returns the i-th address that client uses.
func (r *remoteOptions) address(i int) string {
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
		effect := "zone " + order.Zone + " out of service"
		if order.Zone == "" {
			effect = "version " + order.Version + " withdrawn"
		}
		fmt.Printf("  in force, not accepted yet: %s %s\n", effect, order.Detail)
	}
	for _, zone := range status.Spread {
		fmt.Printf("  zone %-16s %d instances, lowest revision in force %d %v\n", zone.Zone, zone.Instances, zone.Lowest, zone.Lagging)
	}
}
