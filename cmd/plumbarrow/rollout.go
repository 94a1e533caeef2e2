package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/rollout"
)

type rolloutCommand struct {
	Start  *rolloutStart  `arg:"subcommand:start" help:"begin a roll-out of a version"`
	Status *rolloutStatus `arg:"subcommand:status" help:"list roll-outs"`
	Resume *rolloutByID   `arg:"subcommand:resume" help:"start an aborted or failed roll-out again"`
	Abort  *rolloutByID   `arg:"subcommand:abort" help:"stop a roll-out and go back to the predecessor"`
	Store  string         `arg:"--store" default:"127.0.0.1:8500" help:"IP:port of the key-value service"`
}

type rolloutStart struct {
	Version     string        `arg:"positional,required" help:"model@version to roll out"`
	Predecessor string        `arg:"positional,required" help:"model@version that it follows"`
	Pool        string        `arg:"--pool,required" help:"pool whose engines load the version"`
	Shares      []float64     `arg:"--share,separate" help:"share of new sessions per stage, growing; repeat. Default 0.05, 0.25, 1"`
	Hold        time.Duration `arg:"--hold" default:"10m" help:"least time per stage"`
	Attempts    uint64        `arg:"--attempts" default:"200" help:"attempts of the version to see per stage"`
}

type rolloutStatus struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

type rolloutByID struct {
	ID string `arg:"positional,required"`
}

const rolloutTimeout = 10 * time.Second // for a whole subcommand, all store calls together

func (c *rolloutCommand) run() error {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	records := rollout.NewRecords(infra.NewConsul(c.Store, nil))
	switch {
	case c.Start != nil:
		return c.Start.run(ctx, records)
	case c.Status != nil:
		return c.Status.run(ctx, records)
	case c.Resume != nil:
		return describeUnknownOutcome(records.Resume(ctx, c.Resume.ID))
	case c.Abort != nil:
		return describeUnknownOutcome(records.Abort(ctx, c.Abort.ID))
	}
	return errors.New("rollout needs a subcommand: start, status, resume or abort")
}

func (c *rolloutStart) run(ctx context.Context, records *rollout.Records) error {
	version, err := versionID(c.Version)
	if err != nil {
		return err
	}
	predecessor, err := versionID(c.Predecessor)
	if err != nil {
		return err
	}
	record := rollout.Record{ID: uuid.NewString(), Version: version, Predecessor: predecessor, Pool: c.Pool}
	shares := c.Shares
	if len(shares) == 0 {
		shares = []float64{0.05, 0.25, 1}
	}
	for _, share := range shares {
		record.Stages = append(record.Stages, rollout.Stage{Share: share, Hold: c.Hold, Attempts: c.Attempts})
	}
	if err := describeUnknownOutcome(records.Start(ctx, record)); err != nil {
		return err
	}
	fmt.Println(record.ID)
	return nil
}

func (c *rolloutStatus) run(ctx context.Context, records *rollout.Records) error {
	all, err := records.List(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tVERSION\tPREDECESSOR\tSTAGE\tSHARE\tSTATE")
	for _, record := range all {
		share := record.Stages[record.Current].Share
		fmt.Fprintf(table, "%s\t%s\t%s\t%d/%d\t%g\t%s\n", record.ID, record.Version, record.Predecessor, record.Current+1, len(record.Stages), share, record.State)
	}
	return table.Flush()
}

// describeUnknownOutcome replaces the error of a write that may have taken effect by one that tells the
// operator what to check; it returns other errors unchanged.
func describeUnknownOutcome(err error) error {
	if errors.Is(err, infra.ErrOutcomeUnknown) {
		return errors.New("unknown whether the store took the change; see rollout status before repeating it")
	}
	return err
}

// versionID parses model@version.
func versionID(text string) (contract.VersionID, error) {
	model, name, ok := strings.Cut(text, "@")
	if !ok || model == "" || name == "" {
		return contract.VersionID{}, fmt.Errorf("%q is not model@version", text)
	}
	return contract.VersionID{Model: model, Name: name}, nil
}
