package entry

import (
	"fmt"
	"time"
)

// Settings holds the limits and timeouts of a Server.
type Settings struct {
	// BodyTimeoutMS is the time in milliseconds within which a caller must have sent its request
	// body. Default 30,000.
	BodyTimeoutMS int `toml:"body_timeout_ms"`
	// WriteTimeoutMS is the longest time in milliseconds that one write of an answer to the caller
	// may block. Default 30,000.
	WriteTimeoutMS int `toml:"write_timeout_ms"`
	// MaxAnswerBytes bounds an answer that is buffered in memory: a chat completion that is not
	// streamed, or one that is rated before delivery. Default 16,777,216.
	MaxAnswerBytes int64 `toml:"max_answer_bytes"`
	// ExplainRecords is the number of recent requests whose records are kept for Explain.
	// Default 4,096.
	ExplainRecords int `toml:"explain_records"`
	// QuietMS is the time in milliseconds without a request in progress after which a planned stop
	// is complete. Default 500.
	QuietMS int `toml:"quiet_ms"`
	// QueueWaitMS bounds the total time in milliseconds that a request waits in queues, however
	// often it finds its pool full again. It should exceed the time in which the lost home instance
	// of a cold endpoint is replaced: suspicion, handover and a few exchange intervals.
	// Default 10,000.
	QueueWaitMS int `toml:"queue_wait_ms"`
	// MaxOutputTokens is the number of output tokens reserved for a chat request that sets no
	// limit. For a customer with a budget it is also sent to the engine as the limit.
	// Default 1,024.
	MaxOutputTokens int `toml:"max_output_tokens"`
}

// DefaultSettings returns the defaults stated at the fields of Settings.
func DefaultSettings() Settings {
	return Settings{
		BodyTimeoutMS:   30_000,
		WriteTimeoutMS:  30_000,
		MaxAnswerBytes:  16 << 20,
		ExplainRecords:  4_096,
		QuietMS:         500,
		QueueWaitMS:     10_000,
		MaxOutputTokens: 1_024,
	}
}

// Validate returns an error that names the first setting out of range, or the first pair of settings
// one of which is out of range, with the values.
func (s Settings) Validate() error {
	switch {
	case s.BodyTimeoutMS < 1 || s.WriteTimeoutMS < 1:
		return fmt.Errorf("body_timeout_ms and write_timeout_ms must be positive, not %d and %d", s.BodyTimeoutMS, s.WriteTimeoutMS)
	case s.MaxAnswerBytes < 1:
		return fmt.Errorf("max_answer_bytes must be positive, not %d", s.MaxAnswerBytes)
	case s.ExplainRecords < 0 || s.QuietMS < 0:
		return fmt.Errorf("explain_records and quiet_ms must not be negative: %d and %d", s.ExplainRecords, s.QuietMS)
	case s.QueueWaitMS < 1:
		return fmt.Errorf("queue_wait_ms must be positive, not %d", s.QueueWaitMS)
	case s.MaxOutputTokens < 1:
		return fmt.Errorf("max_output_tokens must be positive, not %d", s.MaxOutputTokens)
	}
	return nil
}

func (s Settings) bodyTimeout() time.Duration  { return millis(s.BodyTimeoutMS) }
func (s Settings) writeTimeout() time.Duration { return millis(s.WriteTimeoutMS) }
func (s Settings) queueWait() time.Duration    { return millis(s.QueueWaitMS) }
func (s Settings) quiet() time.Duration        { return millis(s.QuietMS) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
