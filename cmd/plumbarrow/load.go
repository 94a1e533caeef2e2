package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"plumbarrow.example/plumbarrow/load"
)

type loadCommand struct {
	Targets  []string      `arg:"positional,required" placeholder:"ADDRESS" help:"callers' addresses of the entry instances, IP:port"`
	Mix      string        `arg:"--mix" default:"tidy" help:"tidy or gala"`
	Rate     float64       `arg:"--rate" default:"20" help:"requests per second"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long requests arrive"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of arrivals and requests"`
	JSON     bool          `arg:"--json" help:"print the report as JSON"`
	Plot     string        `arg:"--plot" help:"write the latency distribution to FILE.svg or FILE.png"`
}

func (c *loadCommand) run() error {
	mix, ok := load.Mixes()[c.Mix]
	if !ok {
		return fmt.Errorf("unknown mix %q: tidy or gala", c.Mix)
	}
	report := load.Run(context.Background(), load.Plan{
		Addresses: c.Targets,
		Mix:       mix,
		Rate:      c.Rate,
		Duration:  c.Duration,
		Seed:      c.Seed,
		Progress:  func(sent, answered int) { fmt.Fprintf(os.Stderr, "%d sent, %d answered\n", sent, answered) },
	})
	if err := c.print(report); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return err
		}
	}
	if violations := report.Audit(nil, nil); len(violations) > 0 {
		return fmt.Errorf("%d broken promises, first: %s", len(violations), violations[0])
	}
	return nil
}

func (c *loadCommand) print(report *load.Report) error {
	if !c.JSON {
		report.WriteText(os.Stdout)
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(struct {
		*load.Report
		FirstByte load.Quantiles `json:"first_byte"`
		Gaps      load.Quantiles `json:"between_events"`
		Total     load.Quantiles `json:"whole_answer"`
	}{report, report.FirstByte(), report.Gaps(), report.Total()})
}
