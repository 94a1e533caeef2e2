package main

import (
	"context"
	"errors"

	"plumbarrow.example/plumbarrow/operate/client"
)

type explainCommand struct {
	remote
	RequestID string `arg:"positional,required" help:"id from the Plumbarrow-Request-Id header"`
}

// run prints the record of a request. It is JSON in any case.
func (c *explainCommand) run() error {
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

func isNotFound(err error) bool { return errors.Is(err, client.ErrNotFound) }
