package machine

import (
	"errors"
	"fmt"
	"time"
)

// Settings of endpoint tables, permits and queues.
type Settings struct {
	// PermitTimeoutMS bounds the call to an endpoint's home for one permit, in milliseconds.
	// Default 250.
	PermitTimeoutMS int `toml:"permit_timeout_ms"`
	// HandoverMS is how long a new home of an endpoint collects holdings before its first grant,
	// in milliseconds. It should exceed two exchange intervals. Default 2,500.
	HandoverMS int `toml:"handover_ms"`
	// SettleMS is how long a home grants nothing after an endpoint turned cold, in milliseconds, so
	// that the change reaches the other instances first. Default 500.
	SettleMS int `toml:"settle_ms"`
	// ReportMS is the time between two reports of held permits to a home, in milliseconds.
	// Default 1,000.
	ReportMS int `toml:"report_ms"`
	// HolderLostMS is how long the permits of an instance that is no longer live remain counted, in
	// milliseconds. Default 10,000.
	HolderLostMS int `toml:"holder_lost_ms"`
	// LeavingHoldMS is how long an endpoint that reported itself as leaving counts as leaving while
	// the platform's list shows it live, in milliseconds. Default 600,000.
	LeavingHoldMS int `toml:"leaving_hold_ms"`
	// ProbeMS is the time between connection attempts to an endpoint that refused one, in
	// milliseconds. Default 1,000.
	ProbeMS int `toml:"probe_ms"`
	// PollMS is the time between two polls of an endpoint's load, in milliseconds; 0 turns polling
	// off. Default 1,000.
	PollMS int `toml:"poll_ms"`
	// ReturnShare is the share of its full limit, 0 to 1, to which an endpoint's limit is lowered
	// when its zone returns to service, because the endpoint may have turned cold meanwhile. The
	// limit is never lowered below that of a cold endpoint. Default 0.
	ReturnShare float64 `toml:"return_share"`
	// QueueLength bounds the waiting requests of one pool. Default 256.
	QueueLength int `toml:"queue_length"`
	// QueueWaitMS bounds one wait in a pool's queue, in milliseconds; [entry] queue_wait_ms bounds
	// all waits of a request together. Default 5,000.
	QueueWaitMS int `toml:"queue_wait_ms"`
}

// DefaultSettings returns the defaults of all fields.
func DefaultSettings() Settings {
	return Settings{
		PermitTimeoutMS: 250,
		HandoverMS:      2_500,
		SettleMS:        500,
		ReportMS:        1_000,
		HolderLostMS:    10_000,
		LeavingHoldMS:   600_000,
		ProbeMS:         1_000,
		PollMS:          1_000,
		QueueLength:     256,
		QueueWaitMS:     5_000,
	}
}

// Validate returns an error that names the first wrong field.
func (s Settings) Validate() error {
	positive := []struct {
		field string
		value int
	}{
		{"permit_timeout_ms", s.PermitTimeoutMS},
		{"handover_ms", s.HandoverMS},
		{"settle_ms", s.SettleMS},
		{"report_ms", s.ReportMS},
		{"holder_lost_ms", s.HolderLostMS},
		{"leaving_hold_ms", s.LeavingHoldMS},
		{"probe_ms", s.ProbeMS},
		{"queue_length", s.QueueLength},
		{"queue_wait_ms", s.QueueWaitMS},
	}
	for _, setting := range positive {
		if setting.value <= 0 {
			return fmt.Errorf("%s: %d, must be positive", setting.field, setting.value)
		}
	}
	if s.PollMS < 0 {
		return fmt.Errorf("poll_ms: %d, must not be negative", s.PollMS)
	}
	if s.ReturnShare < 0 || s.ReturnShare > 1 {
		return fmt.Errorf("return_share: %g, must be 0 to 1", s.ReturnShare)
	}
	if s.HolderLostMS < s.HandoverMS {
		return errors.New("holder_lost_ms: must not be shorter than handover_ms")
	}
	return nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
