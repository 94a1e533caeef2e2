package zone

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Settings of membership and of the exchange between entry instances.
type Settings struct {
	// Seeds are IP:port peer addresses that are contacted for members when the platform's list is
	// unavailable or lacks them. Default none.
	Seeds []string `toml:"seeds"`
	// ListIntervalMS is the time between reads of the platform's list, in milliseconds.
	// Default 1,000.
	ListIntervalMS int `toml:"list_interval_ms"`
	// ExchangeIntervalMS is the mean time between two exchanges with a peer, in milliseconds.
	// Default 1,000.
	ExchangeIntervalMS int `toml:"exchange_interval_ms"`
	// PeerTimeoutMS bounds one exchange, in milliseconds. Default 800.
	PeerTimeoutMS int `toml:"peer_timeout_ms"`
	// SuspectAfterMS is how long a listed member may fail to answer before it no longer counts as
	// live, in milliseconds. Default 2,500.
	SuspectAfterMS int `toml:"suspect_after_ms"`
	// HeardForMS is how long a member that the list lacks stays live after its last announcement,
	// in milliseconds. Default 5,000.
	HeardForMS int `toml:"heard_for_ms"`
	// Fanout is how many members of a zone one round contacts if the zone has more than FewMembers
	// other members. Default 4.
	Fanout int `toml:"fanout"`
	// FewMembers is the number of other members in a zone up to which a round contacts all of
	// them. Default 6.
	FewMembers int `toml:"few_members"`
	// MaxMessageBytes bounds the message in one direction of an exchange. Default 262,144.
	MaxMessageBytes int `toml:"max_message_bytes"`
}

// DefaultSettings returns the defaults of all fields.
func DefaultSettings() Settings {
	return Settings{
		ListIntervalMS:     1_000,
		ExchangeIntervalMS: 1_000,
		PeerTimeoutMS:      800,
		SuspectAfterMS:     2_500,
		HeardForMS:         5_000,
		Fanout:             4,
		FewMembers:         6,
		MaxMessageBytes:    256 << 10,
	}
}

// Validate returns an error that names the first invalid field.
func (s Settings) Validate() error {
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("seeds: %q is not IP:port", seed)
		}
	}
	positive := []struct {
		field string
		value int
	}{
		{"list_interval_ms", s.ListIntervalMS},
		{"exchange_interval_ms", s.ExchangeIntervalMS},
		{"peer_timeout_ms", s.PeerTimeoutMS},
		{"suspect_after_ms", s.SuspectAfterMS},
		{"heard_for_ms", s.HeardForMS},
		{"fanout", s.Fanout},
		{"few_members", s.FewMembers},
		{"max_message_bytes", s.MaxMessageBytes},
	}
	for _, setting := range positive {
		if setting.value <= 0 {
			return fmt.Errorf("%s: %d, must be positive", setting.field, setting.value)
		}
	}
	if s.SuspectAfterMS <= s.PeerTimeoutMS {
		return errors.New("suspect_after_ms: must be longer than peer_timeout_ms")
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
