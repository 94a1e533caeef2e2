package ledger

import (
	"fmt"
	"log/slog"
	"time"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
)

// Settings configures the ledger. All entry instances should have the same values. The number of
// shards is a constant because instances that disagree on it would not see each other's claims.
type Settings struct {
	// RetryWindowMinutes is how long a repeat of an idempotency key is recognized, in minutes.
	// A later repeat counts as a new request. Default 60.
	RetryWindowMinutes int `toml:"retry_window_minutes"`
	// GrantTimeoutMS bounds how long a claim may take, in milliseconds; a claim granted later is
	// released and the request is refused. Default 3,000.
	GrantTimeoutMS int `toml:"grant_timeout_ms"`
	// CommitIntervalMS is the minimum time between two writes of one shard of claims or pins by one
	// instance, in milliseconds. A claim on an idle shard is written at once. Default 250.
	CommitIntervalMS int `toml:"commit_interval_ms"`
	// SealBytes is the size of a shard's head above which its records move to a segment, in bytes.
	// Default 4,096.
	SealBytes int `toml:"seal_bytes"`
	// PinLifetimeMinutes is how long an unused session pin lasts, in minutes. Default 1,440.
	PinLifetimeMinutes int `toml:"pin_lifetime_minutes"`
	// ClockSkewSeconds is the largest difference between two instances' clocks, in seconds. Default 60.
	ClockSkewSeconds int `toml:"clock_skew_seconds"`
	// FlushIntervalMS is the time between two writes of a zone's bills, in milliseconds.
	// Default 1,000.
	FlushIntervalMS int `toml:"flush_interval_ms"`
	// MaxPendingBills bounds the bills and admitted requests of one instance that the store does
	// not hold yet; at the bound new billable requests are refused. Default 20,000.
	MaxPendingBills int `toml:"max_pending_bills"`
	// MarkDays is how long the store keeps an incarnation's highest applied bill number after its last
	// change, in days. Without that number, bills older than half of this time are not added to the
	// totals, since they may have been added before. Default 7.
	MarkDays int `toml:"mark_days"`
	// AllowanceShare is a divisor: an instance draws at most a customer's monthly budget divided by it
	// at a time, or what the request lacks if that is more. This bounds the budget that a crash loses.
	// Default 1,000.
	AllowanceShare int `toml:"allowance_share"`
	// IdleAllowanceSeconds is how long an allowance must be unused before an instance returns it, in
	// seconds. Default 30.
	IdleAllowanceSeconds int `toml:"idle_allowance_seconds"`
}

// DefaultSettings returns the default of every field.
func DefaultSettings() Settings {
	return Settings{
		RetryWindowMinutes:   60,
		GrantTimeoutMS:       3000,
		CommitIntervalMS:     250,
		SealBytes:            4 << 10,
		PinLifetimeMinutes:   24 * 60,
		ClockSkewSeconds:     60,
		FlushIntervalMS:      1000,
		MaxPendingBills:      20000,
		MarkDays:             7,
		AllowanceShare:       1000,
		IdleAllowanceSeconds: 30,
	}
}

const maxSealBytes = infra.MaxValueBytes / 4

// Validate returns an error that names the first field that is out of range.
func (s Settings) Validate() error {
	positive := []struct {
		name  string
		value int
	}{
		{"retry_window_minutes", s.RetryWindowMinutes}, {"grant_timeout_ms", s.GrantTimeoutMS},
		{"commit_interval_ms", s.CommitIntervalMS}, {"seal_bytes", s.SealBytes},
		{"pin_lifetime_minutes", s.PinLifetimeMinutes}, {"clock_skew_seconds", s.ClockSkewSeconds},
		{"flush_interval_ms", s.FlushIntervalMS}, {"max_pending_bills", s.MaxPendingBills},
		{"mark_days", s.MarkDays}, {"allowance_share", s.AllowanceShare},
		{"idle_allowance_seconds", s.IdleAllowanceSeconds},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return fmt.Errorf("%s must be positive, not %d", field.name, field.value)
		}
	}
	if s.SealBytes > maxSealBytes {
		return fmt.Errorf("seal_bytes must be at most %d, not %d", maxSealBytes, s.SealBytes)
	}
	if s.retryWindow() <= 2*s.grantTimeout() {
		return fmt.Errorf("retry_window_minutes must be more than twice grant_timeout_ms: %d minutes, %d ms", s.RetryWindowMinutes, s.GrantTimeoutMS)
	}
	return nil
}

func (s Settings) retryWindow() time.Duration {
	return time.Duration(s.RetryWindowMinutes) * time.Minute
}

func (s Settings) grantTimeout() time.Duration {
	return time.Duration(s.GrantTimeoutMS) * time.Millisecond
}

func (s Settings) commitInterval() time.Duration {
	return time.Duration(s.CommitIntervalMS) * time.Millisecond
}

func (s Settings) pinLifetime() time.Duration {
	return time.Duration(s.PinLifetimeMinutes) * time.Minute
}

func (s Settings) clockSkew() time.Duration { return time.Duration(s.ClockSkewSeconds) * time.Second }

func (s Settings) flushInterval() time.Duration {
	return time.Duration(s.FlushIntervalMS) * time.Millisecond
}

func (s Settings) markRetention() time.Duration { return time.Duration(s.MarkDays) * 24 * time.Hour }

func (s Settings) idleAllowance() time.Duration {
	return time.Duration(s.IdleAllowanceSeconds) * time.Second
}

// Parts holds the dependencies of the ledger.
type Parts struct {
	Store    infra.Store
	Members  machine.Members
	Peers    link.Peers
	Counters *telemetry.Counters
	Log      *slog.Logger
	Settings Settings
}
