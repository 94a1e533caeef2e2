package rollout

import (
	"errors"
	"time"
)

// Settings of the tests of versions and of roll-outs.
type Settings struct {
	// FalseAlarm is the chance, between 0 and 1, of withdrawing a version that is as good as its
	// predecessor, over the whole of one stage of a roll-out. Default 0.0003.
	FalseAlarm float64 `toml:"false_alarm"`
	// ErrorMargin is how much higher the share of failed attempts may be than the predecessor's,
	// 0 to 1. Default 0.01.
	ErrorMargin float64 `toml:"error_margin"`
	// RatingMargin is how much higher the share of ratings below any level may be than the
	// predecessor's, 0 to 1. Default 0.03.
	RatingMargin float64 `toml:"rating_margin"`
	// SlowMargin is how much higher the share of slow answers may be than the predecessor's, 0 to 1.
	// Default 0.05.
	SlowMargin float64 `toml:"slow_margin"`
	// SlowMS is the time to the first byte in milliseconds beyond which an answer is slow.
	// Default 1,700.
	SlowMS int `toml:"slow_ms"`
	// LeaseSeconds is how long the lease of the roll-outs' driver lasts after each renewal; at least
	// 10. Default 15.
	LeaseSeconds int `toml:"lease_seconds"`
	// OrderSeconds bounds the sending of one order to an engine; at least 1 and less than
	// LeaseSeconds. Default 5.
	OrderSeconds int `toml:"order_seconds"`
	// LoadsPerMinute is the rate at which engines may be ordered to load from the weight store,
	// over the fleet; at least 1. Default 6.
	LoadsPerMinute int `toml:"loads_per_minute"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		FalseAlarm:     0.0003,
		ErrorMargin:    0.01,
		RatingMargin:   0.03,
		SlowMargin:     0.05,
		SlowMS:         1_700,
		LeaseSeconds:   15,
		OrderSeconds:   5,
		LoadsPerMinute: 6,
	}
}

// Validate returns an error that names the first field out of range.
func (s Settings) Validate() error {
	switch {
	case s.FalseAlarm <= 0 || s.FalseAlarm >= 1:
		return errors.New("false_alarm must be between 0 and 1")
	case !isFraction(s.ErrorMargin) || !isFraction(s.RatingMargin) || !isFraction(s.SlowMargin):
		return errors.New("error_margin, rating_margin and slow_margin must be 0 to 1")
	case s.SlowMS < 1:
		return errors.New("slow_ms must be at least 1")
	case s.LeaseSeconds < 10:
		return errors.New("lease_seconds must be at least 10")
	case s.OrderSeconds >= s.LeaseSeconds:
		return errors.New("order_seconds must be less than lease_seconds")
	case s.OrderSeconds < 1 || s.LoadsPerMinute < 1:
		return errors.New("order_seconds and loads_per_minute must be at least 1")
	}
	return nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func (s Settings) slowAfter() time.Duration    { return time.Duration(s.SlowMS) * time.Millisecond }
func (s Settings) leaseTTL() time.Duration     { return time.Duration(s.LeaseSeconds) * time.Second }
func (s Settings) orderTimeout() time.Duration { return time.Duration(s.OrderSeconds) * time.Second }
