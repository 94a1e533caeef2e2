package decide

import (
	"errors"
	"time"
)

// Settings tune the picking of endpoints and the limits of retries.
type Settings struct {
	// Samples is how many random fitting endpoints are compared. Default 3.
	Samples int `toml:"samples"`
	// AffinityBlock is how many endpoints a prompt prefix is placed among. Default 32.
	AffinityBlock int `toml:"affinity_block"`
	// AffinityBound is how much busier than the sampled mean the endpoint that holds a prompt's
	// prefix may be, as a factor of at least 1. Default 1.25.
	AffinityBound float64 `toml:"affinity_bound"`
	// LatencyWeight weighs the smoothed time to the first byte, as a share of the route's
	// deadline, against the share of the limit in use. Default 0.5.
	LatencyWeight float64 `toml:"latency_weight"`
	// ErrorWeight weighs the share of failed attempts against the share of the limit in use.
	// Default 2.
	ErrorWeight float64 `toml:"error_weight"`
	// ReportHalfLife is the age in milliseconds at which a load report counts half. Default 1,000.
	ReportHalfLifeMS int `toml:"report_half_life_ms"`
	// SpillMaxAgeMS is the age in milliseconds beyond which another zone's report of spare capacity
	// is not used. Default 10,000.
	SpillMaxAgeMS int `toml:"spill_max_age_ms"`
	// SpillMinMS is the time in milliseconds that must be left until the deadline for a hop to
	// another zone. Default 5.
	SpillMinMS int `toml:"spill_min_ms"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Samples:          3,
		AffinityBlock:    32,
		AffinityBound:    1.25,
		LatencyWeight:    0.5,
		ErrorWeight:      2,
		ReportHalfLifeMS: 1_000,
		SpillMaxAgeMS:    10_000,
		SpillMinMS:       5,
	}
}

// Validate returns an error that names the first field out of range.
func (s Settings) Validate() error {
	switch {
	case s.Samples < 1 || s.Samples > maxSamples:
		return errors.New("samples must be 1 to 8")
	case s.AffinityBlock < 1:
		return errors.New("affinity_block must be at least 1")
	case s.AffinityBound < 1:
		return errors.New("affinity_bound must be at least 1")
	case s.LatencyWeight < 0 || s.ErrorWeight < 0:
		return errors.New("latency_weight and error_weight must not be negative")
	case s.ReportHalfLifeMS < 1 || s.SpillMaxAgeMS < 1 || s.SpillMinMS < 0:
		return errors.New("report_half_life_ms and spill_max_age_ms must be positive, spill_min_ms not negative")
	}
	return nil
}

func (s Settings) reportHalfLife() time.Duration {
	return time.Duration(s.ReportHalfLifeMS) * time.Millisecond
}

func (s Settings) spillMaxAge() time.Duration {
	return time.Duration(s.SpillMaxAgeMS) * time.Millisecond
}

func (s Settings) spillMin() time.Duration { return time.Duration(s.SpillMinMS) * time.Millisecond }
