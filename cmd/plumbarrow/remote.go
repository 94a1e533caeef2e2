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
	exitUnknown     = 3 // a change may have been accepted
	exitUnreachable = 4 // no entry instance could be reached; nothing was sent
)

const defaultOperators = "127.0.0.1:8081"

// remote says how to reach the operators' surface; it is embedded into commands.
type remote struct {
	Operators []string `arg:"--operators,separate" help:"IP:port of an entry instance's operators' surface; repeat it to have others tried [default: 127.0.0.1:8081]"`
	TokenFile string   `arg:"--token-file,env:PLUMBARROW_TOKEN_FILE" help:"file with the operators' token"`
	JSON      bool     `arg:"--json" help:"print JSON"`
}

func (r *remote) client() (*client.Client, error) {
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

// coded is an error with an exit code.
type coded struct {
	code int
	err  error
}

var _ error = (*coded)(nil)

// Error returns the message.
func (c *coded) Error() string { return c.err.Error() }

// Unwrap returns the cause.
func (c *coded) Unwrap() error { return c.err }

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var known *coded
	switch {
	case errors.As(err, &known):
		return known.code
	case errors.Is(err, client.ErrUnknown):
		return exitUnknown
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	}
	return exitRefused
}

// outcomeError words an outcome that is not accepted.
func outcomeError(result replica.Result, changeID string, base contract.Revision) error {
	if result.Outcome == replica.Unknown {
		return &coded{exitUnknown, fmt.Errorf("unknown whether the change was accepted (%s); repeat with --change-id %s --base %d", result.Detail, changeID, base)}
	}
	if len(result.Findings) > 0 {
		return &coded{exitRefused, &contract.Invalid{Findings: result.Findings}}
	}
	text := fmt.Sprintf("refused (%s): %s", result.Reason, result.Detail)
	for _, ref := range result.Conflicts {
		text += "\n  both changed " + ref.String()
	}
	return &coded{exitRefused, errors.New(text)}
}

// author returns the name that stands in the history.
func author(given string) string {
	if given != "" {
		return given
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "operator"
}
