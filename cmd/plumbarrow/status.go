package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"plumbarrow.example/plumbarrow/daemon"
	"plumbarrow.example/plumbarrow/operate/api"
)

type statusCommand struct {
	remoteOptions
	Metrics []string `arg:"--metrics,separate" help:"metrics_address, IP:port, of a gateway instance; repeat it for others"`
}

// run prints the status of each instance, or why it could not be read. It returns an error if all
// instances failed.
func (c *statusCommand) run() error {
	if len(c.Metrics) > 0 {
		return c.runGateways(os.Stdout)
	}
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

// runGateways prints the status of each gateway instance, or why it could not be read. It returns an error if all instances failed.
func (c *statusCommand) runGateways(out io.Writer) error {
	statuses, failures := gatewayStatuses(c.Metrics)
	for _, failure := range failures {
		fmt.Fprintln(os.Stderr, failure)
	}
	switch {
	case len(statuses) == 0:
		return failures[0]
	case c.JSON:
		return printJSON(statuses)
	}
	return printGateways(out, statuses)
}

// gatewayStatuses reads the status of the instances at their metrics addresses, and why that of some could not be read.
func gatewayStatuses(addresses []string) (statuses []daemon.GatewayStatus, failures []error) {
	for _, address := range addresses {
		var status daemon.GatewayStatus
		request, err := http.NewRequest(http.MethodGet, "http://"+address+"/status", nil)
		if err == nil {
			err = callInstance(request, &status)
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
			continue
		}
		statuses = append(statuses, status)
	}
	return statuses, failures
}

func printGateways(out io.Writer, statuses []daemon.GatewayStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tZONE\tREADY\tCONFIGURATION\tROUTES\tREVISION\tPROTOCOL\tAGE MS\tLAG MS\tWATCHING\tFROM STORE\tFROM PEERS\tUNDER WAY")
	for i := range statuses {
		s := &statuses[i]
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\t%t\t%d\t%d\t%d\n", s.Instance, s.Zone, s.Ready, s.Configuration, s.Routes,
			s.Copy.Revision, s.Protocol, s.Copy.AgeMS, s.Copy.LagMS, s.Copy.Watching, s.Copy.FromStoreBytes, s.Copy.FromPeersBytes, s.Copy.UnderWayBytes)
	}
	return table.Flush()
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
