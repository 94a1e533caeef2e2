package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/operate/client"
	"plumbarrow.example/plumbarrow/replica"
)

type configCommand struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"validate a file; needs no platform"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"put a file into force"`
	Show    *showCommand    `arg:"subcommand:show" help:"print the configuration in force"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"print what changed between two revisions"`
	History *historyCommand `arg:"subcommand:history" help:"list accepted changes"`
}

type checkCommand struct {
	File string `arg:"positional,required" help:"configuration in TOML"`
	JSON bool   `arg:"--json" help:"print the findings as JSON"`
}

type applyCommand struct {
	remoteOptions
	File     string        `arg:"positional,required" help:"configuration in TOML"`
	Base     *uint64       `arg:"--base" help:"revision that the file was edited from; others' later changes of other entries are kept [default: the one that config show wrote into the file's first line, else the revision in force]"`
	Author   string        `arg:"--author" help:"name for the history [default: the user]"`
	ChangeID string        `arg:"--change-id" help:"repeat an apply whose outcome is unknown; needs its --base"`
	Wait     time.Duration `arg:"--wait" default:"10s" help:"how long to wait until the revision is in force everywhere"`
	Recover  bool          `arg:"--recover" help:"the store has lost its head: number the change above the revision in force"`
}

type showCommand struct {
	remoteOptions
}

type diffCommand struct {
	remoteOptions
	From uint64 `arg:"positional,required" help:"revision"`
	To   uint64 `arg:"positional" help:"revision [default: the newest]"`
}

type historyCommand struct {
	remoteOptions
	Limit int `arg:"--limit" default:"32" help:"number of changes"`
}

func (c *configCommand) run() error {
	ctx := context.Background()
	switch {
	case c.Check != nil:
		return c.Check.run()
	case c.Apply != nil:
		return c.Apply.run(ctx)
	case c.Show != nil:
		return c.Show.run(ctx)
	case c.Diff != nil:
		return c.Diff.run(ctx)
	case c.History != nil:
		return c.History.run(ctx)
	}
	return &exitError{exitUsage, errors.New("config needs a subcommand: check, apply, show, diff or history")}
}

func (c *checkCommand) run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	document, err := contract.Parse(c.File, data)
	if err == nil {
		_, err = contract.Build(document, 0)
	}
	var invalid *contract.ValidationError
	if c.JSON && (err == nil || errors.As(err, &invalid)) {
		findings := []contract.Finding{}
		if invalid != nil {
			findings = invalid.Findings
		}
		return errors.Join(printJSON(findings), err)
	}
	if err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}

func (c *applyCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := contract.Parse(c.File, data); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	base, err := c.base(ctx, client, data)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = replica.NewChangeID()
	}
	applied, err := client.Apply(ctx, api.Apply{
		ChangeID: c.ChangeID,
		Base:     base,
		Author:   author(c.Author),
		Document: string(data),
		Recover:  c.Recover,
		WaitMS:   int(c.Wait.Milliseconds()),
	})
	if err != nil && exitCode(err) == exitUnknown {
		return fmt.Errorf("%w; repeat with --change-id %s --base %d", err, c.ChangeID, base)
	}
	if err != nil {
		return err
	}
	return c.report(applied, base)
}

// showHeader starts the first line that config show prints; config apply reads the base revision from it.
const showHeader = "# revision "

// base returns the revision that the file was edited from: --base, the header that config show wrote, or
// the revision in force, in this order. A repeated change (--change-id) without a header must state
// --base, because applying it on top of the revision in force would overwrite others' changes since.
func (c *applyCommand) base(ctx context.Context, client *client.Client, data []byte) (contract.Revision, error) {
	var header uint64
	if _, err := fmt.Sscanf(string(data[:min(len(data), 64)]), showHeader+"%d ", &header); err == nil && c.Base == nil {
		return contract.Revision(header), nil
	}
	if c.Base != nil {
		return contract.Revision(*c.Base), nil
	}
	if c.ChangeID != "" {
		return 0, &exitError{exitUsage, errors.New("--change-id needs --base")}
	}
	config, err := client.Config(ctx)
	if err != nil && !isNotFound(err) {
		return 0, err
	}
	return config.Record.Revision, nil
}

func (c *applyCommand) report(applied api.Applied, base contract.Revision) error {
	var outcomeErr error
	if applied.Outcome != replica.OutcomeAccepted {
		for i := range applied.Findings {
			applied.Findings[i].File = c.File
		}
		outcomeErr = outcomeError(applied.Result, c.ChangeID, base)
	}
	if c.JSON {
		return errors.Join(printJSON(applied), outcomeErr)
	}
	if outcomeErr != nil {
		return outcomeErr
	}
	fmt.Printf("accepted as revision %d%s\n", applied.Revision, acceptedSuffix(applied))
	for _, zone := range applied.Spread {
		fmt.Printf("  zone %-16s %d instances, lowest revision in force %d\n", zone.Zone, zone.Instances, zone.Lowest)
	}
	for _, name := range applied.Unconfirmed {
		fmt.Printf("  not confirmed: %s\n", name)
	}
	return nil
}

// acceptedSuffix returns what follows the revision in the message of an accepted change.
func acceptedSuffix(applied api.Applied) string {
	switch {
	case applied.Rebased:
		return ", above others' changes"
	case applied.Detail != "":
		return " (" + applied.Detail + ")"
	}
	return ""
}

func (c *showCommand) run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	config, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(config)
	}
	document := config.Document
	if strings.HasPrefix(document, showHeader) {
		_, document, _ = strings.Cut(document, "\n")
	}
	record := config.Record
	fmt.Printf("%s%d by %s at %s\n%s", showHeader, record.Revision, record.Author, record.At.Format(time.RFC3339), document)
	return nil
}

func (c *diffCommand) run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	diff, err := client.Diff(ctx, contract.Revision(c.From), contract.Revision(c.To))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(diff)
	}
	fmt.Printf("revision %d to %d: %d entries differ\n", diff.From, diff.To, len(diff.Changes))
	for _, change := range diff.Changes {
		fmt.Printf("%s %s\n", change.Kind, change.EntryRef)
		printLines("-", change.From, change.To)
		printLines("+", change.To, change.From)
	}
	return nil
}

// printLines prints the non-blank lines of text that other does not contain, each after the prefix.
func printLines(prefix, text, other string) {
	otherLines := make(map[string]bool)
	for line := range strings.Lines(other) {
		otherLines[line] = true
	}
	for line := range strings.Lines(text) {
		if !otherLines[line] && strings.TrimSpace(line) != "" {
			fmt.Print("  ", prefix, " ", strings.TrimRight(line, "\n"), "\n")
		}
	}
}

func (c *historyCommand) run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	records, err := client.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(records)
	}
	for _, record := range records {
		entries := strings.Join(record.Entries, ", ")
		if omitted := record.Changed - len(record.Entries); omitted > 0 {
			entries += fmt.Sprintf(" and %d more", omitted)
		}
		fmt.Printf("%d  %s  %s  %s\n", record.Revision, record.At.Format(time.RFC3339), record.Author, entries)
	}
	return nil
}
