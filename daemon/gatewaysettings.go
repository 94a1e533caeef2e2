package daemon

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"plumbarrow.example/plumbarrow/internal/tomlfile"
	"plumbarrow.example/plumbarrow/zone"
)

// GatewaySettings are the settings that a Gateway needs to start. What it serves is in the platform's store.
type GatewaySettings struct {
	// Instance is the id of this entry instance. Required.
	Instance string `toml:"instance"`
	// Zone is the data centre that it runs in. Required.
	Zone string `toml:"zone"`
	// Region groups the zones whose instances exchange state directly. Required.
	Region string `toml:"region"`
	// CallersAddress, ReadyAddress, PeersAddress and MetricsAddress are IP:port of the callers' HTTP
	// server, the balancer's readiness check, the drpc server for peers, and the metrics. Required.
	CallersAddress string `toml:"callers_address"`
	ReadyAddress   string `toml:"ready_address"`
	PeersAddress   string `toml:"peers_address"`
	MetricsAddress string `toml:"metrics_address"`
	// StoreAddress is IP:port of the platform's store. Required.
	StoreAddress string `toml:"store_address"`
	// MemoryMB is the memory in megabytes beyond which the process is killed. Required.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may have open. Default: its limit at start.
	MaxDescriptors int `toml:"max_descriptors"`
	// CallersMemoryMB is the memory in megabytes that callers' connections, requests and buffered answers may hold together.
	// Default: a quarter of MemoryMB.
	CallersMemoryMB int `toml:"callers_memory_mb"`
	// CallersConnections is the number of callers' connections that may be open. Default: 45 of 100 descriptors.
	CallersConnections int `toml:"callers_connections"`
	// StopSeconds is the time between the signal to stop and the kill. Required.
	StopSeconds float64 `toml:"stop_seconds"`
	// CanaryShare is the largest share of a service's requests, above 0 and at most 1, that a bad version may
	// get during its roll-out. Default 0.1.
	CanaryShare float64 `toml:"canary_share"`
	// CanarySlack is the number of requests that it may get beyond that share, as text. Empty means 0, as does a placeholder of the settings template
	// that was not replaced.
	CanarySlack string `toml:"canary_slack"`
	// LinkMbps is the rate of the instance's network link in Mbit/s, as text. The instances with the fastest links watch the store. Empty means
	// unknown, as does a placeholder of the settings template that was not replaced.
	LinkMbps string `toml:"link_mbps"`
	// StatedLoadsFrom is the number of live instances from which on placement uses the load and pace that endpoints state in their
	// answers, for services whose endpoints state a pace; 0 means never. Default 12: with fewer, a round of the exchange reaches all
	// instances.
	StatedLoadsFrom int `toml:"stated_loads_from"`
	// StatedLoadsUnpaced does so also for services whose endpoints state their load but no pace. Default false.
	StatedLoadsUnpaced bool `toml:"stated_loads_unpaced"`
	// QueueGoalShare is the share of what a route's goal leaves beside the answer for which a request may be expected to wait for capacity;
	// a request that would wait longer is refused at once. From 0, which admits all to the queue, to 1. Default 0.
	QueueGoalShare float64 `toml:"queue_goal_share"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`

	Exchange zone.Settings `toml:"exchange"`
}

const (
	// gatewayExchangeIntervalMS is the interval of the exchange in milliseconds. At a longer one the loads that
	// instances know are so old that they send too many requests to the same endpoints.
	gatewayExchangeIntervalMS = 250
	// gatewayFewMembers is the number of other members up to which an exchange round reaches all of them.
	gatewayFewMembers = 10
	// gatewayStatedLoadsFrom is the default StatedLoadsFrom: this instance and more others than a round reaches.
	gatewayStatedLoadsFrom = gatewayFewMembers + 2
	// gatewayCanaryShare is the default CanaryShare: a tenth of the requests is a common first stage of a
	// roll-out.
	gatewayCanaryShare = 0.1
)

