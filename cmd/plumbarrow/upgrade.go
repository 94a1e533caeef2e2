package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"plumbarrow.example/plumbarrow/upgrade"
)

type upgradeCommand struct {
	Check *upgradeCheck `arg:"subcommand:check" help:"may an instance of this build replace one of the fleet now"`
}

type upgradeCheck struct {
	Metrics []string `arg:"--metrics,separate,required" help:"metrics_address, IP:port, of a gateway instance; repeat it for all"`
}

func (c *upgradeCommand) run() error {
	if c.Check == nil {
		return errors.New("upgrade needs a subcommand: check")
	}
	return c.Check.run(os.Stdout)
}

// run prints what speaks against the next replacement. It returns an error if anything does, or if an instance does not answer.
func (c *upgradeCheck) run(out io.Writer) error {
	statuses, failures := gatewayStatuses(c.Metrics)
	for _, failure := range failures {
		fmt.Fprintln(out, failure)
	}
	members := make([]upgrade.Member, 0, len(statuses))
	for i := range statuses {
		members = append(members, statuses[i].Member())
	}
	findings := upgrade.Check(upgrade.Protocol, upgrade.OldestProtocol, members)
	for _, finding := range findings {
		fmt.Fprintln(out, finding)
	}
	if len(failures)+len(findings) > 0 {
		return errors.New("the next instance should not be replaced now")
	}
	fmt.Fprintf(out, "%d instances: the next one may be replaced by this build, protocol %d\n", len(members), upgrade.Protocol)
	return nil
}
