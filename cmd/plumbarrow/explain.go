package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"plumbarrow.example/plumbarrow/internal/requestlog"
	"plumbarrow.example/plumbarrow/operate/client"
)

type explainCommand struct {
	remoteOptions
	Log       string `arg:"--log" help:"read the request's story from a log instead of asking an instance; - is standard input" placeholder:"FILE"`
	RequestID string `arg:"positional,required" help:"id from the answer's request id header"`
}

// run prints an instance's record of the request, always as JSON, or the request's lines from a log.
func (c *explainCommand) run() error {
	if c.Log != "" {
		return c.printFromLog()
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	record, err := client.Explain(context.Background(), c.RequestID)
	if err != nil {
		return err
	}
	return printJSON(record)
}

// printFromLog prints the log lines that concern the request, in order of time.
func (c *explainCommand) printFromLog() error {
	var logs io.Reader = os.Stdin
	if c.Log != "-" {
		file, err := os.Open(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		logs = file
	}
	lines, err := requestlog.RequestLines(logs, c.RequestID)
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

func isNotFound(err error) bool { return errors.Is(err, client.ErrNotFound) }
