package replica

import (
	"errors"
	"time"
)

// Settings of a replica.
type Settings struct {
	// WatchWaitMS is the long-poll timeout of a watch on the store, in milliseconds. Default 2,000.
	WatchWaitMS int `toml:"watch_wait_ms"`
	// RereadMS is the interval at which the watching instance reads the head in addition to its
	// watch, in milliseconds. Default 8,000.
	RereadMS int `toml:"reread_ms"`
	// SilentAfterMS is the age of the last confirmation from the store, received directly or
	// through peers, above which instances that do not watch read the store themselves, in
	// milliseconds. Default 5,000.
	SilentAfterMS int `toml:"silent_after_ms"`
	// ConfirmWithinMS is the age of the last confirmation from the store up to which the
	// configuration counts as confirmed, in milliseconds. Default 10,000.
	ConfirmWithinMS int `toml:"confirm_within_ms"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{WatchWaitMS: 2_000, RereadMS: 8_000, SilentAfterMS: 5_000, ConfirmWithinMS: 10_000}
}

// Validate returns an error for the first setting that is out of range.
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
