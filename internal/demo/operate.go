package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/operate/client"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

const (
	operatorsToken = "demo-operators-token"
	author         = "demo"
	applyWait      = 10 * time.Second
)

// writeToken writes the operators' token to a file in a new temporary directory, which the caller must
// remove.
func writeToken() (file string, err error) {
	dir, err := os.MkdirTemp("", "plumbarrow-demo")
	if err != nil {
		return "", err
	}
	file = filepath.Join(dir, "token")
	return file, os.WriteFile(file, []byte(operatorsToken), 0o600)
}

// operatorsClient returns a client of the operators' API of all entry instances.
func operatorsClient(f *fleet.Fleet) *client.Client {
	var addresses []string
	for _, id := range slices.Sorted(maps.Keys(f.Daemons)) {
		addresses = append(addresses, f.Daemons[id].Settings.OperatorsAddress)
	}
	return client.New(addresses, operatorsToken)
}

// applyConfiguration applies the demo's configuration and waits up to applyWait until all instances
// confirm it.
func applyConfiguration(ctx context.Context, f *fleet.Fleet, out io.Writer) error {
	applied, err := operatorsClient(f).Apply(ctx, api.Apply{
		ChangeID: replica.NewChangeID(),
		Author:   author,
		Document: string(configuration),
		WaitMS:   int(applyWait.Milliseconds()),
	})
	if err != nil {
		return err
	}
	if applied.Outcome != replica.OutcomeAccepted {
		return fmt.Errorf("configuration: %s: %s", applied.Outcome, applied.Detail)
	}
	fmt.Fprintf(out, "configuration accepted as revision %d, not yet confirmed by %d\n", applied.Revision, len(applied.Unconfirmed))
	return nil
}

// takeZoneOutAndBack takes the second zone out of service at zoneOutAt and brings it back at zoneInAt.
// It returns the errors of failed calls.
func takeZoneOutAndBack(ctx context.Context, f *fleet.Fleet, out io.Writer) []string {
	zone := zones[1]
	order := api.Order{Author: author}
	sleep(ctx, zoneOutAt)
	order.ChangeID = replica.NewChangeID()
	ordered, err := operatorsClient(f).ZoneOut(ctx, zone, order)
	if err != nil {
		return []string{fmt.Sprintf("zone %s out: %v", zone, err)}
	}
	fmt.Fprintf(out, "  after %s: zone %s taken out: %s\n", zoneOutAt, zone, ordered.OrderState)
	sleep(ctx, zoneInAt-zoneOutAt)
	order.ChangeID = replica.NewChangeID()
	ordered, err = operatorsClient(f).ZoneIn(ctx, zone, order)
	if err != nil {
		return []string{fmt.Sprintf("zone %s in: %v", zone, err)}
	}
	fmt.Fprintf(out, "  after %s: zone %s brought back: %s\n", zoneInAt, zone, ordered.OrderState)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
