package quality

import (
	"errors"
	"time"
)

// Settings tune learning and rating.
type Settings struct {
	// HalfLife is the number of newer ratings after which a rating's weight has halved. Default 500.
	HalfLife int `toml:"half_life_ratings"`
	// PriorRatings is the number of ratings that the configured quality counts as. Default 20.
	PriorRatings int `toml:"prior_ratings"`
	// Gain is how far the acceptance threshold moves, at the usual price, per unit of difference between a
	// delivered answer's score and the target; above 0, at most 1. Default 0.02.
	Gain float64 `toml:"gain"`
	// SampleShare is the share, 0 to 1, of delivered, unjudged answers that are rated. Default 0.05.
	SampleShare float64 `toml:"sample_share"`
	// QueueLength is how many answers may wait for the rater. Default 256.
	QueueLength int `toml:"queue_length"`
	// Workers is how many ratings run at a time. Default 8.
	Workers int `toml:"workers"`
	// TimeoutMS bounds one rating, in milliseconds. Default 5,000.
	TimeoutMS int `toml:"timeout_ms"`
	// BreakerFailures is the number of consecutive failures after which ratings stop. Default 5.
	BreakerFailures int `toml:"breaker_failures"`
	// BreakerPauseMS is the time in milliseconds between probes while ratings are stopped. Default 5,000.
	BreakerPauseMS int `toml:"breaker_pause_ms"`
}

// DefaultSettings returns the settings that apply where none are configured.
func DefaultSettings() Settings {
	return Settings{
		HalfLife:        500,
		PriorRatings:    20,
		Gain:            0.02,
		SampleShare:     0.05,
		QueueLength:     256,
		Workers:         8,
		TimeoutMS:       5_000,
		BreakerFailures: 5,
		BreakerPauseMS:  5_000,
	}
}

// Validate returns an error that names the first field out of range.
func (s Settings) Validate() error {
	switch {
	case s.HalfLife < 1 || s.PriorRatings < 1:
		return errors.New("half_life_ratings and prior_ratings must be at least 1")
	case s.Gain <= 0 || s.Gain > 1:
		return errors.New("gain must be above 0 and at most 1")
	case s.SampleShare < 0 || s.SampleShare > 1:
		return errors.New("sample_share must be 0 to 1")
	case s.QueueLength < 1 || s.Workers < 1:
		return errors.New("queue_length and workers must be at least 1")
	case s.TimeoutMS < 1 || s.BreakerFailures < 1 || s.BreakerPauseMS < 1:
		return errors.New("timeout_ms, breaker_failures and breaker_pause_ms must be at least 1")
	}
	return nil
}

func (s Settings) timeout() time.Duration { return time.Duration(s.TimeoutMS) * time.Millisecond }

func (s Settings) breakerPause() time.Duration {
	return time.Duration(s.BreakerPauseMS) * time.Millisecond
}