// DefaultGatewaySettings returns the defaults of all optional fields.
func DefaultGatewaySettings() GatewaySettings {
	settings := GatewaySettings{
		LogLevel: "info", CanaryShare: gatewayCanaryShare, StatedLoadsFrom: gatewayStatedLoadsFrom, Exchange: zone.DefaultSettings(),
	}
	settings.Exchange.ExchangeIntervalMS = gatewayExchangeIntervalMS
	settings.Exchange.FewMembers = gatewayFewMembers
	return settings
}

// LoadGatewaySettings reads and validates a settings file. Unknown fields are ignored. The error for an invalid
// field is one line with file, line and field.
func LoadGatewaySettings(file string) (GatewaySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return GatewaySettings{}, err
	}
	settings := DefaultGatewaySettings()
	if err := tomlfile.DecodeLenient(file, data, &settings); err != nil {
		return GatewaySettings{}, err
	}
	if err := settings.Validate(); err != nil {
		return GatewaySettings{}, withPosition(file, data, err)
	}
	return settings, nil
}

// Validate returns the first invalid field as an error in the form "field: problem".
func (s GatewaySettings) Validate() error {
	required := []struct{ field, value string }{{"instance", s.Instance}, {"zone", s.Zone}, {"region", s.Region}}
	for _, setting := range required {
		if setting.value == "" {
			return fmt.Errorf("%s: is required", setting.field)
		}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	switch {
	case s.MemoryMB <= 0:
		return errors.New("memory_mb: must be positive")
	case s.StopSeconds <= 0:
		return errors.New("stop_seconds: must be positive")
	case s.CanaryShare <= 0 || s.CanaryShare > 1:
		return errors.New("canary_share: must be above 0 and at most 1")
	}
	if slack, err := s.canarySlack(); err != nil || !(slack >= 0) {
		return errors.New("canary_slack: must be empty or a number that is not negative")
	}
	if mbps, err := s.linkMbps(); err != nil || !(mbps >= 0) {
		return errors.New("link_mbps: must be empty or a number that is not negative")
	}
	if s.StatedLoadsFrom < 0 {
		return errors.New("stated_loads_from: must not be negative")
	}
	if s.QueueGoalShare < 0 || s.QueueGoalShare > 1 {
		return errors.New("queue_goal_share: must be from 0 to 1")
	}
	if err := s.callers().validate(); err != nil {
		return err
	}
	if _, err := s.level(); err != nil {
		return err
	}
	if err := s.Exchange.Validate(); err != nil {
		return fmt.Errorf("exchange.%w", err)
	}
	return nil
}

func (s GatewaySettings) validateAddresses() error {
	return checkAddresses([]addressField{
		{"callers_address", s.CallersAddress},
		{"ready_address", s.ReadyAddress},
		{"peers_address", s.PeersAddress},
		{"metrics_address", s.MetricsAddress},
		{"store_address", s.StoreAddress},
	})
}

// level parses LogLevel.
func (s GatewaySettings) level() (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return level, fmt.Errorf("log_level: %q is no level", s.LogLevel)
	}
	return level, nil
}

// Logger returns the instance's logger, which writes JSON lines to out.
func (s GatewaySettings) Logger(out io.Writer) *slog.Logger {
	level, err := s.level()
	if err != nil {
		level = slog.LevelInfo // unreachable after Validate
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})).With("instance", s.Instance)
}

// canarySlack returns CanarySlack as a number.
func (s *GatewaySettings) canarySlack() (float64, error) { return templateNumber(s.CanarySlack) }

// linkMbps returns LinkMbps as a number.
func (s *GatewaySettings) linkMbps() (float64, error) { return templateNumber(s.LinkMbps) }

// templateNumber returns a number that the settings template gives as text; 0 if it is empty or a placeholder that was not replaced.
func templateNumber(text string) (float64, error) {
	if text == "" || strings.HasPrefix(text, "{{") {
		return 0, nil
	}
	return strconv.ParseFloat(text, 64)
}
