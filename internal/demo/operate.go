package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/standin/fleet"
)

// apply puts the demo's configuration into force.
func apply(ctx context.Context, f *fleet.Fleet) error {
	_, err := replica.Propose(ctx, f.Store, "demo", configuration)
	return err
}

// takeZoneOutAndBack takes the second zone out of service for a while. It returns broken promises.
func takeZoneOutAndBack(ctx context.Context, f *fleet.Fleet, out io.Writer) []string {
	zone := zones[1]
	pause(ctx, zoneOutAt)
	if err := setZone(ctx, f, zone, true); err != nil {
		return []string{err.Error()}
	}
	fmt.Fprintf(out, "  %s: zone %s out of service\n", zoneOutAt, zone)
	pause(ctx, zoneInAt-zoneOutAt)
	if err := setZone(ctx, f, zone, false); err != nil {
		return []string{err.Error()}
	}
	fmt.Fprintf(out, "  %s: zone %s back in service\n", zoneInAt, zone)
	return nil
}

func setZone(ctx context.Context, f *fleet.Fleet, zone string, outOfService bool) error {
	proposer := replica.NewProposer(f.Store, nil, telemetry.New(), slog.New(slog.DiscardHandler))
	result := proposer.Edit(ctx, replica.Edit{
		ChangeID: replica.NewChangeID(),
		Author:   "demo",
		Apply: func(document *contract.Document) error {
			for i := range document.Zones {
				if document.Zones[i].Name == zone {
					document.Zones[i].OutOfService = outOfService
				}
			}
			return nil
		},
	})
	if result.Outcome != replica.Accepted {
		return fmt.Errorf("zone %s: %s: %s", zone, result.Outcome, result.Detail)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
