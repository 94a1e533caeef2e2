package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/internal/tomlfile"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quality"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/zone"
)

// Settings are the settings of one entry instance: addresses, and the parameters of its behaviour. What it
// serves is in the operators' configuration.
type Settings struct {
	// Instance is the id of this entry instance in the platform's list. Required.
	Instance string `toml:"instance"`
	// Zone is the data centre that it runs in. Required.
	Zone string `toml:"zone"`
	// CallersAddress is IP:port of the callers' HTTP API. Default 127.0.0.1:8080.
	CallersAddress string `toml:"callers_address"`
	// OperatorsAddress is IP:port of the operators' HTTP API. Default 127.0.0.1:8081.
	OperatorsAddress string `toml:"operators_address"`
	// OperatorsTokenFile is the path of a file that holds the operators' bearer token. Without it only
	// status, metrics and health are served. Default none.
	OperatorsTokenFile string `toml:"operators_token_file"`
	// PeersAddress is IP:port of the drpc server for other entry instances.
	// Default 127.0.0.1:8082.
	PeersAddress string `toml:"peers_address"`
	// StoreAddress is IP:port of the platform's key-value service. Default 127.0.0.1:8500.
	StoreAddress string `toml:"store_address"`
	// ListAddress is IP:port of the platform's instance list. Default 127.0.0.1:8501.
	ListAddress string `toml:"list_address"`
	// RaterAddress is IP:port of the platform's rating service, or empty without one. Default none.
	RaterAddress string `toml:"rater_address"`
	// MaxBodyBytes is the limit of a caller's request body. Default 4,194,304.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MemoryMB is the memory in megabytes that the process should stay within. Default 0, which sets no bound.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open. Default: its limit at start.
	MaxDescriptors int `toml:"max_descriptors"`
	// CallersMemoryMB is the memory in megabytes that callers' connections and requests may hold together. Default: a quarter of
	// MemoryMB, or 256 without it.
	CallersMemoryMB int `toml:"callers_memory_mb"`
	// CallersConnections is the number of callers' connections that may be open. Default: 45 of 100 descriptors.
	CallersConnections int `toml:"callers_connections"`
	// StopGraceMS is how long, in milliseconds, a planned stop keeps serving after it has reported the
	// instance as not ready, until the platform's balancer stops sending requests. Default 5,000.
	StopGraceMS int `toml:"stop_grace_ms"`
	// StopTimeoutMS is the limit, in milliseconds, of a planned stop's wait for requests in progress.
	// Default 600,000.
	StopTimeoutMS int `toml:"stop_timeout_ms"`

	Entry    entry.Settings   `toml:"entry"`
	Decide   decide.Settings  `toml:"decide"`
	Ledger   ledger.Settings  `toml:"ledger"`
	Quality  quality.Settings `toml:"quality"`
	Replica  replica.Settings `toml:"replica"`
	Rollout  rollout.Settings `toml:"rollout"`
	Machine  machine.Settings `toml:"machine"`
	Exchange zone.Settings    `toml:"exchange"`
}

// DefaultSettings returns the defaults of all optional fields.
func DefaultSettings() Settings {
	return Settings{
		CallersAddress:   "127.0.0.1:8080",
		OperatorsAddress: "127.0.0.1:8081",
		PeersAddress:     "127.0.0.1:8082",
		StoreAddress:     "127.0.0.1:8500",
		ListAddress:      "127.0.0.1:8501",
		MaxBodyBytes:     4 << 20,
		StopGraceMS:      5_000,
		StopTimeoutMS:    600_000,
		Entry:            entry.DefaultSettings(),
		Decide:           decide.DefaultSettings(),
		Ledger:           ledger.DefaultSettings(),
		Quality:          quality.DefaultSettings(),
		Replica:          replica.DefaultSettings(),
		Rollout:          rollout.DefaultSettings(),
		Machine:          machine.DefaultSettings(),
		Exchange:         zone.DefaultSettings(),
	}
}

// LoadSettings reads and checks a settings file. Each error is one line with file, line and field.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	settings := DefaultSettings()
	if err := tomlfile.Decode(file, data, &settings); err != nil {
		return Settings{}, err
	}
	if err := settings.Validate(); err != nil {
		return Settings{}, withPosition(file, data, err)
	}
	return settings, nil
}

// withPosition adds the file, and the line if it is found, to an error that starts with the name of its field.
func withPosition(file string, data []byte, err error) error {
	field := err.Error()
	if end := strings.IndexAny(field, ": "); end >= 0 {
		field = field[:end]
	}
	if line := tomlfile.Line(data, field); line > 0 {
		return fmt.Errorf("%s:%d: %w", file, line, err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// Validate returns the first invalid field as an error in the form "field: problem".
func (s Settings) Validate() error {
	if s.Instance == "" {
		return errors.New("instance: is required")
	}
	if s.Zone == "" {
		return errors.New("zone: is required")
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if err := s.callers().validate(); err != nil {
		return err
	}
	switch {
	case s.MaxBodyBytes < 1:
		return errors.New("max_body_bytes: must be positive")
	case s.StopGraceMS < 0:
		return errors.New("stop_grace_ms: must not be negative")
	case s.StopTimeoutMS < 1:
		return errors.New("stop_timeout_ms: must be positive")
	}
	return s.validateSections()
}

func (s Settings) validateAddresses() error {
	addresses := []addressField{
		{"callers_address", s.CallersAddress},
		{"operators_address", s.OperatorsAddress},
		{"peers_address", s.PeersAddress},
		{"store_address", s.StoreAddress},
		{"list_address", s.ListAddress},
	}
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	if s.RaterAddress == "" {
		return nil
	}
	if host, _, err := net.SplitHostPort(s.RaterAddress); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("rater_address: %q is not IP:port", s.RaterAddress)
	}
	return nil
}

// addressField is a setting that holds an address.
type addressField struct{ field, value string }

// checkAddresses returns an error for the first address that is not IP:port or that repeats an earlier one.
// Port 0 may repeat, since the system chooses it.
func checkAddresses(addresses []addressField) error {
	fieldByAddress := make(map[string]string)
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address.value)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("%s: %q is not IP:port", address.field, address.value)
		}
		if other := fieldByAddress[address.value]; other != "" && port != "0" {
			return fmt.Errorf("%s: %s is %s too", address.field, address.value, other)
		}
		fieldByAddress[address.value] = address.field
	}
	return nil
}

func (s Settings) validateSections() error {
	sections := []struct {
		name     string
		validate func() error
	}{
		{"entry", s.Entry.Validate},
		{"decide", s.Decide.Validate},
		{"ledger", s.Ledger.Validate},
		{"quality", s.Quality.Validate},
		{"replica", s.Replica.Validate},
		{"rollout", s.Rollout.Validate},
		{"machine", s.Machine.Validate},
		{"exchange", s.Exchange.Validate},
	}
	for _, section := range sections {
		if err := section.validate(); err != nil {
			return fmt.Errorf("%s.%w", section.name, err)
		}
	}
	return nil
}
