package main

import (
	"encoding/json"
	"fmt"
	"os"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/replay"
)

type replayCommand struct {
	Trace string `arg:"positional,required" help:"file of JSON lines; - reads standard input"`
	JSON  bool   `arg:"--json" help:"print differences as JSON lines"`
}

// run replays a trace and returns an error if any decision differs from the one that the trace states.
func (c *replayCommand) run() error {
	input := os.Stdin
	if c.Trace != "-" {
		file, err := os.Open(c.Trace)
		if err != nil {
			return err
		}
		defer file.Close()
		input = file
	}
	header, lines, err := replay.Read(input)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Trace, err)
	}
	differences, decisions, err := replay.Run(lines, decide.NewPicker(decide.DefaultSettings()))
	if err != nil {
		return fmt.Errorf("%s: %w", c.Trace, err)
	}
	for _, difference := range differences {
		if err := c.print(difference); err != nil {
			return err
		}
	}
	if len(differences) > 0 {
		return fmt.Errorf("%s: %d of %d decisions differ", c.Trace, len(differences), decisions)
	}
	if !c.JSON {
		fmt.Printf("%s: %d decisions as stated (%s)\n", c.Trace, decisions, header.About)
	}
	return nil
}

func (c *replayCommand) print(difference replay.Difference) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(difference)
	}
	fmt.Println(difference)
	return nil
}
