package replica

import (
	"errors"
	"time"
)

// Settings of a replica.
type Settings struct {
	// WatchWaitMS is how long a watch on the store waits, in milliseconds. Default 2,000.
	WatchWaitMS int `toml:"watch_wait_ms"`
	// RereadMS is how often the watching instance reads the head besides its watch, in
	// milliseconds. Default 8,000.
	RereadMS int `toml:"reread_ms"`
	// SilentAfterMS is the time without word from the store, by any instance, after which
	// instances that do not watch read it themselves, in milliseconds. Default 5,000.
	SilentAfterMS int `toml:"silent_after_ms"`
	// ConfirmWithinMS is how old the last word from the store may be for the configuration to
	// count as confirmed, in milliseconds. Default 10,000.
	ConfirmWithinMS int `toml:"confirm_within_ms"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{WatchWaitMS: 2_000, RereadMS: 8_000, SilentAfterMS: 5_000, ConfirmWithinMS: 10_000}
}

// Validate checks the ranges.
func (s Settings) Validate() error {
	switch {
	case s.WatchWaitMS < 100 || s.WatchWaitMS > 60_000:
		return errors.New("watch_wait_ms: want 100 to 60,000")
	case s.RereadMS < 500 || s.RereadMS > 60_000:
		return errors.New("reread_ms: want 500 to 60,000")
	case s.SilentAfterMS <= s.WatchWaitMS:
		return errors.New("silent_after_ms: want more than watch_wait_ms")
	case s.ConfirmWithinMS <= s.SilentAfterMS:
		return errors.New("confirm_within_ms: want more than silent_after_ms")
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
