// Package daemon assembles one entry instance from its settings.
package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Settings of one entry instance. They name what it needs to start; what it serves is in the
// operators' configuration.
type Settings struct {
	// Instance is the id of this entry instance in the platform's list. Required.
	Instance string `toml:"instance"`
	// Zone is the data centre that it runs in. Required.
	Zone string `toml:"zone"`
	// CallersAddress is IP:port of the callers' HTTP surface. Default 127.0.0.1:8080.
	CallersAddress string `toml:"callers_address"`
	// OperatorsAddress is IP:port of the operators' HTTP surface. Default 127.0.0.1:8081.
	OperatorsAddress string `toml:"operators_address"`
	// PeersAddress is IP:port of the drpc surface for other entry instances.
	// Default 127.0.0.1:8082.
	PeersAddress string `toml:"peers_address"`
	// StoreAddress is IP:port of the platform's key-value service. Default 127.0.0.1:8500.
	StoreAddress string `toml:"store_address"`
	// ListAddress is IP:port of the platform's instance list. Default 127.0.0.1:8501.
	ListAddress string `toml:"list_address"`
	// MaxBodyBytes bounds a caller's request body. Default 4,194,304.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
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
	}
}

// LoadSettings reads and checks a settings file. Errors name file, line and field.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	settings := DefaultSettings()
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return Settings{}, fmt.Errorf("%s: unknown field\n%s", file, strict.String())
		}
		return Settings{}, fmt.Errorf("%s: %w", file, err)
	}
	if settings.Instance == "" || settings.Zone == "" {
		return Settings{}, fmt.Errorf("%s: instance and zone are required", file)
	}
	return settings, nil
}
