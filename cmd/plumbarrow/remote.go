package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate"
	"plumbarrow.example/plumbarrow/operate/client"
	"plumbarrow.example/plumbarrow/replica"
)

// Exit codes.
const (
	exitRefused     = 1 // refused, invalid or failed
	exitUsage       = 2
	exitUnknown     = 3 // a change may have been accepted, or an order is in force but not accepted yet
	exitUnreachable = 4 // no entry instance could be reached; nothing was sent
)

const defaultOperators = "127.0.0.1:8081"

// remoteOptions are the options of commands that call the operators' API of an entry instance.
type remoteOptions struct {
	Operators []string `arg:"--operators,separate" help:"IP:port of an entry instance's operators' surface; repeat it to have others tried [default: 127.0.0.1:8081]"`
	TokenFile string   `arg:"--token-file,env:PLUMBARROW_TOKEN_FILE" help:"file with the operators' token"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

func (r *remoteOptions) client() (*client.Client, error) {
	token, err := operate.ReadToken(r.TokenFile)
	if err != nil {
		return nil, err
	}
	addresses := r.Operators
	if len(addresses) == 0 {
		addresses = []string{defaultOperators}
	}
	return client.New(addresses, token), nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// exitError is an error that sets the process's exit code.
type exitError struct {
	code int
	err  error
}

var _ error = (*exitError)(nil)

// Error returns the message.
func (c *exitError) Error() string { return c.err.Error() }

// Unwrap returns the cause.
func (c *exitError) Unwrap() error { return c.err }

// exitCode returns the exit code for a non-nil error; exitRefused if neither an exitError nor a client
// error determines it.
func exitCode(err error) int {
	var coded *exitError
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.Is(err, client.ErrUnknown):
		return exitUnknown
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	}
	return exitRefused
}

// outcomeError returns the error to print for a change that was not accepted, with its exit code.
func outcomeError(result replica.Result, changeID string, base contract.Revision) error {
	if result.Outcome == replica.OutcomeUnknown {
		return &exitError{exitUnknown, fmt.Errorf("unknown whether the change was accepted (%s); repeat with --change-id %s --base %d", result.Detail, changeID, base)}
	}
	if len(result.Findings) > 0 {
		return &exitError{exitRefused, &contract.ValidationError{Findings: result.Findings}}
	}
	text := fmt.Sprintf("refused (%s): %s", result.Reason, result.Detail)
	for _, ref := range result.Conflicts {
		text += "\n  both changed " + ref.String()
	}
	return &exitError{exitRefused, errors.New(text)}
}

// author returns the name to record in the history: the given one, else the name of the current user.
func author(given string) string {
	if given != "" {
		return given
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "operator"
}
