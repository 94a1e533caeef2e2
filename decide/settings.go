package decide

import (
	"fmt"
	"time"
)

// Settings configure how endpoints and other zones are chosen.
type Settings struct {
	// Samples is the number of random endpoints that are compared, out of those that pass the
	// filters. Default 3.
	Samples int `toml:"samples"`
	// AffinityBlock is the number of endpoints among which a prompt prefix is placed. Default 32.
	AffinityBlock int `toml:"affinity_block"`
	// AffinityBound limits the utilization of the endpoint that a prompt prefix maps to, as a
	// multiple of the sampled mean; at least 1. Default 1.25.
	AffinityBound float64 `toml:"affinity_bound"`
	// LatencyWeight is the weight of the smoothed time to the first byte, as a share of the route's
	// deadline, relative to the utilization. Default 0.5.
	LatencyWeight float64 `toml:"latency_weight"`
	// ErrorWeight is the weight of the share of failed attempts relative to the utilization.
	// Default 2.
	ErrorWeight float64 `toml:"error_weight"`
	// ReportHalfLifeMS is the age in milliseconds at which a load report has half of its weight.
	// Default 1,000.
	ReportHalfLifeMS int `toml:"report_half_life_ms"`
	// SpillMaxAgeMS is the age in milliseconds above which another zone's report of spare capacity
	// is ignored. Default 10,000.
	SpillMaxAgeMS int `toml:"spill_max_age_ms"`
	// SpillMinMS is the time in milliseconds that must remain until the deadline for a request to
	// be forwarded to another zone. Default 5.
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

// Validate returns an error that names the first field out of range, or the first group of fields one
// of which is out of range, with the values.
func (s Settings) Validate() error {
	switch {
	case s.Samples < 1 || s.Samples > maxSamples:
		return fmt.Errorf("samples must be 1 to %d, not %d", maxSamples, s.Samples)
	case s.AffinityBlock < 1:
		return fmt.Errorf("affinity_block must be at least 1, not %d", s.AffinityBlock)
	case s.AffinityBound < 1:
		return fmt.Errorf("affinity_bound must be at least 1, not %v", s.AffinityBound)
	case s.LatencyWeight < 0 || s.ErrorWeight < 0:
		return fmt.Errorf("latency_weight and error_weight must not be negative: %v and %v", s.LatencyWeight, s.ErrorWeight)
	case s.ReportHalfLifeMS < 1 || s.SpillMaxAgeMS < 1 || s.SpillMinMS < 0:
		return fmt.Errorf("report_half_life_ms and spill_max_age_ms must be positive, spill_min_ms not negative: %d, %d and %d",
			s.ReportHalfLifeMS, s.SpillMaxAgeMS, s.SpillMinMS)
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
