package main

import (
	"encoding/json"
	"os"

	"plumbarrow.example/plumbarrow/experiment"
)

type experimentCommand struct {
	Name string `arg:"positional,required" help:"cost, exposure, overload or zones"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of all random numbers"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

// run prints an experiment's table and aims. A missed aim is printed, but is not an error.
func (c *experimentCommand) run() error {
	report, err := experiment.Run(c.Name, c.Seed)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.Print(os.Stdout)
}
